package field

import (
	"bytes"
	"io"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// initialListCap limits the initial capacity of a list of strings. Longer lists grow as they are read, so that a declared
// length alone reserves no memory.
const initialListCap = 1024

// Reader reads the fields of one message in their encoded order. Call Next, and then one of the other methods to read the
// value, until Next returns false.
type Reader struct {
	dec *msgpack.Decoder
	// src is the source of dec, or nil if that is not a bytes.Reader.
	src       *bytes.Reader
	remaining int
	key       [maxFixStr]byte
	keySize   int // length of the key in key
	err       error
}

// NewReader starts to read a message. A nil value is read as a message without fields.
func NewReader(dec *msgpack.Decoder) Reader {
	n, err := dec.DecodeMapLen()
	src, _ := dec.Buffered().(*bytes.Reader)
	return Reader{dec: dec, src: src, remaining: n, err: err}
}

// Err returns the first error.
func (r *Reader) Err() error { return r.err }

// Next reads the next key. It returns false after the last field and after an error.
func (r *Reader) Next() bool {
	if r.err != nil || r.remaining <= 0 {
		return false
	}
	r.remaining--
	var short bool
	if r.keySize, short = r.readFixStr(&r.key); !short {
		var key string
		key, r.err = r.dec.DecodeString()
		r.keySize = copy(r.key[:], key)
	}
	return r.err == nil
}

// Key returns the key of the current field, truncated to 31 bytes and valid until the following call to Next.
// A switch over string(r.Key()) does not allocate.
func (r *Reader) Key() []byte { return r.key[:r.keySize] }

// String reads a string.
func (r *Reader) String() string {
	var text [maxFixStr]byte
	if n, ok := r.readFixStr(&text); ok {
		return string(text[:n])
	}
	value, err := r.dec.DecodeString()
	r.err = err
	return value
}

// readFixStr reads a fixstr into text and returns its length. It reads directly from the source, which is faster than
// through the decoder. If the next value is not a fixstr, it reads nothing and returns false.
func (r *Reader) readFixStr(text *[maxFixStr]byte) (int, bool) {
	if r.src == nil {
		return 0, false
	}
	code, err := r.src.ReadByte()
	if err != nil {
		return 0, false
	}
	n := int(code & msgpcode.FixedStrMask)
	if !msgpcode.IsFixedString(code) || n > r.src.Len() {
		_ = r.src.UnreadByte()
		return 0, false
	}
	_, _ = r.src.Read(text[:n])
	return n, true
}

// Bool reads a boolean.
func (r *Reader) Bool() bool {
	value, err := r.dec.DecodeBool()
	r.err = err
	return value
}

// Int reads an integer of any encoded size.
func (r *Reader) Int() int64 {
	value, err := r.dec.DecodeInt64()
	r.err = err
	return value
}

// Duration reads a duration in nanoseconds.
func (r *Reader) Duration() time.Duration { return time.Duration(r.Int()) }

// Float reads a floating-point number.
func (r *Reader) Float() float64 {
	value, err := r.dec.DecodeFloat64()
	r.err = err
	return value
}

// Strings reads a list of strings. It returns nil if the value is nil.
func (r *Reader) Strings() []string {
	n, err := r.dec.DecodeArrayLen()
	if r.err = err; err != nil || n < 0 {
		return nil
	}
	values := r.readFixStrs(make([]string, 0, min(n, initialListCap)), n)
	for len(values) < n && r.err == nil {
		values = append(values, r.String())
	}
	return values
}

// readFixStrs appends up to n fixstrs to values and stops at the first other value. The strings share one allocation,
// which is limited to the maximum size of n fixstrs and to the bytes that are left.
func (r *Reader) readFixStrs(values []string, n int) []string {
	if r.src == nil || n < 2 {
		return values
	}
	rest := r.readAhead(n * (1 + maxFixStr))
	for len(values) < n && rest != "" && msgpcode.IsFixedString(rest[0]) {
		end := 1 + int(rest[0]&msgpcode.FixedStrMask)
		if end > len(rest) {
			break
		}
		values = append(values, rest[1:end])
		rest = rest[end:]
	}
	_, _ = r.src.Seek(-int64(len(rest)), io.SeekCurrent)
	return values
}

// readAhead reads the next n bytes, or as many as are left.
func (r *Reader) readAhead(n int) string {
	n = min(n, r.src.Len())
	var all strings.Builder
	all.Grow(n)
	var chunk [512]byte
	for all.Len() < n {
		got, _ := r.src.Read(chunk[:min(len(chunk), n-all.Len())])
		all.Write(chunk[:got])
	}
	return all.String()
}

// Message reads a nested message.
func (r *Reader) Message(to msgpack.CustomDecoder) { r.err = to.DecodeMsgpack(r.dec) }

// Nil reports whether the value is nil, and consumes it if it is.
func (r *Reader) Nil() bool {
	code, err := r.dec.PeekCode()
	if r.err = err; err != nil || code != msgpcode.Nil {
		return false
	}
	r.err = r.dec.DecodeNil()
	return true
}

// Skip skips the value of an unknown key. It does not recurse, so that deeply nested values cannot exhaust the stack.
func (r *Reader) Skip() {
	for values := 1; values > 0 && r.err == nil; values-- {
		code, err := r.dec.PeekCode()
		if err != nil {
			r.err = err
			return
		}
		n := 0
		switch {
		case msgpcode.IsFixedArray(code), code == msgpcode.Array16, code == msgpcode.Array32:
			n, r.err = r.dec.DecodeArrayLen()
		case msgpcode.IsFixedMap(code), code == msgpcode.Map16, code == msgpcode.Map32:
			n, r.err = r.dec.DecodeMapLen()
			n *= 2
		default:
			r.err = r.dec.Skip()
		}
		values += n
	}
}
