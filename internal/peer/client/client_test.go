package client

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/peer/frame"
	"crocuswing/internal/peer/handshake"
	"crocuswing/internal/peer/server"
	"crocuswing/internal/standin/network"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	address     = "10.0.0.1:7000"
	dialLatency = time.Millisecond
)

var errRefused = errors.New("refused by the method")

// harness is a server with a few test methods on an in-memory network, and a client of it.
type harness struct {
	*testing.T
	*Client
	net            *network.Network
	listener       *network.Listener
	server         *server.Server
	dials          atomic.Int64
	started        atomic.Int64
	running        atomic.Int64
	peak           atomic.Int64
	canceled       atomic.Int64
	serverRevision atomic.Uint64 // last revision received by the server
	connErrors     chan error
}

// runInBubble runs the test against a server in a synctest bubble, that is in virtual time.
func runInBubble(t *testing.T, test func(*harness), options ...server.Option) {
	synctest.Test(t, func(t *testing.T) {
		h := &harness{T: t, net: network.New(dialLatency), connErrors: make(chan error, 16)}
		h.listener = h.net.Listen(address, 100)
		methods := map[string]server.Handler{"echo": h.echo, "sleep": h.sleep, "refuse": refuse}
		options := append(options, server.WithErrorHandler(func(_ string, err error) { h.connErrors <- err }))
		h.server = server.New(methods, func() uint64 { return 9 }, h.serverRevision.Store, options...)
		go func() { _ = h.server.Serve(h.listener) }()
		h.Client = h.newClient()
		defer h.server.Shutdown(context.Background())
		defer h.Close()
		test(h)
	})
}

func (h *harness) newClient() *Client {
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		h.dials.Add(1)
		return h.net.Dial(ctx, address)
	}
	return New(address, func() uint64 { return 7 }, func(revision uint64) { require.EqualValues(h, 9, revision) }, WithDial(dial))
}

func (h *harness) echo(_ context.Context, body []byte) (any, error) {
	h.started.Add(1)
	return msgpack.RawMessage(body), nil
}

// sleep sleeps for the number of milliseconds in the request. After cancellation it returns with a delay, so that its
// reply does not race with the caller's own deadline.
func (h *harness) sleep(ctx context.Context, body []byte) (any, error) {
	h.started.Add(1)
	h.peak.Store(max(h.peak.Load(), h.running.Add(1)))
	defer h.running.Add(-1)
	var wait int
	_ = msgpack.Unmarshal(body, &wait)
	select {
	case <-time.After(time.Duration(wait) * time.Millisecond):
	case <-ctx.Done():
		h.canceled.Add(1)
		time.Sleep(10 * time.Millisecond)
	}
	return wait, nil
}

func refuse(context.Context, []byte) (any, error) { return nil, errRefused }

func (h *harness) call(method string, request any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reply any
	return h.Call(ctx, method, request, &reply)
}

// acceptNext replaces the server: serve handles the next connection, which it gets before the handshake.
func (h *harness) acceptNext(serve func(net.Conn)) {
	_ = h.listener.Close()
	l := h.net.Listen(address, 100)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_ = l.Close()
		serve(conn)
		_ = conn.Close()
	}()
}

// currentConn returns the client's current connection.
func (h *harness) currentConn() *connection {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.conn
}

// stopHeartbeat disables pings and the stall timeout, for comparison with a client that has neither.
func (h *harness) stopHeartbeat() {
	c := h.currentConn()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer.Stop()
}

func TestEachCallGetsItsReply(t *testing.T) {
	runInBubble(t, func(h *harness) {
		var group sync.WaitGroup
		for n := range 500 {
			group.Go(func() {
				wait := 1 + n*7%50 // replies arrive out of order
				var reply int
				require.NoError(h, h.Call(context.Background(), "sleep", wait, &reply))
				require.Equal(h, wait, reply)
			})
		}
		group.Wait()
		require.EqualValues(h, 1, h.dials.Load())
		require.EqualValues(h, 7, h.serverRevision.Load())
	})
}

// outcome classifies the error of a call.
func outcome(err error) string {
	var unsent *UnsentError
	var refused *RefusedError
	var lost *LostError
	switch {
	case err == nil:
		return "done"
	case errors.As(err, &unsent):
		return "unsent"
	case errors.As(err, &refused):
		return "refused"
	case errors.As(err, &lost):
		return "lost"
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	}
	return err.Error()
}

