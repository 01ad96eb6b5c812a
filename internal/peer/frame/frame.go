// Package frame encodes and decodes frames, the unit of transfer on a connection between instances. Calls to other
// instances, such as attempts relayed through the home of an upstream and configuration sync, travel in frames.
//
// A frame consists of the length of its body, the protocol version and a msgpack body that holds the sender's
// configuration revision and a batch of messages.
package frame

import "fmt"

// Protocol version and limits.
const (
	// Version is the version of the frames that this package reads and writes.
	Version = 2
	// MaxBytes is the maximum size of a frame body.
	MaxBytes = 2 << 20
	// MaxBodyBytes is the maximum size of a message body.
	MaxBodyBytes = 1 << 20
	// MaxMethodBytes is the maximum length of a method name.
	MaxMethodBytes = 64
	// MaxMessages is the maximum number of messages in a frame.
	MaxMessages = 1024
	// BytesPerCredit is the number of body bytes that one unit of credit covers. Each call costs one unit on top.
	BytesPerCredit = 1024
)

const prefixSize = 5 // body length as a big-endian uint32, followed by the version byte

// Message kinds.
const (
	KindCall    = 1 // requests a reply with the same ID; Value is the remaining time in microseconds
	KindReply   = 2 // replies to the call with the same ID and returns its credit
	KindRefusal = 3 // reports that no part of the call ran and returns its credit; Value is a code, Body the reason
	KindCancel  = 4 // cancels the call with the same ID, which still gets a reply
	KindCredit  = 5 // grants Value units of credit
	KindPing    = 6 // requests a pong
	KindPong    = 7 // replies to a ping
	KindLeaving = 8 // announces that the sender shuts down and refuses further calls
	lastKind    = KindLeaving
)

// Refusal codes.
const (
	CodeMethod   = 1 // the method refused the call
	CodeNoMethod = 2 // the method does not exist
	CodeLeaving  = 3 // the instance is shutting down
)

// Frame is a batch of messages together with the configuration revision of its sender.
type Frame struct {
	Revision uint64
	Messages []Message
}

// Message is one message between instances. Kind determines which of the other fields are used.
type Message struct {
	Kind   uint8
	ID     uint64
	Value  int64
	Method string
	Body   []byte
}

// Cost returns the units of credit that the message uses if it is a call.
func (m Message) Cost() int64 { return 1 + int64(len(m.Body))/BytesPerCredit }

// Error reports a violation of the frame format, of the protocol or of its limits. A connection on which the peer violated
// them is unusable.
type Error struct{ Reason string }

func (e *Error) Error() string { return "frame: " + e.Reason }

func errorf(format string, args ...any) error { return &Error{Reason: fmt.Sprintf(format, args...)} }

func (m Message) validate() error {
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
