package frame

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// maxCachedMethods limits the number of method names that a reader caches.
const maxCachedMethods = 64

// Reader decodes frames. It is not safe for concurrent use.
type Reader struct {
	r          io.Reader
	prefix     [prefixSize]byte
	body       []byte
	bodyReader bytes.Reader
	dec        *msgpack.Decoder
	methods    map[string]string
	messages   []Message
}

// NewReader returns a Reader that reads frames from r, which should be buffered.
func NewReader(r io.Reader) *Reader {
	fr := &Reader{r: r, methods: make(map[string]string)}
	fr.dec = msgpack.NewDecoder(&fr.bodyReader)
	return fr
}

// Read decodes the next frame. The slice of messages is only valid until the next Read; the message bodies remain
// valid. It returns *Error for a malformed frame, io.EOF at the end of the stream, or the underlying error.
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
	if err := r.readBody(int(n)); err != nil {
		return Frame{}, err
	}
	f, err := r.decode()
	if err != nil {
		return Frame{}, errorf("is malformed: %v", err)
	}
	return f, nil
}

// readBody reads a body of n bytes. It allocates at most a small multiple of the bytes received, so that a declared
// length alone reserves no memory.
func (r *Reader) readBody(n int) error {
	const step = 64 << 10
	r.body = make([]byte, min(n, step))
	for filled := 0; ; {
		if _, err := io.ReadFull(r.r, r.body[filled:]); err != nil {
			return errorf("is truncated: %v", err)
		}
		filled = len(r.body)
		if filled == n {
			return nil
		}
		grown := make([]byte, min(n, 2*filled))
		copy(grown, r.body)
		r.body = grown
	}
}

func (r *Reader) decode() (Frame, error) {
	r.bodyReader.Reset(r.body)
	r.dec.Reset(&r.bodyReader)
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
	r.messages = r.messages[:0]
	for range count {
		m, err := r.decodeMessage()
		if err != nil {
			return Frame{}, err
		}
		r.messages = append(r.messages, m)
	}
	if r.bodyReader.Len() != 0 {
		return Frame{}, errorf("has %d bytes too many", r.bodyReader.Len())
	}
	return Frame{Revision: revision, Messages: r.messages}, nil
}

func (r *Reader) decodeMessage() (Message, error) {
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
	method, err := r.decodeBytes(MaxMethodBytes)
	if err != nil {
		return m, err
	}
	m.Method = r.internMethod(method)
	if m.Body, err = r.decodeBytes(MaxBodyBytes); err != nil {
		return m, err
	}
	return m, m.validate()
}

// decodeBytes returns a string or binary value as a subslice of the body, without copying it.
func (r *Reader) decodeBytes(limit int) ([]byte, error) {
	n, err := r.dec.DecodeBytesLen()
	if err != nil {
		return nil, err
	}
	if n < 0 {
		return nil, nil
	}
	if n > limit || n > r.bodyReader.Len() {
		return nil, errorf("value has %d bytes, want at most %d", n, min(limit, r.bodyReader.Len()))
	}
	start := len(r.body) - r.bodyReader.Len()
	_, err = r.bodyReader.Seek(int64(n), io.SeekCurrent)
	return r.body[start : start+n : start+n], err
}

// internMethod returns text as a string that is allocated only once per method name.
func (r *Reader) internMethod(text []byte) string {
	if method, ok := r.methods[string(text)]; ok {
		return method
	}
	method := string(text)
	if len(r.methods) < maxCachedMethods {
		r.methods[method] = method
	}
	return method
}
