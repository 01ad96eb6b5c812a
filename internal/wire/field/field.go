// Package field writes and reads messages as msgpack maps, value by value and without reflection.
// The first error of a Writer or Reader stays; the calls after it do nothing.
package field

import (
	"bytes"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxShort is the longest text whose length msgpack puts into the first byte.
const maxShort = 31

// Writer writes the fields of one message.
type Writer struct {
	enc *msgpack.Encoder
	// to is what enc writes to, nil if that is no buffer.
	to  *bytes.Buffer
	err error
}

// NewWriter begins a message of n fields, each of which has to be written, and of about size bytes.
func NewWriter(enc *msgpack.Encoder, n, size int) Writer {
	to, _ := enc.Writer().(*bytes.Buffer)
	if to != nil {
		to.Grow(size)
	}
	return Writer{enc: enc, to: to, err: enc.EncodeMapLen(n)}
}

// Err is the first error.
func (w *Writer) Err() error { return w.err }

// key writes the key of a field and tells whether its value may follow.
func (w *Writer) key(key string) bool {
	if w.err == nil {
		w.err = w.text(key)
	}
	return w.err == nil
}

// text writes a text. One of up to 31 bytes goes past the encoder, which is faster.
func (w *Writer) text(s string) error {
	if w.to == nil || len(s) > maxShort {
		return w.enc.EncodeString(s)
	}
	_ = w.to.WriteByte(msgpcode.FixedStrLow | byte(len(s)))
	_, err := w.to.WriteString(s)
	return err
}

// String writes a field of text.
func (w *Writer) String(key, value string) {
	if w.key(key) {
		w.err = w.text(value)
	}
}

// Bool writes a field that is true or false.
func (w *Writer) Bool(key string, value bool) {
	if w.key(key) {
		w.err = w.enc.EncodeBool(value)
	}
}

// Int writes an integer, in as few bytes as it needs.
func (w *Writer) Int(key string, value int64) {
	if w.key(key) {
		w.err = w.enc.EncodeInt(value)
	}
}

// Duration writes a time in nanoseconds.
func (w *Writer) Duration(key string, value time.Duration) { w.Int(key, int64(value)) }

// Float writes a floating-point number.
func (w *Writer) Float(key string, value float64) {
	if w.key(key) {
		w.err = w.enc.EncodeFloat64(value)
	}
}

// Strings writes a list of texts, nil if there is none.
func (w *Writer) Strings(key string, values []string) {
	if values == nil {
		w.Nil(key)
		return
	}
	if w.key(key) {
		w.err = w.enc.EncodeArrayLen(len(values))
	}
	for n := 0; n < len(values) && w.err == nil; n++ {
		w.err = w.text(values[n])
	}
}

// Nil writes a field without a value.
func (w *Writer) Nil(key string) {
	if w.key(key) {
		w.err = w.enc.EncodeNil()
	}
}

// Message writes a message inside the message; encode is its method EncodeMsgpack.
// As an interface the message would be copied to the heap.
func (w *Writer) Message(key string, encode func(*msgpack.Encoder) error) {
	if w.key(key) {
		w.err = encode(w.enc)
	}
}
