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
	maxWaiting   = 1024            // calls that wait for credit
	maxBatch     = 128             // messages in a frame
	maxBatchSize = 256 << 10       // bytes of bodies after which a frame takes no further message
	writeTimeout = 2 * time.Second // for one frame
	pingAfter    = 500 * time.Millisecond
	silentAfter  = 2 * time.Second // without any frame while calls are in flight
	idleTimeout  = time.Minute
	maxCredit    = 1 << 30
	readBuffer   = 16 << 10
)

// connection is one open connection with the calls in flight on it.
type connection struct {
	raw      net.Conn
	revision func() uint64
	heard    func(uint64)
	wake     chan struct{} // tells the writer that the queue is not empty
	done     chan struct{}

	mu        sync.Mutex
	next      uint64
	granted   int64            // credit that the peer granted in all
	credit    int64            // what is left of it
	waiting   []*call          // in the order of their arrival
	queue     []*call          // to be written
	calls     map[uint64]*call // queued or written, not answered yet
	leaving   bool
	err       error // why the connection was closed; nil while it is open
	lastHeard time.Time
	tick      *time.Timer
}

func newConnection(raw net.Conn, revision func() uint64, heard func(uint64)) *connection {
	c := &connection{
		raw:       raw,
		revision:  revision,
		heard:     heard,
		wake:      make(chan struct{}, 1),
		done:      make(chan struct{}),
		calls:     make(map[uint64]*call),
		lastHeard: time.Now(),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tick = time.AfterFunc(pingAfter, c.watch)
	go c.write()
	go c.read()
	return c
}

// call sends m and waits for its answer until ctx ends.
func (c *connection) call(ctx context.Context, m frame.Message) (frame.Message, error) {
	k := &call{Message: m, answered: make(chan answer, 1)}
	k.deadline, _ = ctx.Deadline()
	if err := c.submit(k); err != nil {
		return frame.Message{}, err
	}
	select {
	case a := <-k.answered:
		return a.Message, a.err
	case <-ctx.Done():
		return c.withdraw(k, ctx.Err())
	}
}

// submit queues k if the peer's credit suffices, else lets it wait for credit.
func (c *connection) submit(k *call) error {
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
	if len(c.calls) == 0 && len(c.waiting) == 0 {
		c.lastHeard = time.Now() // silence counts from the first call in flight
		c.tick.Reset(pingAfter)
	}
	if len(c.waiting) == 0 && c.suffices(k) {
		c.launch(k)
		return nil
	}
	c.waiting = append(c.waiting, k)
	return nil
}

// suffices tells whether the credit pays for k. A call above the whole credit goes alone.
func (c *connection) suffices(k *call) bool {
	return c.granted > 0 && (c.credit >= k.Cost() || c.credit == c.granted)
}

// spend queues the waiting calls as far as the credit goes.
func (c *connection) spend() {
	for len(c.waiting) > 0 && c.suffices(c.waiting[0]) {
		c.launch(c.waiting[0])
		c.waiting[0] = nil
		c.waiting = c.waiting[1:]
	}
}

// launch pays for k and queues it.
func (c *connection) launch(k *call) {
	c.credit -= k.Cost()
	c.next++
	k.ID = c.next
	k.state = stateQueued
	c.calls[k.ID] = k
	c.enqueue(k)
}

func (c *connection) enqueue(k *call) {
	c.queue = append(c.queue, k)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// withdraw ends a call whose context ended, unless its answer has just arrived. One that was
// written is canceled at the peer, and its credit comes back with the peer's answer.
func (c *connection) withdraw(k *call, cause error) (frame.Message, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case a := <-k.answered:
		return a.Message, a.err
	default:
	}
	switch k.state {
	case stateWaiting:
		c.unwait(k)
	case stateQueued:
		c.credit += k.Cost()
		delete(c.calls, k.ID)
		c.spend()
	case stateWritten:
		c.enqueue(&call{Message: frame.Message{Kind: frame.KindCancel, ID: k.ID}})
		return frame.Message{}, cause
	}
	k.state = stateEnded
	return frame.Message{}, &UnsentError{Err: cause}
}

func (c *connection) unwait(k *call) {
	for n, other := range c.waiting {
		if other == k {
			c.waiting = append(c.waiting[:n], c.waiting[n+1:]...)
			break
		}
	}
	c.spend() // a smaller call behind it may fit
}

// write sends what is queued, many messages in a frame.
func (c *connection) write() {
	w := frame.NewWriter(c.raw)
	var batch []frame.Message
	for {
		select {
		case <-c.wake:
		case <-c.done:
			return
		}
		for batch = c.take(batch[:0]); len(batch) > 0; batch = c.take(batch[:0]) {
			_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
			if err := w.Write(c.revision(), batch); err != nil {
				c.close(err)
				return
			}
			clear(batch)
		}
	}
}

// take moves queued messages into the batch. From then on the peer may act on a call.
func (c *connection) take(batch []frame.Message) []frame.Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	size := 0
	taken := 0
	for taken < len(c.queue) && len(batch) < maxBatch && size < maxBatchSize {
		k := c.queue[taken]
		c.queue[taken] = nil
		taken++
		if k.state == stateEnded {
			continue
		}
		k.state = stateWritten
		if k.Kind == frame.KindCall && !k.deadline.IsZero() {
			k.Value = max(1, time.Until(k.deadline).Microseconds())
		}
		size += len(k.Body)
		batch = append(batch, k.Message)
	}
	if taken == len(c.queue) {
		c.queue = c.queue[:0] // its space serves again
		return batch
	}
	c.queue = c.queue[taken:]
	return batch
}

