// Package field encodes and decodes messages between instances as msgpack maps, field by field and without reflection.
// A Writer or Reader keeps its first error, after which further calls have no effect.
package field

import (
	"bytes"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxFixStr is the maximum length of a msgpack fixstr, a string whose length is encoded in its first byte.
const maxFixStr = 31

// Writer writes the fields of one message.
type Writer struct {
	enc *msgpack.Encoder
	// buf is the destination of enc, or nil if that is not a bytes.Buffer.
	buf *bytes.Buffer
	err error
}

// NewWriter starts a message of n fields, all of which must be written. size is the expected size in bytes.
func NewWriter(enc *msgpack.Encoder, n, size int) Writer {
	buf, _ := enc.Writer().(*bytes.Buffer)
	if buf != nil {
		buf.Grow(size)
	}
	return Writer{enc: enc, buf: buf, err: enc.EncodeMapLen(n)}
}

// Err returns the first error.
func (w *Writer) Err() error { return w.err }

// writeKey writes the key of a field and reports whether there was no error so far.
func (w *Writer) writeKey(key string) bool {
	if w.err == nil {
		w.err = w.writeString(key)
	}
	return w.err == nil
}

// writeString writes a string. A fixstr is written directly to the buffer, which is faster than through the encoder.
func (w *Writer) writeString(s string) error {
	if w.buf == nil || len(s) > maxFixStr {
		return w.enc.EncodeString(s)
	}
	_ = w.buf.WriteByte(msgpcode.FixedStrLow | byte(len(s)))
	_, err := w.buf.WriteString(s)
	return err
}

// String writes a string field.
func (w *Writer) String(key, value string) {
	if w.writeKey(key) {
		w.err = w.writeString(value)
	}
}

// Bool writes a boolean field.
func (w *Writer) Bool(key string, value bool) {
	if w.writeKey(key) {
		w.err = w.enc.EncodeBool(value)
	}
}

// Int writes an integer field in the shortest encoding.
func (w *Writer) Int(key string, value int64) {
	if w.writeKey(key) {
		w.err = w.enc.EncodeInt(value)
	}
}

// Duration writes a duration field in nanoseconds.
func (w *Writer) Duration(key string, value time.Duration) { w.Int(key, int64(value)) }

// Float writes a floating-point field.
func (w *Writer) Float(key string, value float64) {
	if w.writeKey(key) {
		w.err = w.enc.EncodeFloat64(value)
	}
}

// Strings writes a list of strings. A nil slice is written as nil.
func (w *Writer) Strings(key string, values []string) {
	if values == nil {
		w.Nil(key)
		return
	}
	if w.writeKey(key) {
		w.err = w.enc.EncodeArrayLen(len(values))
	}
	for n := 0; n < len(values) && w.err == nil; n++ {
		w.err = w.writeString(values[n])
	}
}

// Nil writes a field with the value nil.
func (w *Writer) Nil(key string) {
	if w.writeKey(key) {
		w.err = w.enc.EncodeNil()
	}
}

// Message writes a nested message. encode is its EncodeMsgpack method, because passing the message as an interface would
// copy it to the heap.
func (w *Writer) Message(key string, encode func(*msgpack.Encoder) error) {
	if w.writeKey(key) {
		w.err = encode(w.enc)
	}
}
