// Package frame encodes the messages between instances in batches: a length, a version and a
// msgpack body that holds the sender's revision and the messages.
package frame

import "fmt"

// Bounds of the protocol.
const (
	// Version is that of the frames which this package reads and writes.
	Version = 2
	// MaxBytes is the longest body of a frame.
	MaxBytes = 2 << 20
	// MaxBodyBytes is the longest body of a message.
	MaxBodyBytes = 1 << 20
	// MaxMethodBytes is the longest name of a method.
	MaxMethodBytes = 64
	// MaxMessages is the highest number of messages in a frame.
	MaxMessages = 1024
	// BytesPerCredit is the length of body that one unit of credit pays for; each call pays one unit more.
	BytesPerCredit = 1024
)

const prefixBytes = 5 // length of the body as a big-endian uint32, then the version

// Kinds of message.
const (
	KindCall    = 1 // asks for an answer under the same ID; Value is the time left in microseconds
	KindReply   = 2 // answers the call with the same ID and returns its credit
	KindRefusal = 3 // tells that nothing of the call ran and returns its credit; Value is a code, Body the reason
	KindCancel  = 4 // withdraws the call with the same ID, which is answered nevertheless
	KindCredit  = 5 // grants Value units of credit
	KindPing    = 6 // asks for a pong
	KindPong    = 7 // answers a ping
	KindLeaving = 8 // announces that further calls will be refused
	lastKind    = KindLeaving
)

// Codes of a refusal.
const (
	CodeMethod   = 1 // the method refused the call
	CodeNoMethod = 2 // there is no such method
	CodeLeaving  = 3 // the instance stops
)

// Frame is a batch of messages. Every frame carries its sender's configuration revision.
type Frame struct {
	Revision uint64
	Messages []Message
}

// Message is one message between instances; the kind tells which fields count.
type Message struct {
	Kind   uint8
	ID     uint64
	Value  int64
	Method string
	Body   []byte
}

// Cost is the credit that the message costs if it is a call.
func (m Message) Cost() int64 { return 1 + int64(len(m.Body))/BytesPerCredit }

// Error tells why a byte stream is not a frame; the connection cannot be used any more.
type Error struct{ Reason string }

// Error gives the reason.
func (e *Error) Error() string { return "frame: " + e.Reason }

func errorf(format string, args ...any) error { return &Error{Reason: fmt.Sprintf(format, args...)} }

func (m Message) check() error {
	switch {
	case m.Kind == 0 || m.Kind > lastKind:
		return errorf("kind is %d, want 1 to %d", m.Kind, lastKind)
	case len(m.Method) > MaxMethodBytes:
		return errorf("method has %d bytes, want at most %d", len(m.Method), MaxMethodBytes)
	case len(m.Body) > MaxBodyBytes:
		return errorf("body has %d bytes, want at most %d", len(m.Body), MaxBodyBytes)
	case m.Value < 0:
		return errorf("value is %d, want at least 0", m.Value)
	}
	return nil
}
