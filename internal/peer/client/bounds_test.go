package client

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/peer/frame"
	"crocuswing/internal/peer/handshake"
	"crocuswing/internal/peer/server"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

func TestCancelReachesThePeer(t *testing.T) {
	runInBubble(t, func(h *harness) {
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			time.Sleep(10 * time.Millisecond)
			cancel()
		}()
		var reply any
		require.ErrorIs(h, h.Call(ctx, "sleep", 60_000, &reply), context.Canceled)
		time.Sleep(time.Second)
		require.EqualValues(h, 1, h.canceled.Load())
		require.Zero(h, h.running.Load())
		c := h.currentConn()
		c.mu.Lock()
		defer c.mu.Unlock()
		require.Equal(h, c.granted, c.available, "the credit must be returned")
	})
}

// TestCredit checks what happens to calls without credit: the peer grants credit for two calls and replies to none.
func TestCredit(t *testing.T) {
	runInBubble(t, func(h *harness) {
		h.acceptNext(func(conn net.Conn) {
			_, _ = handshake.Accept(conn, handshake.StatusAccepted)
			_ = frame.NewWriter(conn).Write(9, []frame.Message{{Kind: frame.KindCredit, Value: 2}})
			time.Sleep(time.Minute)
		})
		outcomes := make(chan error, 2*maxWaiting)
		send := func(n int, timeout time.Duration) {
			for range n {
				go func() { outcomes <- h.call("sleep", 1, timeout) }()
			}
			time.Sleep(10 * time.Millisecond)
		}
		send(2, time.Second)          // use up the credit
		send(maxWaiting, time.Second) // wait for credit
		send(10, time.Second)         // exceed maxWaiting
		count := make(map[string]int)
		for range maxWaiting + 12 {
			err := <-outcomes
			count[outcome(err)]++
			if errors.Is(err, ErrTooManyWaiting) {
				count["bounded"]++
			}
		}
		require.Equal(h, map[string]int{"timeout": 2, "unsent": maxWaiting + 10, "bounded": 10}, count)
		time.Sleep(time.Minute)
	})
}

// TestServerEnforcesCredit checks that a client that exceeds its credit affects only its own connection.
func TestServerEnforcesCredit(t *testing.T) {
	runInBubble(t, func(h *harness) {
		require.NoError(h, h.call("echo", 1, time.Second))
		conn, err := h.net.Dial(context.Background(), address)
		require.NoError(h, err)
		_, err = handshake.Dial(conn)
		require.NoError(h, err)
		body, _ := msgpack.Marshal(60_000)
		w := frame.NewWriter(conn)
		for id := range uint64(10_000) {
			_ = w.Write(1, []frame.Message{{Kind: frame.KindCall, ID: id + 1, Method: "sleep", Body: body}})
		}
		var e *frame.Error
		require.ErrorAs(h, <-h.connErrors, &e)
		require.LessOrEqual(h, h.peak.Load(), int64(4096))
		require.NoError(h, h.call("echo", 1, time.Second))
		require.EqualValues(h, 1, h.dials.Load())
	})
}

// TestCallAboveCredit sends calls that each cost more than all credit of a connection.
func TestCallAboveCredit(t *testing.T) {
	runInBubble(t, func(h *harness) {
		for range 3 {
			require.NoError(h, h.call("echo", make([]byte, frame.MaxBodyBytes-1024), time.Second))
		}
	}, server.WithMaxConnections(1<<20)) // so high that each connection gets the minimum credit
}

// TestDialIsShared checks that a call waits for the dial of an earlier call, but only until its own deadline.
func TestDialIsShared(t *testing.T) {
	runInBubble(t, func(h *harness) {
		h.acceptNext(func(net.Conn) { time.Sleep(time.Minute) }) // the handshake hangs
		go func() { _ = h.call("echo", 1, time.Minute) }()
		synctest.Wait()
		start := time.Now()
		require.Equal(h, "unsent", outcome(h.call("echo", 1, 20*time.Millisecond)))
		require.Equal(h, 20*time.Millisecond, time.Since(start))
		require.EqualValues(h, 1, h.dials.Load())
		time.Sleep(time.Minute)
	})
}

