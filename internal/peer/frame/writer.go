package frame

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// maxRetainedBytes is the largest buffer that a Writer reuses for the next frame.
const maxRetainedBytes = 256 << 10

// Writer encodes frames. It is not safe for concurrent use.
type Writer struct {
	w      io.Writer
	buffer bytes.Buffer
	enc    *msgpack.Encoder
}

// NewWriter returns a Writer that writes frames to w.
func NewWriter(w io.Writer) *Writer {
	fw := &Writer{w: w}
	fw.enc = msgpack.NewEncoder(&fw.buffer)
	fw.enc.UseCompactInts(true)
	return fw
}

// Write encodes the messages as one frame and writes it in a single call to the underlying writer. If the messages
// exceed a limit of the protocol, it writes nothing and returns *Error; otherwise it returns the underlying error.
func (w *Writer) Write(revision uint64, messages []Message) error {
	if err := w.encode(revision, messages); err != nil {
		return err
	}
	n := w.buffer.Len() - prefixSize
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
	if w.buffer.Cap() > maxRetainedBytes {
		w.buffer = bytes.Buffer{}
	}
	w.buffer.Reset()
	_, _ = w.buffer.Write([]byte{0, 0, 0, 0, Version})
	if err := w.encodeHeader(revision, len(messages)); err != nil {
		return err
	}
	for n := range messages {
		if err := messages[n].validate(); err != nil {
			return err
		}
		if err := w.encodeMessage(&messages[n]); err != nil {
			return err
		}
	}
	return nil
}

func (w *Writer) encodeHeader(revision uint64, count int) error {
	if err := w.enc.EncodeUint(revision); err != nil {
		return err
	}
	return w.enc.EncodeArrayLen(count)
}

func (w *Writer) encodeMessage(m *Message) error {
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
