package server

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"crocuswing/internal/peer/frame"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	defaultLimit = 10 * time.Second // for calls that state no time left
	idleTimeout  = 2 * time.Minute  // without any frame; twice the dialer's
	writeTimeout = 2 * time.Second  // for one frame
	maxBatch     = 128              // messages in a frame
	maxBatchSize = 256 << 10        // bytes of bodies after which a frame takes no further message
	readBuffer   = 16 << 10
)

var errIdle = errors.New("connection was idle")

// session is one accepted connection.
type session struct {
	server *Server
	raw    net.Conn
	window int64 // credit granted, in units
	wake   chan struct{}
	ctx    context.Context // ends with the connection
	cancel context.CancelFunc

	mu      sync.Mutex
	used    int64 // credit of the calls that are not answered
	running map[uint64]running
	queue   []outgoing
	closed  bool
}

// running is a call in flight.
type running struct {
	units  int64
	cancel context.CancelFunc
}

// outgoing is a message on its way; written is called once it has left the process or never will.
type outgoing struct {
	frame.Message
	written func()
}

func newSession(s *Server, raw net.Conn) *session {
	c := &session{server: s, raw: raw, wake: make(chan struct{}, 1), running: make(map[uint64]running)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// run grants the credit and serves until the connection ends. It gives nil if the peer closed it.
func (c *session) run() error {
	c.enqueue(outgoing{Message: frame.Message{Kind: frame.KindCredit, Value: c.window}})
	c.server.running.Go(c.write)
	r := frame.NewReader(bufio.NewReaderSize(c.raw, readBuffer))
	for {
		_ = c.raw.SetReadDeadline(time.Now().Add(idleTimeout))
		f, err := r.Read()
		if err != nil {
			return c.readError(err)
		}
		c.server.heard(f.Revision)
		for _, m := range f.Messages {
			if err := c.take(m); err != nil {
				return err
			}
		}
	}
}

func (c *session) readError(err error) error {
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed), c.ctx.Err() != nil:
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errIdle
	}
	return err
}

// take acts on one message. It fails with *frame.Error if it breaks the protocol.
func (c *session) take(m frame.Message) error {
	switch m.Kind {
	case frame.KindCall:
		return c.begin(m)
	case frame.KindCancel:
		c.withdraw(m.ID)
	case frame.KindPing:
		c.enqueue(outgoing{Message: frame.Message{Kind: frame.KindPong}})
	case frame.KindPong:
	default:
		return &frame.Error{Reason: "message is not for the answering side"}
	}
	return nil
}

// begin runs a call in the background, or refuses it while the server stops.
func (c *session) begin(m frame.Message) error {
	limit := defaultLimit
	if m.Value > 0 {
		limit = time.Duration(min(m.Value, defaultLimit.Microseconds())) * time.Microsecond
	}
	ctx, cancel := context.WithTimeout(c.ctx, limit)
	if err := c.charge(m, cancel); err != nil {
		cancel()
		return err
	}
	if !c.server.admit() {
		cancel()
		c.enqueue(outgoing{Message: refusal(m.ID, frame.CodeLeaving, "instance is leaving")})
		return nil
	}
	go func() {
		defer cancel()
		c.enqueue(outgoing{Message: c.server.answer(ctx, m), written: c.server.calls.Done})
	}()
	return nil
}

// charge takes the call's units from the credit. A call above the whole credit may come alone.
func (c *session) charge(m frame.Message, cancel context.CancelFunc) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	units := m.Cost()
	if m.ID == 0 {
		return &frame.Error{Reason: "call has no ID"}
	}
	if c.used > 0 && c.used+units > c.window {
		return &frame.Error{Reason: "call exceeds the credit"}
	}
	if _, ok := c.running[m.ID]; ok {
		return &frame.Error{Reason: "call has the ID of another one in flight"}
	}
	c.used += units
	c.running[m.ID] = running{units: units, cancel: cancel}
	return nil
}

func (c *session) withdraw(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := c.running[id]; ok {
		r.cancel()
	}
}

// answer runs the method and gives the message that answers m.
func (s *Server) answer(ctx context.Context, m frame.Message) frame.Message {
	method, ok := s.methods[m.Method]
	if !ok {
		return refusal(m.ID, frame.CodeNoMethod, "there is no method "+m.Method)
	}
	value, err := method(ctx, m.Body)
	if err != nil {
		return refusal(m.ID, frame.CodeMethod, err.Error())
	}
	body, err := msgpack.Marshal(value)
	if err != nil || len(body) > frame.MaxBodyBytes {
		// The method has run: an empty body makes the caller fail without a claim that it has not.
		return frame.Message{Kind: frame.KindReply, ID: m.ID}
	}
	return frame.Message{Kind: frame.KindReply, ID: m.ID, Body: body}
}

func refusal(id uint64, code int64, reason string) frame.Message {
	return frame.Message{Kind: frame.KindRefusal, ID: id, Value: code, Body: []byte(reason)}
}

func (c *session) announceLeaving() {
	c.enqueue(outgoing{Message: frame.Message{Kind: frame.KindLeaving}})
}

func (c *session) enqueue(o outgoing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		o.done()
		return
	}
	c.queue = append(c.queue, o)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (o outgoing) done() {
	if o.written != nil {
		o.written()
	}
}

// write sends what is queued, many messages in a frame.
func (c *session) write() {
	w := frame.NewWriter(c.raw)
	var batch []outgoing
	var messages []frame.Message
	for {
		select {
		case <-c.wake:
		case <-c.ctx.Done():
			return
		}
		for batch = c.dequeue(batch[:0]); len(batch) > 0; batch = c.dequeue(batch[:0]) {
			messages = messages[:0]
			for _, o := range batch {
				messages = append(messages, o.Message)
			}
			_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
			err := w.Write(c.server.revision(), messages)
			for _, o := range batch {
				o.done()
			}
			clear(batch)
			clear(messages)
			if err != nil {
				c.close()
				return
			}
		}
	}
}

// dequeue moves queued messages into the batch and gives back the credit of the calls they answer,
// before the peer can see the answers.
func (c *session) dequeue(batch []outgoing) []outgoing {
	c.mu.Lock()
	defer c.mu.Unlock()
	size := 0
	n := 0
	for n < len(c.queue) && n < maxBatch && size < maxBatchSize {
		o := c.queue[n]
		size += len(o.Body)
		batch = append(batch, o)
		if r, ok := c.running[o.ID]; ok {
			c.used -= r.units
			delete(c.running, o.ID)
		}
		n++
	}
	clear(c.queue[:n])
	if n == len(c.queue) {
		c.queue = c.queue[:0] // its space serves again
		return batch
	}
	c.queue = c.queue[n:]
	return batch
}

// close ends the connection and withdraws its calls.
func (c *session) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	c.cancel()
	_ = c.raw.Close()
	for _, o := range c.queue {
		o.done()
	}
	c.queue = nil
}
