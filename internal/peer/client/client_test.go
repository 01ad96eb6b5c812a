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
	address  = "10.0.0.1:7000"
	dialCost = time.Millisecond
)

var errRefused = errors.New("refused by the method")

// rig is a server with a few methods on a network in memory, and a client.
type rig struct {
	*testing.T
	*Client
	net       *network.Network
	listener  *network.Listener
	server    *server.Server
	dials     atomic.Int64
	ran       atomic.Int64
	running   atomic.Int64
	peak      atomic.Int64
	withdrawn atomic.Int64
	heard     atomic.Uint64 // revision that the server heard
	broken    chan error
}

// bubble runs the test in virtual time against a server.
func bubble(t *testing.T, test func(*rig), options ...server.Option) {
	synctest.Test(t, func(t *testing.T) {
		r := &rig{T: t, net: network.New(dialCost), broken: make(chan error, 16)}
		r.listener = r.net.Listen(address, 100)
		methods := map[string]server.Handler{"echo": r.echo, "sleep": r.sleep, "refuse": refuse}
		options := append(options, server.WithErrorHandler(func(_ string, err error) { r.broken <- err }))
		r.server = server.New(methods, func() uint64 { return 9 }, r.heard.Store, options...)
		go func() { _ = r.server.Serve(r.listener) }()
		r.Client = r.newClient()
		defer r.server.Shutdown(context.Background())
		defer r.Close()
		test(r)
	})
}

func (r *rig) newClient() *Client {
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		r.dials.Add(1)
		return r.net.Dial(ctx, address)
	}
	return New(address, func() uint64 { return 7 }, func(revision uint64) { require.EqualValues(r, 9, revision) }, WithDial(dial))
}

func (r *rig) echo(_ context.Context, body []byte) (any, error) {
	r.ran.Add(1)
	return msgpack.RawMessage(body), nil
}

// sleep takes as many milliseconds as the call says. It ends a while after it is withdrawn, so that
// no reply competes with the caller's own deadline.
func (r *rig) sleep(ctx context.Context, body []byte) (any, error) {
	r.ran.Add(1)
	r.peak.Store(max(r.peak.Load(), r.running.Add(1)))
	defer r.running.Add(-1)
	var wait int
	_ = msgpack.Unmarshal(body, &wait)
	select {
	case <-time.After(time.Duration(wait) * time.Millisecond):
	case <-ctx.Done():
		r.withdrawn.Add(1)
		time.Sleep(10 * time.Millisecond)
	}
	return wait, nil
}

func refuse(context.Context, []byte) (any, error) { return nil, errRefused }

func (r *rig) call(method string, request any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reply any
	return r.Call(ctx, method, request, &reply)
}

