package field

import (
	"bytes"
	"io"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// presized is the number of texts for which a list has room before it is read.
// Longer ones grow with what was read, so that a declared length alone takes no memory.
const presized = 1024

// Reader reads the fields of one message in the order in which they come:
// Next, then one of the other methods for the value, until Next is false.
type Reader struct {
	dec *msgpack.Decoder
	// from is what dec reads, nil if that is no slice of bytes.
	from *bytes.Reader
	left int
	key  [maxShort]byte
	size int // of key
	err  error
}

// NewReader begins to read a message; nil is one without fields.
func NewReader(dec *msgpack.Decoder) Reader {
	n, err := dec.DecodeMapLen()
	from, _ := dec.Buffered().(*bytes.Reader)
	return Reader{dec: dec, from: from, left: n, err: err}
}

// Err is the first error.
func (r *Reader) Err() error { return r.err }

// Next reads the next key. It is false after the last field and after an error.
func (r *Reader) Next() bool {
	if r.err != nil || r.left <= 0 {
		return false
	}
	r.left--
	var short bool
	if r.size, short = r.short(&r.key); !short {
		var key string
		key, r.err = r.dec.DecodeString()
		r.size = copy(r.key[:], key)
	}
	return r.err == nil
}

// Key is the key of the field that Next found, cut at 31 bytes and valid until the next one.
// A switch over string(r.Key()) allocates nothing.
func (r *Reader) Key() []byte { return r.key[:r.size] }

// String reads a text.
func (r *Reader) String() string {
	var text [maxShort]byte
	if n, ok := r.short(&text); ok {
		return string(text[:n])
	}
	value, err := r.dec.DecodeString()
	r.err = err
	return value
}

// short reads a text of up to 31 bytes past the decoder, which is faster, and gives its length.
// It is false, and reads nothing, where something else comes.
func (r *Reader) short(text *[maxShort]byte) (int, bool) {
	if r.from == nil {
		return 0, false
	}
	code, err := r.from.ReadByte()
	if err != nil {
		return 0, false
	}
	n := int(code & msgpcode.FixedStrMask)
	if !msgpcode.IsFixedString(code) || n > r.from.Len() {
		_ = r.from.UnreadByte()
		return 0, false
	}
	_, _ = r.from.Read(text[:n])
	return n, true
}

// Bool reads true or false.
func (r *Reader) Bool() bool {
	value, err := r.dec.DecodeBool()
	r.err = err
	return value
}

// Int reads an integer of any width.
func (r *Reader) Int() int64 {
	value, err := r.dec.DecodeInt64()
	r.err = err
	return value
}

// Duration reads a time in nanoseconds.
func (r *Reader) Duration() time.Duration { return time.Duration(r.Int()) }

// Float reads a floating-point number.
func (r *Reader) Float() float64 {
	value, err := r.dec.DecodeFloat64()
	r.err = err
	return value
}

// Strings reads a list of texts, nil if there is none.
func (r *Reader) Strings() []string {
	n, err := r.dec.DecodeArrayLen()
	if r.err = err; err != nil || n < 0 {
		return nil
	}
	values := r.shorts(make([]string, 0, min(n, presized)), n)
	for len(values) < n && r.err == nil {
		values = append(values, r.String())
	}
	return values
}

// shorts reads up to n texts of up to 31 bytes until something else comes. They share one allocation,
// which is bounded by what n such texts can take and by what has come.
func (r *Reader) shorts(values []string, n int) []string {
	if r.from == nil || n < 2 {
		return values
	}
	rest := r.ahead(n * (1 + maxShort))
	for len(values) < n && rest != "" && msgpcode.IsFixedString(rest[0]) {
		end := 1 + int(rest[0]&msgpcode.FixedStrMask)
		if end > len(rest) {
			break
		}
		values = append(values, rest[1:end])
		rest = rest[end:]
	}
	_, _ = r.from.Seek(-int64(len(rest)), io.SeekCurrent)
	return values
}

// ahead takes the next n bytes, or as many as there are.
func (r *Reader) ahead(n int) string {
	n = min(n, r.from.Len())
	var all strings.Builder
	all.Grow(n)
	var chunk [512]byte
	for all.Len() < n {
		got, _ := r.from.Read(chunk[:min(len(chunk), n-all.Len())])
		all.Write(chunk[:got])
	}
	return all.String()
}

// Message reads a message inside the message.
func (r *Reader) Message(to msgpack.CustomDecoder) { r.err = to.DecodeMsgpack(r.dec) }

// Nil tells whether the value is nil, and reads it if so.
func (r *Reader) Nil() bool {
	code, err := r.dec.PeekCode()
	if r.err = err; err != nil || code != msgpcode.Nil {
		return false
	}
	r.err = r.dec.DecodeNil()
	return true
}

// Skip passes over the value of an unknown key. It does not recurse: nested values take no stack.
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
