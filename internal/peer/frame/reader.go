package frame

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// maxNames bounds the names of methods that a reader remembers.
const maxNames = 64

// Reader decodes frames. It is not safe for concurrent use.
type Reader struct {
	r      io.Reader
	prefix [prefixBytes]byte
	body   []byte
	at     bytes.Reader
	dec    *msgpack.Decoder
	names  map[string]string
	list   []Message
}

// NewReader makes a reader from r, which should be buffered.
func NewReader(r io.Reader) *Reader {
	fr := &Reader{r: r, names: make(map[string]string)}
	fr.dec = msgpack.NewDecoder(&fr.at)
	return fr
}

// Read decodes the next frame. Its list of messages is valid until the next Read, the bodies in it
// for good. It fails with *Error, io.EOF or the underlying error.
func (r *Reader) Read() (Frame, error) {
	if _, err := io.ReadFull(r.r, r.prefix[:]); err != nil {
		if err == io.ErrUnexpectedEOF {
			return Frame{}, errorf("prefix is truncated")
		}
		return Frame{}, err
	}
	n := binary.BigEndian.Uint32(r.prefix[:4])
	if v := r.prefix[4]; v != Version {
		return Frame{}, errorf("version is %d, want %d", v, Version)
	}
	if n == 0 || n > MaxBytes {
		return Frame{}, errorf("length is %d, want 1 to %d", n, MaxBytes)
	}
	if err := r.fetch(int(n)); err != nil {
		return Frame{}, err
	}
	f, err := r.decode()
	if err != nil {
		return Frame{}, errorf("is malformed: %v", err)
	}
	return f, nil
}

// fetch reads the body. It allocates no more than a small multiple of what has arrived.
func (r *Reader) fetch(n int) error {
	const step = 64 << 10
	r.body = make([]byte, min(n, step))
	for done := 0; ; {
		if _, err := io.ReadFull(r.r, r.body[done:]); err != nil {
			return errorf("is truncated: %v", err)
		}
		done = len(r.body)
		if done == n {
			return nil
		}
		longer := make([]byte, min(n, 2*done))
		copy(longer, r.body)
		r.body = longer
	}
}

func (r *Reader) decode() (Frame, error) {
	r.at.Reset(r.body)
	r.dec.Reset(&r.at)
	revision, err := r.dec.DecodeUint64()
	if err != nil {
		return Frame{}, err
	}
	count, err := r.dec.DecodeArrayLen()
	if err != nil {
		return Frame{}, err
	}
	if count < 0 || count > MaxMessages {
		return Frame{}, errorf("has %d messages, want 0 to %d", count, MaxMessages)
	}
	r.list = r.list[:0]
	for range count {
		m, err := r.message()
		if err != nil {
			return Frame{}, err
		}
		r.list = append(r.list, m)
	}
	if r.at.Len() != 0 {
		return Frame{}, errorf("has %d bytes too many", r.at.Len())
	}
	return Frame{Revision: revision, Messages: r.list}, nil
}

func (r *Reader) message() (Message, error) {
	var m Message
	kind, err := r.dec.DecodeUint64()
	if err != nil {
		return m, err
	}
	if kind == 0 || kind > lastKind {
		return m, errorf("kind is %d, want 1 to %d", kind, lastKind)
	}
	m.Kind = uint8(kind)
	if m.ID, err = r.dec.DecodeUint64(); err != nil {
		return m, err
	}
	if m.Value, err = r.dec.DecodeInt64(); err != nil {
		return m, err
	}
	method, err := r.bytes(MaxMethodBytes)
	if err != nil {
		return m, err
	}
	m.Method = r.name(method)
	if m.Body, err = r.bytes(MaxBodyBytes); err != nil {
		return m, err
	}
	return m, m.check()
}

// bytes gives the part of the body that holds a string or binary value, without a copy.
func (r *Reader) bytes(most int) ([]byte, error) {
	n, err := r.dec.DecodeBytesLen()
	if err != nil {
		return nil, err
	}
	if n < 0 {
		return nil, nil
	}
	if n > most || n > r.at.Len() {
		return nil, errorf("value has %d bytes, want at most %d", n, min(most, r.at.Len()))
	}
	start := len(r.body) - r.at.Len()
	_, err = r.at.Seek(int64(n), io.SeekCurrent)
	return r.body[start : start+n : start+n], err
}

// name gives the text as a string, which it allocates once per method.
func (r *Reader) name(text []byte) string {
	if name, ok := r.names[string(text)]; ok {
		return name
	}
	name := string(text)
	if len(r.names) < maxNames {
		r.names[name] = name
	}
	return name
}