// accept takes over the peer's side of the next connection, after the handshake.
func (r *rig) accept(serve func(net.Conn)) {
	_ = r.listener.Close()
	l := r.net.Listen(address, 100)
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

// open gives the present connection.
func (r *rig) open() *connection {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conn
}

// stopHeartbeat makes the naive policy.
func (r *rig) stopHeartbeat() {
	c := r.open()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tick.Stop()
}

func TestEachCallGetsItsReply(t *testing.T) {
	bubble(t, func(r *rig) {
		var group sync.WaitGroup
		for n := range 500 {
			group.Go(func() {
				wait := 1 + n*7%50 // replies overtake each other
				var reply int
				require.NoError(r, r.Call(context.Background(), "sleep", wait, &reply))
				require.Equal(r, wait, reply)
			})
		}
		group.Wait()
		require.EqualValues(r, 1, r.dials.Load())
		require.EqualValues(r, 7, r.heard.Load())
	})
}

// outcome classifies what a failed call proves.
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

func TestFaults(t *testing.T) {
	const deadline = 10 * time.Second
	sleepLong := func(r *rig) error { return r.call("sleep", 60_000, deadline) }
	during := func(fault func(*rig)) func(*rig) error {
		return func(r *rig) error {
			go func() {
				time.Sleep(100 * time.Millisecond)
				fault(r)
			}()
			return sleepLong(r)
		}
	}
	silence := func(r *rig) { r.listener.Conns()[0].Stall() }
	version := &handshake.Error{Status: handshake.StatusNoCommonVersion, MinVersion: 3, MaxVersion: 4}
	for _, c := range []struct {
		name   string
		call   func(*rig) error
		want   string
		cause  error         // expected in the chain
		within time.Duration // virtual time
		again  string        // outcome of a further call at once
	}{
		{name: "method refuses", call: func(r *rig) error { return r.call("refuse", 1, deadline) }, want: "refused", again: "done"},
		{name: "no such method", call: func(r *rig) error { return r.call("other", 1, deadline) }, want: "refused", again: "done"},
		{
			name: "call too long", call: func(r *rig) error { return r.call("echo", make([]byte, frame.MaxBodyBytes), deadline) },
			want: "unsent", again: "done",
		},
		{name: "deadline passes at the peer", call: func(r *rig) error { return r.call("sleep", 60_000, time.Second) }, want: "timeout", within: time.Second, again: "done"},
		{name: "peer is silent", call: during(silence), want: "lost", cause: ErrStalled, within: 3 * time.Second, again: "done"},
		{
			name: "peer is silent, naive policy", want: "timeout", within: deadline, again: "timeout",
			call: during(func(r *rig) { r.stopHeartbeat(); silence(r) }),
		},
		{name: "peer resets", call: during(func(r *rig) { _ = r.listener.Conns()[0].Close() }), want: "lost", within: 200 * time.Millisecond, again: "done"},
		{name: "own end closes", call: during(func(r *rig) { r.Close() }), want: "lost", cause: ErrClosed, within: 200 * time.Millisecond, again: "unsent"},
		{name: "peer is not there", call: func(r *rig) error { _ = r.listener.Close(); return sleepLong(r) }, want: "unsent", within: 100 * time.Millisecond, again: "unsent"},
		{
			name: "peer speaks another version", want: "unsent", cause: version, within: 100 * time.Millisecond, again: "unsent",
			call: func(r *rig) error {
				r.accept(func(conn net.Conn) {
					_, _ = conn.Read(make([]byte, 8))
					_, _ = conn.Write([]byte("CWNG\x03\x04\x01\x00"))
				})
				return sleepLong(r)
			},
		},
		{
			name: "other end is no instance", want: "unsent", within: 100 * time.Millisecond, again: "unsent",
			call: func(r *rig) error {
				r.accept(func(conn net.Conn) { _, _ = conn.Write([]byte("HTTP/1.1 400 Bad Request\r\n")) })
				return sleepLong(r)
			},
		},
		{
			name: "handshake hangs", want: "unsent", within: dialTimeout + 100*time.Millisecond, again: "unsent",
			call: func(r *rig) error {
				r.accept(func(net.Conn) { time.Sleep(time.Minute) })
				return sleepLong(r)
			},
		},
		{
			name: "peer sends garbage", want: "lost", cause: &frame.Error{}, within: 100 * time.Millisecond, again: "unsent",
			call: func(r *rig) error {
				r.accept(func(conn net.Conn) {
					_, _ = handshake.Accept(conn, handshake.StatusAccepted)
					_ = frame.NewWriter(conn).Write(9, []frame.Message{{Kind: frame.KindCredit, Value: 8}})
					_, _ = conn.Read(make([]byte, 64))
					_, _ = conn.Write(make([]byte, 64))
				})
				return sleepLong(r)
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, func(r *rig) {
				start := time.Now()
				err := c.call(r)
				require.Equal(r, c.want, outcome(err), "%v", err)
				if c.within > 0 {
					require.LessOrEqual(r, time.Since(start), c.within+10*time.Millisecond)
				}
				requireCause(r, err, c.cause)
				require.Equal(r, c.again, outcome(r.call("echo", 1, deadline)))
				time.Sleep(time.Minute)
			})
		})
	}
}

// requireCause wants cause in the chain of err: the same value, or for a frame error the same type.
func requireCause(r *rig, err, cause error) {
	var wrong, want *handshake.Error
	var malformed *frame.Error
	switch {
	case errors.As(cause, &want):
		require.ErrorAs(r, err, &wrong)
		require.Equal(r, want, wrong)
	case errors.As(cause, &malformed):
		require.ErrorAs(r, err, &malformed)
	case cause != nil:
		require.ErrorIs(r, err, cause)
	}
}
