// Package frame encodes the messages between instances: a length, a version and a msgpack body.
package frame

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	version     = 1
	prefixBytes = 5 // length of the body as a big-endian uint32, then the version
	// MaxBytes is the longest body of a frame.
	MaxBytes = 4 << 20
)

// Kinds of frame.
const (
	KindCall  = 1 // asks for an answer under the same ID
	KindReply = 2 // answers the call with the same ID
	KindError = 3 // answers the call with the same ID: it was refused and nothing of it ran
)

// Frame is one message between instances. Every frame carries its sender's revision.
type Frame struct {
	Kind     uint8              `msgpack:"k"`
	ID       uint64             `msgpack:"i"`
	Revision uint64             `msgpack:"v"`
	LeftMS   int64              `msgpack:"l"` // time left for the call, in milliseconds
	Method   string             `msgpack:"m"`
	Body     msgpack.RawMessage `msgpack:"b"`
}

// Error tells why a byte stream is not a frame; the connection cannot be used any more.
type Error struct{ Reason string }

// Error gives the reason.
func (e *Error) Error() string { return "frame: " + e.Reason }

// Read decodes the next frame. It fails with *Error, io.EOF or the reader's error.
func Read(r io.Reader) (Frame, error) {
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return Frame{}, err
	}
	n := binary.BigEndian.Uint32(prefix[:4])
	if prefix[4] != version {
		return Frame{}, &Error{Reason: fmt.Sprintf("version is %d, want %d", prefix[4], version)}
	}
	if n == 0 || n > MaxBytes {
		return Frame{}, &Error{Reason: fmt.Sprintf("length is %d, want 1 to %d", n, MaxBytes)}
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return Frame{}, &Error{Reason: "is truncated: " + err.Error()}
	}
	var f Frame
	if err := msgpack.Unmarshal(body, &f); err != nil {
		return Frame{}, &Error{Reason: "is malformed: " + err.Error()}
	}
	return f, nil
}

// Write encodes one frame. It fails with *Error if the frame is too long, else with the writer's error.
func Write(w io.Writer, f Frame) error {
	body, err := msgpack.Marshal(&f)
	if err != nil {
		return &Error{Reason: err.Error()}
	}
	if len(body) > MaxBytes {
		return &Error{Reason: fmt.Sprintf("length is %d, want at most %d", len(body), MaxBytes)}
	}
	message := make([]byte, prefixBytes, prefixBytes+len(body))
	binary.BigEndian.PutUint32(message, uint32(len(body)))
	message[4] = version
	_, err = w.Write(append(message, body...))
	return err
}
