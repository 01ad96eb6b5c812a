package client

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"crocuswing/internal/peer/frame"
)

const (
	maxWaiting       = 1024            // calls that wait for credit
	maxBatchMessages = 128             // messages per frame
	maxBatchBytes    = 256 << 10       // a frame takes no further messages once their bodies reach this size
	writeTimeout     = 2 * time.Second // per frame
	pingInterval     = 500 * time.Millisecond
	stallTimeout     = 2 * time.Second // without any received frame while calls wait or are in flight
	idleTimeout      = time.Minute
	maxCredit        = 1 << 30
	readBufferBytes  = 16 << 10
)

// connection is an open connection to the peer and its calls in flight.
type connection struct {
	raw        net.Conn
	revision   func() uint64
	onRevision func(uint64)
	wake       chan struct{} // signals writeLoop that the queue is not empty
	done       chan struct{}

	mu           sync.Mutex
	lastID       uint64
	granted      int64                   // total credit granted by the peer
	available    int64                   // granted credit that no call in flight uses
	waiting      []*pendingCall          // calls without credit, oldest first
	queue        []*pendingCall          // messages to write
	inFlight     map[uint64]*pendingCall // queued or written calls without a reply
	leaving      bool                    // the peer announced that it refuses further calls
	err          error                   // reason for closing the connection; nil while it is open
	lastReceived time.Time
	timer        *time.Timer
}

func newConnection(raw net.Conn, revision func() uint64, onRevision func(uint64)) *connection {
	c := &connection{
		raw:          raw,
		revision:     revision,
		onRevision:   onRevision,
		wake:         make(chan struct{}, 1),
		done:         make(chan struct{}),
		inFlight:     make(map[uint64]*pendingCall),
		lastReceived: time.Now(),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer = time.AfterFunc(pingInterval, c.checkLiveness)
	go c.writeLoop()
	go c.readLoop()
	return c
}

// call sends m and waits for its reply until ctx is done.
func (c *connection) call(ctx context.Context, m frame.Message) (frame.Message, error) {
	p := &pendingCall{Message: m, result: make(chan callResult, 1)}
	p.deadline, _ = ctx.Deadline()
	if err := c.submit(p); err != nil {
		return frame.Message{}, err
	}
	select {
	case r := <-p.result:
		return r.Message, r.err
	case <-ctx.Done():
		return c.cancelCall(p, ctx.Err())
	}
}

// submit queues p for writing if there is enough credit, and otherwise makes it wait for credit.
func (c *connection) submit(p *pendingCall) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.err != nil:
		return &UnsentError{Err: c.err}
	case c.leaving:
		return &UnsentError{Err: ErrLeaving}
	case len(c.waiting) >= maxWaiting:
		return &UnsentError{Err: ErrTooManyWaiting}
	}
	if len(c.inFlight) == 0 && len(c.waiting) == 0 {
		c.lastReceived = time.Now() // the stall timeout starts with the first call in flight
		c.timer.Reset(pingInterval)
	}
	if len(c.waiting) == 0 && c.hasCreditFor(p) {
		c.admit(p)
		return nil
	}
	c.waiting = append(c.waiting, p)
	return nil
}

// hasCreditFor reports whether the available credit covers p. A call that costs more than all granted credit is sent
// when no other call is in flight.
func (c *connection) hasCreditFor(p *pendingCall) bool {
	return c.granted > 0 && (c.available >= p.Cost() || c.available == c.granted)
}

// admitWaiting queues waiting calls, oldest first, as long as the credit covers them.
func (c *connection) admitWaiting() {
	for len(c.waiting) > 0 && c.hasCreditFor(c.waiting[0]) {
		c.admit(c.waiting[0])
		c.waiting[0] = nil
		c.waiting = c.waiting[1:]
	}
}

// admit deducts the cost of p from the available credit and queues it for writing.
func (c *connection) admit(p *pendingCall) {
	c.available -= p.Cost()
	c.lastID++
	p.ID = c.lastID
	p.state = stateQueued
	c.inFlight[p.ID] = p
	c.enqueue(p)
}

func (c *connection) enqueue(p *pendingCall) {
	c.queue = append(c.queue, p)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// cancelCall ends a call whose context is done, unless its reply has just arrived. A call that was already written is
// canceled at the peer, and its credit is returned by the peer's reply.
func (c *connection) cancelCall(p *pendingCall, cause error) (frame.Message, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case r := <-p.result:
		return r.Message, r.err
	default:
	}
	switch p.state {
	case stateWaiting:
		c.removeWaiting(p)
	case stateQueued:
		c.available += p.Cost()
		delete(c.inFlight, p.ID)
		c.admitWaiting()
	case stateWritten:
		c.enqueue(&pendingCall{Message: frame.Message{Kind: frame.KindCancel, ID: p.ID}})
		return frame.Message{}, cause
	}
	p.state = stateEnded
	return frame.Message{}, &UnsentError{Err: cause}
}

