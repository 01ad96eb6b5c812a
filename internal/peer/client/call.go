package client

import (
	"time"

	"crocuswing/internal/peer/frame"
)

// state is how far a call got.
type state int

const (
	stateWaiting state = iota // for credit
	stateQueued               // has credit, no byte of it was sent
	stateWritten              // the peer may act on it
	stateEnded
)

// call is one call or control message on its way. The connection's mutex guards it.
type call struct {
	frame.Message
	deadline time.Time
	state    state
	answered chan answer
}

// answer is the peer's message, or why there is none.
type answer struct {
	frame.Message
	err error
}

// end fails the call.
func (k *call) end(err error) {
	k.state = stateEnded
	k.answered <- answer{err: err}
}
