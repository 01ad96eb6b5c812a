package runner

import (
	"sync"
	"sync/atomic"
)

// sendGate decides whether an attempt is sent or withdrawn: whichever comes first excludes the other.
type sendGate struct {
	mu    sync.Mutex // held while the attempt must not begin to be sent
	state atomic.Int32
}

const (
	gateOpen int32 = iota
	gateSent
	gateWithdrawn
)

// allowSend reports whether the attempt may be sent. It is called again if nothing could be sent on a connection and the
// attempt uses another one. It waits while the gate is held.
func (g *sendGate) allowSend() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.CompareAndSwap(gateOpen, gateSent) || g.state.Load() == gateSent
}

// hold keeps the attempt from beginning to be sent until release is called, so that what isSent returns does not change meanwhile. The
// holder may withdraw the attempt.
func (g *sendGate) hold() (release func()) {
	g.mu.Lock()
	return g.mu.Unlock
}

// withdraw prevents the attempt from being sent unless sending has begun. It reports whether nothing was sent and nothing will be.
func (g *sendGate) withdraw() bool {
	return g.state.CompareAndSwap(gateOpen, gateWithdrawn) || g.state.Load() == gateWithdrawn
}

// isSent reports whether the first byte may have been sent.
func (g *sendGate) isSent() bool { return g.state.Load() == gateSent }