// TestFaults checks for each fault what the error shows about the call, how soon the call ends and how the next one ends.
func TestFaults(t *testing.T) {
	const deadline = 10 * time.Second
	sleepLong := func(h *harness) error { return h.call("sleep", 60_000, deadline) }
	during := func(fault func(*harness)) func(*harness) error {
		return func(h *harness) error {
			go func() {
				time.Sleep(100 * time.Millisecond)
				fault(h)
			}()
			return sleepLong(h)
		}
	}
	stall := func(h *harness) { h.listener.Conns()[0].Stall() }
	version := &handshake.Error{Status: handshake.StatusNoCommonVersion, MinVersion: 3, MaxVersion: 4}
	for _, c := range []struct {
		name   string
		call   func(*harness) error
		want   string
		cause  error         // wrapped by the error of the call
		within time.Duration // maximum duration of the call in virtual time
		again  string        // outcome of another call right after it
	}{
		{name: "method refuses", call: func(h *harness) error { return h.call("refuse", 1, deadline) }, want: "refused", again: "done"},
		{name: "no such method", call: func(h *harness) error { return h.call("other", 1, deadline) }, want: "refused", again: "done"},
		{
			name: "call too long", call: func(h *harness) error { return h.call("echo", make([]byte, frame.MaxBodyBytes), deadline) },
			want: "unsent", again: "done",
		},
		{name: "deadline passes at the peer", call: func(h *harness) error { return h.call("sleep", 60_000, time.Second) }, want: "timeout", within: time.Second, again: "done"},
		{name: "connection stalls", call: during(stall), want: "lost", cause: ErrStalled, within: 3 * time.Second, again: "done"},
		{
			name: "connection stalls without liveness checks", want: "timeout", within: deadline, again: "timeout",
			call: during(func(h *harness) { h.stopHeartbeat(); stall(h) }),
		},
		{name: "peer resets", call: during(func(h *harness) { _ = h.listener.Conns()[0].Close() }), want: "lost", within: 200 * time.Millisecond, again: "done"},
		{name: "client closes", call: during(func(h *harness) { h.Close() }), want: "lost", cause: ErrClosed, within: 200 * time.Millisecond, again: "unsent"},
		{name: "peer is unreachable", call: func(h *harness) error { _ = h.listener.Close(); return sleepLong(h) }, want: "unsent", within: 100 * time.Millisecond, again: "unsent"},
		{
			name: "peer supports no common version", want: "unsent", cause: version, within: 100 * time.Millisecond, again: "unsent",
			call: func(h *harness) error {
				h.acceptNext(func(conn net.Conn) {
					_, _ = conn.Read(make([]byte, 8))
					_, _ = conn.Write([]byte("CWNG\x03\x04\x01\x00"))
				})
				return sleepLong(h)
			},
		},
		{
			name: "other end is not an instance", want: "unsent", within: 100 * time.Millisecond, again: "unsent",
			call: func(h *harness) error {
				h.acceptNext(func(conn net.Conn) { _, _ = conn.Write([]byte("HTTP/1.1 400 Bad Request\r\n")) })
				return sleepLong(h)
			},
		},
		{
			name: "handshake hangs", want: "unsent", within: dialTimeout + 100*time.Millisecond, again: "unsent",
			call: func(h *harness) error {
				h.acceptNext(func(net.Conn) { time.Sleep(time.Minute) })
				return sleepLong(h)
			},
		},
		{
			name: "peer sends garbage", want: "lost", cause: &frame.Error{}, within: 100 * time.Millisecond, again: "unsent",
			call: func(h *harness) error {
				h.acceptNext(func(conn net.Conn) {
					_, _ = handshake.Accept(conn, handshake.StatusAccepted)
					_ = frame.NewWriter(conn).Write(9, []frame.Message{{Kind: frame.KindCredit, Value: 8}})
					_, _ = conn.Read(make([]byte, 64))
					_, _ = conn.Write(make([]byte, 64))
				})
				return sleepLong(h)
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			runInBubble(t, func(h *harness) {
				start := time.Now()
				err := c.call(h)
				require.Equal(h, c.want, outcome(err), "%v", err)
				if c.within > 0 {
					require.LessOrEqual(h, time.Since(start), c.within+10*time.Millisecond)
				}
				requireCause(h, err, c.cause)
				require.Equal(h, c.again, outcome(h.call("echo", 1, deadline)))
				time.Sleep(time.Minute)
			})
		})
	}
}

// requireCause checks that err wraps cause: the same value, or for a frame error the same type.
func requireCause(h *harness, err, cause error) {
	var wrong, want *handshake.Error
	var malformed *frame.Error
	switch {
	case errors.As(cause, &want):
		require.ErrorAs(h, err, &wrong)
		require.Equal(h, want, wrong)
	case errors.As(cause, &malformed):
		require.ErrorAs(h, err, &malformed)
	case cause != nil:
		require.ErrorIs(h, err, cause)
	}
}
