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
	"crocuswing/internal/wire/nesting"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	maxCallTimeout   = 10 * time.Second // also for calls without a remaining time
	idleTimeout      = 2 * time.Minute  // without any received frame; twice the client's idle timeout
	writeTimeout     = 2 * time.Second  // per frame
	maxBatchMessages = 128              // messages per frame
	maxBatchBytes    = 256 << 10        // a frame takes no further messages once their bodies reach this size
	readBufferBytes  = 16 << 10
)

var errIdleTimeout = errors.New("connection was idle")

// session is an accepted connection.
type session struct {
	server *Server
	raw    net.Conn
	window int64           // units of credit granted to the peer
	wake   chan struct{}   // signals writeLoop that the queue is not empty
	ctx    context.Context // canceled when the connection is closed
	cancel context.CancelFunc

	mu         sync.Mutex
	usedCredit int64 // units of credit of the calls in flight
	inFlight   map[uint64]activeCall
	queue      []outgoing
	closed     bool
}

// activeCall is a call whose reply has not been put into a frame yet.
type activeCall struct {
	cost   int64
	cancel context.CancelFunc
}

// outgoing is a queued message. onWritten is called when the message has been written or discarded.
type outgoing struct {
	frame.Message
	onWritten func()
}

func newSession(s *Server, raw net.Conn) *session {
	c := &session{server: s, raw: raw, wake: make(chan struct{}, 1), inFlight: make(map[uint64]activeCall)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// run grants credit to the peer and serves its calls until the connection ends. It returns nil if either side closed the
// connection.
func (c *session) run() error {
	c.enqueue(outgoing{Message: frame.Message{Kind: frame.KindCredit, Value: c.window}})
	c.server.goroutines.Go(c.writeLoop)
	r := frame.NewReader(bufio.NewReaderSize(c.raw, readBufferBytes))
	for {
		_ = c.raw.SetReadDeadline(time.Now().Add(idleTimeout))
		f, err := r.Read()
		if err != nil {
			return c.readError(err)
		}
		c.server.onRevision(f.Revision)
		for _, m := range f.Messages {
			if err := c.handleMessage(m); err != nil {
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
		return errIdleTimeout
	}
	return err
}

// handleMessage processes one message. It returns *frame.Error if the message violates the protocol.
func (c *session) handleMessage(m frame.Message) error {
	switch m.Kind {
	case frame.KindCall:
		return c.startCall(m)
	case frame.KindCancel:
		c.cancelCall(m.ID)
	case frame.KindPing:
		c.enqueue(outgoing{Message: frame.Message{Kind: frame.KindPong}})
	case frame.KindPong:
	default:
		return &frame.Error{Reason: "message is not for the answering side"}
	}
	return nil
}

// startCall runs a call in the background, or refuses it if the server is shutting down.
func (c *session) startCall(m frame.Message) error {
	timeout := maxCallTimeout
	if m.Value > 0 {
		timeout = time.Duration(min(m.Value, maxCallTimeout.Microseconds())) * time.Microsecond
	}
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	if err := c.reserveCredit(m, cancel); err != nil {
		cancel()
		return err
	}
	if !c.server.beginCall() {
		cancel()
		c.enqueue(outgoing{Message: refusal(m.ID, frame.CodeLeaving, "instance is leaving")})
		return nil
	}
	go func() {
		defer cancel()
		c.enqueue(outgoing{Message: c.server.invoke(ctx, m), onWritten: c.server.activeCalls.Done})
	}()
	return nil
}

// reserveCredit registers a call and charges its cost to the credit of the session. A call that costs more than the
// whole window is accepted only if no other call is in flight.
func (c *session) reserveCredit(m frame.Message, cancel context.CancelFunc) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	cost := m.Cost()
	if m.ID == 0 {
		return &frame.Error{Reason: "call has no ID"}
	}
	if c.usedCredit > 0 && c.usedCredit+cost > c.window {
		return &frame.Error{Reason: "call exceeds the credit"}
	}
	if _, ok := c.inFlight[m.ID]; ok {
		return &frame.Error{Reason: "call has the ID of another one in flight"}
	}
	c.usedCredit += cost
	c.inFlight[m.ID] = activeCall{cost: cost, cancel: cancel}
	return nil
}

func (c *session) cancelCall(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call, ok := c.inFlight[id]; ok {
		call.cancel()
	}
}

// invoke runs the handler of call m and returns the reply or refusal.
func (s *Server) invoke(ctx context.Context, m frame.Message) frame.Message {
	handler, ok := s.handlers[m.Method]
	if !ok {
		return refusal(m.ID, frame.CodeNoMethod, "there is no method "+m.Method)
	}
	if err := nesting.Check(m.Body); err != nil {
		return refusal(m.ID, frame.CodeMethod, err.Error())
	}
	value, err := handler(ctx, m.Body)
	if err != nil {
		return refusal(m.ID, frame.CodeMethod, err.Error())
	}
	body, err := msgpack.Marshal(value)
	if err != nil || len(body) > frame.MaxBodyBytes {
		// A refusal would assert that the handler did not run. The empty body makes decoding fail at the caller instead.
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
		o.notifyWritten()
		return
	}
	c.queue = append(c.queue, o)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (o outgoing) notifyWritten() {
	if o.onWritten != nil {
		o.onWritten()
	}
}

// writeLoop writes queued messages in batches, one frame per batch, until the connection is closed.
func (c *session) writeLoop() {
	w := frame.NewWriter(c.raw)
	var batch []outgoing
	var messages []frame.Message
	for {
		select {
		case <-c.wake:
		case <-c.ctx.Done():
			return
		}
		for batch = c.nextBatch(batch[:0]); len(batch) > 0; batch = c.nextBatch(batch[:0]) {
			messages = messages[:0]
			for _, o := range batch {
				messages = append(messages, o.Message)
			}
			_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
			err := w.Write(c.server.revision(), messages)
			for _, o := range batch {
				o.notifyWritten()
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

// nextBatch moves queued messages into batch. It releases the credit of the calls that they reply to before the peer can
// receive the replies and use the credit again.
func (c *session) nextBatch(batch []outgoing) []outgoing {
	c.mu.Lock()
	defer c.mu.Unlock()
	size := 0
	n := 0
	for n < len(c.queue) && n < maxBatchMessages && size < maxBatchBytes {
		o := c.queue[n]
		size += len(o.Body)
		batch = append(batch, o)
		if call, ok := c.inFlight[o.ID]; ok {
			c.usedCredit -= call.cost
			delete(c.inFlight, o.ID)
		}
		n++
	}
	clear(c.queue[:n])
	if n == len(c.queue) {
		c.queue = c.queue[:0] // reuses the backing array
		return batch
	}
	c.queue = c.queue[n:]
	return batch
}

// close closes the connection, cancels its calls and discards queued messages.
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
		o.notifyWritten()
	}
	c.queue = nil
}