func (c *connection) read() {
	r := frame.NewReader(bufio.NewReaderSize(c.raw, readBuffer))
	for {
		f, err := r.Read()
		if err != nil {
			c.close(err)
			return
		}
		c.heard(f.Revision)
		if err := c.deliver(f); err != nil {
			c.close(err)
			return
		}
	}
}

// deliver acts on the messages of a frame. It fails with *frame.Error if one breaks the protocol.
func (c *connection) deliver(f frame.Frame) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastHeard = time.Now()
	for _, m := range f.Messages {
		switch m.Kind {
		case frame.KindReply, frame.KindRefusal:
			c.answer(m)
		case frame.KindCredit:
			if m.Value > maxCredit-c.granted {
				return &frame.Error{Reason: "grants too much credit"}
			}
			c.granted += m.Value
			c.credit += m.Value
		case frame.KindPing:
			c.enqueue(&call{Message: frame.Message{Kind: frame.KindPong}})
		case frame.KindPong:
		case frame.KindLeaving:
			c.leave()
		default:
			return &frame.Error{Reason: "message is not for the calling side"}
		}
	}
	c.spend()
	if c.leaving && len(c.calls) == 0 {
		go c.close(ErrLeaving)
	}
	return nil
}

// answer ends the call and takes its credit back; an answer to a canceled call is dropped.
func (c *connection) answer(m frame.Message) {
	k, ok := c.calls[m.ID]
	if !ok || k.state != stateWritten {
		return
	}
	delete(c.calls, m.ID)
	c.credit += k.Cost()
	k.state = stateEnded
	k.answered <- answer{Message: m}
}

// leave refuses the calls that wait for credit; those in flight finish.
func (c *connection) leave() {
	c.leaving = true
	for _, k := range c.waiting {
		k.end(&UnsentError{Err: ErrLeaving})
	}
	c.waiting = nil
}

// watch pings a peer that sends nothing, abandons a silent one and closes an idle connection.
func (c *connection) watch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	quiet := time.Since(c.lastHeard)
	switch {
	case len(c.calls) == 0 && len(c.waiting) == 0:
		if quiet >= idleTimeout {
			go c.close(errIdle)
			return
		}
		c.tick.Reset(idleTimeout - quiet)
		return
	case quiet >= silentAfter:
		go c.close(ErrStalled)
		return
	case quiet >= pingAfter:
		c.enqueue(&call{Message: frame.Message{Kind: frame.KindPing}})
	}
	c.tick.Reset(pingAfter)
}

// close ends the connection: calls that were not written fail with *UnsentError, others with *LostError.
func (c *connection) close(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	c.err = cause
	close(c.done)
	c.tick.Stop()
	_ = c.raw.Close()
	for _, k := range c.waiting {
		k.end(&UnsentError{Err: cause})
	}
	for _, k := range c.calls {
		if k.state == stateQueued {
			k.end(&UnsentError{Err: cause})
		} else {
			k.end(&LostError{Err: cause})
		}
	}
	c.waiting, c.queue, c.calls = nil, nil, nil
}

func (c *connection) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err != nil
}