// TestBackoff counts the dials to an unreachable peer under a steady load of calls.
func TestBackoff(t *testing.T) {
	runInBubble(t, func(h *harness) {
		_ = h.listener.Close()
		for range 6000 { // a minute
			require.Equal(h, "unsent", outcome(h.call("echo", 1, time.Second)))
			time.Sleep(10 * time.Millisecond)
		}
		// Six doublings reach maxBackoff; after that, jitter allows at most one dial per half of it.
		require.LessOrEqual(h, h.dials.Load(), int64(6+time.Minute/(maxBackoff/2)))
		require.GreaterOrEqual(h, h.dials.Load(), int64(time.Minute/maxBackoff))
	})
}

// TestConnectionLimit checks that a connection above the limit is refused and does not affect the open one.
func TestConnectionLimit(t *testing.T) {
	runInBubble(t, func(h *harness) {
		require.NoError(h, h.call("echo", 1, time.Second))
		other := h.newClient()
		defer other.Close()
		var reply any
		err := other.Call(context.Background(), "echo", 1, &reply)
		var refused *handshake.Error
		require.ErrorAs(h, err, &refused)
		require.Equal(h, handshake.StatusTooManyConnections, refused.Status)
		require.Equal(h, "unsent", outcome(err))
		require.NoError(h, h.call("echo", 1, time.Second))
	}, server.WithMaxConnections(1))
}

// TestPlannedStop checks that a server that shuts down replies to every call in flight and runs no later one.
func TestPlannedStop(t *testing.T) {
	runInBubble(t, func(h *harness) {
		const calls = 200
		outcomes := make(chan string, calls)
		for range calls {
			go func() { outcomes <- outcome(h.call("sleep", 500, 10*time.Second)) }()
		}
		time.Sleep(100 * time.Millisecond)
		start := time.Now()
		go h.server.Shutdown(context.Background())
		synctest.Wait()
		require.Equal(h, "unsent", outcome(h.call("sleep", 1, time.Second)))
		for range calls {
			require.Equal(h, "done", <-outcomes)
		}
		synctest.Wait()
		require.True(h, h.currentConn().isClosed())
		require.LessOrEqual(h, time.Since(start), 500*time.Millisecond)
		require.EqualValues(h, calls, h.started.Load())
	})
}

// TestStopWithoutAnnouncement checks that a server that shuts down refuses, and does not run, the calls of a client that
// has not yet received the announcement.
func TestStopWithoutAnnouncement(t *testing.T) {
	runInBubble(t, func(h *harness) {
		go func() { _ = h.call("sleep", 500, time.Second) }()
		time.Sleep(100 * time.Millisecond)
		go h.server.Shutdown(context.Background())
		synctest.Wait()
		c := h.currentConn()
		c.mu.Lock()
		c.leaving = false
		c.mu.Unlock()
		err := h.call("echo", 1, time.Second)
		var refused *RefusedError
		require.ErrorAs(h, err, &refused)
		require.True(h, refused.Leaving)
		require.EqualValues(h, 1, h.started.Load())
	})
}

// TestIdleConnection checks that an idle connection is closed and that the next call opens a new one.
func TestIdleConnection(t *testing.T) {
	runInBubble(t, func(h *harness) {
		require.NoError(h, h.call("echo", 1, time.Second))
		time.Sleep(idleTimeout + time.Second)
		require.Zero(h, h.listener.OpenConns())
		require.NoError(h, h.call("echo", 1, time.Second))
		require.EqualValues(h, 2, h.dials.Load())
	})
}

// BenchmarkCall measures round trips over loopback. Parallel calls share frames.
func BenchmarkCall(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	echo := func(_ context.Context, body []byte) (any, error) { return msgpack.RawMessage(body), nil }
	nothing := func(uint64) {}
	revision := func() uint64 { return 1 }
	s := server.New(map[string]server.Handler{"echo": echo}, revision, nothing)
	go func() { _ = s.Serve(l) }()
	defer s.Shutdown(context.Background())
	for _, parallel := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("batch=%d", parallel), func(b *testing.B) {
			c := New(l.Addr().String(), revision, nothing)
			defer c.Close()
			b.ReportAllocs()
			var left atomic.Int64
			left.Store(int64(b.N))
			var group sync.WaitGroup
			for range parallel {
				group.Go(func() {
					request := make([]byte, 120)
					var reply msgpack.RawMessage
					for left.Add(-1) >= 0 {
						if err := c.Call(context.Background(), "echo", request, &reply); err != nil {
							b.Error(err)
						}
					}
				})
			}
			group.Wait()
		})
	}
}
