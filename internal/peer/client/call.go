package client

import (
	"time"

	"crocuswing/internal/peer/frame"
)

// state is the progress of a call.
type state int

const (
	stateWaiting state = iota // waits for credit
	stateQueued               // has credit; no byte of it was sent
	stateWritten              // the peer may act on it
	stateEnded                // has a result or was canceled before it was written
)

// pendingCall is a call that waits for credit or is in flight, or a queued control message. It is guarded by the
// connection's mutex.
type pendingCall struct {
	frame.Message
	deadline time.Time
	state    state
	result   chan callResult
}

// callResult is the peer's reply to a call or the reason why there is none.
type callResult struct {
	frame.Message
	err error
}

// fail completes the call with err.
func (p *pendingCall) fail(err error) {
	p.state = stateEnded
	p.result <- callResult{err: err}
}
