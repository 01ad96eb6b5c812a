package frame

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// maxKept is the longest buffer that a writer keeps for the next frame.
const maxKept = 256 << 10

// Writer encodes frames. It is not safe for concurrent use.
type Writer struct {
	w      io.Writer
	buffer bytes.Buffer
	enc    *msgpack.Encoder
}

// NewWriter makes a writer to w.
func NewWriter(w io.Writer) *Writer {
	fw := &Writer{w: w}
	fw.enc = msgpack.NewEncoder(&fw.buffer)
	fw.enc.UseCompactInts(true)
	return fw
}

// Write sends the messages as one frame by one call of the underlying Write. It fails with *Error,
// nothing written, if they exceed a bound, else with the underlying error.
func (w *Writer) Write(revision uint64, messages []Message) error {
	if err := w.encode(revision, messages); err != nil {
		return err
	}
	n := w.buffer.Len() - prefixBytes
	if n > MaxBytes {
		return errorf("length is %d, want at most %d", n, MaxBytes)
	}
	binary.BigEndian.PutUint32(w.buffer.Bytes(), uint32(n))
	_, err := w.w.Write(w.buffer.Bytes())
	return err
}

func (w *Writer) encode(revision uint64, messages []Message) error {
	if len(messages) > MaxMessages {
		return errorf("has %d messages, want at most %d", len(messages), MaxMessages)
	}
	if w.buffer.Cap() > maxKept {
		w.buffer = bytes.Buffer{}
	}
	w.buffer.Reset()
	_, _ = w.buffer.Write([]byte{0, 0, 0, 0, Version})
	if err := w.head(revision, len(messages)); err != nil {
		return err
	}
	for n := range messages {
		if err := messages[n].check(); err != nil {
			return err
		}
		if err := w.message(&messages[n]); err != nil {
			return err
		}
	}
	return nil
}

func (w *Writer) head(revision uint64, count int) error {
	if err := w.enc.EncodeUint(revision); err != nil {
		return err
	}
	return w.enc.EncodeArrayLen(count)
}

func (w *Writer) message(m *Message) error {
	if err := w.enc.EncodeUint(uint64(m.Kind)); err != nil {
		return err
	}
	if err := w.enc.EncodeUint(m.ID); err != nil {
		return err
	}
	if err := w.enc.EncodeUint(uint64(m.Value)); err != nil {
		return err
	}
	if err := w.enc.EncodeString(m.Method); err != nil {
		return err
	}
	return w.enc.EncodeBytes(m.Body)
}