func (c *connection) removeWaiting(p *pendingCall) {
	for n, other := range c.waiting {
		if other == p {
			c.waiting = append(c.waiting[:n], c.waiting[n+1:]...)
			break
		}
	}
	c.admitWaiting() // the credit may cover a smaller call behind the removed one
}

// writeLoop writes queued messages in batches, one frame per batch, until the connection is closed.
func (c *connection) writeLoop() {
	w := frame.NewWriter(c.raw)
	var batch []frame.Message
	for {
		select {
		case <-c.wake:
		case <-c.done:
			return
		}
		for batch = c.nextBatch(batch[:0]); len(batch) > 0; batch = c.nextBatch(batch[:0]) {
			_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
			if err := w.Write(c.revision(), batch); err != nil {
				c.close(err)
				return
			}
			clear(batch)
		}
	}
}

// nextBatch moves queued messages into batch and marks their calls as written, since the peer may act on them from now on.
func (c *connection) nextBatch(batch []frame.Message) []frame.Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	size := 0
	taken := 0
	for taken < len(c.queue) && len(batch) < maxBatchMessages && size < maxBatchBytes {
		p := c.queue[taken]
		c.queue[taken] = nil
		taken++
		if p.state == stateEnded {
			continue
		}
		p.state = stateWritten
		if p.Kind == frame.KindCall && !p.deadline.IsZero() {
			p.Value = max(1, time.Until(p.deadline).Microseconds())
		}
		size += len(p.Body)
		batch = append(batch, p.Message)
	}
	if taken == len(c.queue) {
		c.queue = c.queue[:0] // reuses the backing array
		return batch
	}
	c.queue = c.queue[taken:]
	return batch
}

func (c *connection) readLoop() {
	r := frame.NewReader(bufio.NewReaderSize(c.raw, readBufferBytes))
	for {
		f, err := r.Read()
		if err != nil {
			c.close(err)
			return
		}
		c.onRevision(f.Revision)
		if err := c.handleFrame(f); err != nil {
			c.close(err)
			return
		}
	}
}

// handleFrame processes the messages of a frame. It returns *frame.Error if one of them violates the protocol.
func (c *connection) handleFrame(f frame.Frame) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastReceived = time.Now()
	for _, m := range f.Messages {
		switch m.Kind {
		case frame.KindReply, frame.KindRefusal:
			c.complete(m)
		case frame.KindCredit:
			if m.Value > maxCredit-c.granted {
				return &frame.Error{Reason: "grants too much credit"}
			}
			c.granted += m.Value
			c.available += m.Value
		case frame.KindPing:
			c.enqueue(&pendingCall{Message: frame.Message{Kind: frame.KindPong}})
		case frame.KindPong:
		case frame.KindLeaving:
			c.handleLeaving()
		default:
			return &frame.Error{Reason: "message is not for the calling side"}
		}
	}
	c.admitWaiting()
	if c.leaving && len(c.inFlight) == 0 {
		go c.close(ErrLeaving)
	}
	return nil
}

// complete delivers a reply to its call and releases the call's credit. A reply to a canceled call is discarded.
func (c *connection) complete(m frame.Message) {
	p, ok := c.inFlight[m.ID]
	if !ok || p.state != stateWritten {
		return
	}
	delete(c.inFlight, m.ID)
	c.available += p.Cost()
	p.state = stateEnded
	p.result <- callResult{Message: m}
}

// handleLeaving handles the announcement that the peer is shutting down. It fails the calls that wait for credit; calls
// in flight may complete.
func (c *connection) handleLeaving() {
	c.leaving = true
	for _, p := range c.waiting {
		p.fail(&UnsentError{Err: ErrLeaving})
	}
	c.waiting = nil
}

// checkLiveness runs on a timer. While there are calls, it pings a peer that has sent nothing for pingInterval and closes
// the connection after stallTimeout. Without calls, it closes the connection after idleTimeout.
func (c *connection) checkLiveness() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	sinceReceived := time.Since(c.lastReceived)
	switch {
	case len(c.inFlight) == 0 && len(c.waiting) == 0:
		if sinceReceived >= idleTimeout {
			go c.close(errIdleTimeout)
			return
		}
		c.timer.Reset(idleTimeout - sinceReceived)
		return
	case sinceReceived >= stallTimeout:
		go c.close(ErrStalled)
		return
	case sinceReceived >= pingInterval:
		c.enqueue(&pendingCall{Message: frame.Message{Kind: frame.KindPing}})
	}
	c.timer.Reset(pingInterval)
}

// close closes the connection. Calls that were not written fail with *UnsentError, the others with *LostError.
func (c *connection) close(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	c.err = cause
	close(c.done)
	c.timer.Stop()
	_ = c.raw.Close()
	for _, p := range c.waiting {
		p.fail(&UnsentError{Err: cause})
	}
	for _, p := range c.inFlight {
		if p.state == stateQueued {
			p.fail(&UnsentError{Err: cause})
		} else {
			p.fail(&LostError{Err: cause})
		}
	}
	c.waiting, c.queue, c.inFlight = nil, nil, nil
}

func (c *connection) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err != nil
}
