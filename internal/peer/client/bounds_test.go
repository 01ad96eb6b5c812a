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
	bubble(t, func(r *rig) {
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			time.Sleep(10 * time.Millisecond)
			cancel()
		}()
		var reply any
		require.ErrorIs(r, r.Call(ctx, "sleep", 60_000, &reply), context.Canceled)
		time.Sleep(time.Second)
		require.EqualValues(r, 1, r.withdrawn.Load())
		require.Zero(r, r.running.Load())
		c := r.open()
		c.mu.Lock()
		defer c.mu.Unlock()
		require.Equal(r, c.granted, c.credit, "the credit came back")
	})
}

// TestCredit has a peer that grants few calls and answers none.
func TestCredit(t *testing.T) {
	bubble(t, func(r *rig) {
		r.accept(func(conn net.Conn) {
			_, _ = handshake.Accept(conn, handshake.StatusAccepted)
			_ = frame.NewWriter(conn).Write(9, []frame.Message{{Kind: frame.KindCredit, Value: 2}})
			time.Sleep(time.Minute)
		})
		outcomes := make(chan error, 2*maxWaiting)
		send := func(n int, timeout time.Duration) {
			for range n {
				go func() { outcomes <- r.call("sleep", 1, timeout) }()
			}
			time.Sleep(10 * time.Millisecond)
		}
		send(2, time.Second)          // have credit
		send(maxWaiting, time.Second) // wait for it
		send(10, time.Second)         // find too many waiting
		count := make(map[string]int)
		for range maxWaiting + 12 {
			err := <-outcomes
			count[outcome(err)]++
			if errors.Is(err, ErrTooManyWaiting) {
				count["bounded"]++
			}
		}
		require.Equal(r, map[string]int{"timeout": 2, "unsent": maxWaiting + 10, "bounded": 10}, count)
		time.Sleep(time.Minute)
	})
}

// TestServerEnforcesCredit lets a dialer that ignores its credit harm only its own connection.
func TestServerEnforcesCredit(t *testing.T) {
	bubble(t, func(r *rig) {
		require.NoError(r, r.call("echo", 1, time.Second))
		conn, err := r.net.Dial(context.Background(), address)
		require.NoError(r, err)
		_, err = handshake.Dial(conn)
		require.NoError(r, err)
		body, _ := msgpack.Marshal(60_000)
		w := frame.NewWriter(conn)
		for id := range uint64(10_000) {
			_ = w.Write(1, []frame.Message{{Kind: frame.KindCall, ID: id + 1, Method: "sleep", Body: body}})
		}
		var e *frame.Error
		require.ErrorAs(r, <-r.broken, &e)
		require.LessOrEqual(r, r.peak.Load(), int64(4096))
		require.NoError(r, r.call("echo", 1, time.Second))
		require.EqualValues(r, 1, r.dials.Load())
	})
}

// TestLongCallGoesAlone sends a call above the whole credit of a connection.
func TestLongCallGoesAlone(t *testing.T) {
	bubble(t, func(r *rig) {
		for range 3 {
			require.NoError(r, r.call("echo", make([]byte, frame.MaxBodyBytes-1024), time.Second))
		}
	}, server.WithMaxConnections(1<<20)) // so many connections that each gets the least credit
}

func TestDialIsShared(t *testing.T) {
	bubble(t, func(r *rig) {
		r.accept(func(net.Conn) { time.Sleep(time.Minute) }) // the handshake hangs
		go func() { _ = r.call("echo", 1, time.Minute) }()
		synctest.Wait()
		start := time.Now()
		require.Equal(r, "unsent", outcome(r.call("echo", 1, 20*time.Millisecond)))
		require.Equal(r, 20*time.Millisecond, time.Since(start))
		require.EqualValues(r, 1, r.dials.Load())
		time.Sleep(time.Minute)
	})
}

// TestBackoff counts the dials to a dead peer under a steady load of calls.
func TestBackoff(t *testing.T) {
	bubble(t, func(r *rig) {
		_ = r.listener.Close()
		for range 6000 { // a minute
			require.Equal(r, "unsent", outcome(r.call("echo", 1, time.Second)))
			time.Sleep(10 * time.Millisecond)
		}
		// Six doublings to the longest wait, then at most one dial in half of it.
		require.LessOrEqual(r, r.dials.Load(), int64(6+time.Minute/(maxBackoff/2)))
		require.GreaterOrEqual(r, r.dials.Load(), int64(time.Minute/maxBackoff))
	})
}

func TestConnectionLimit(t *testing.T) {
	bubble(t, func(r *rig) {
		require.NoError(r, r.call("echo", 1, time.Second))
		other := r.newClient()
		defer other.Close()
		var reply any
		err := other.Call(context.Background(), "echo", 1, &reply)
		var refused *handshake.Error
		require.ErrorAs(r, err, &refused)
		require.Equal(r, handshake.StatusTooManyConnections, refused.Status)
		require.Equal(r, "unsent", outcome(err))
		require.NoError(r, r.call("echo", 1, time.Second))
	}, server.WithMaxConnections(1))
}

// TestPlannedStop answers every call in flight and runs none that came after the announcement.
func TestPlannedStop(t *testing.T) {
	bubble(t, func(r *rig) {
		const calls = 200
		outcomes := make(chan string, calls)
		for range calls {
			go func() { outcomes <- outcome(r.call("sleep", 500, 10*time.Second)) }()
		}
		time.Sleep(100 * time.Millisecond)
		start := time.Now()
		go r.server.Shutdown(context.Background())
		synctest.Wait()
		require.Equal(r, "unsent", outcome(r.call("sleep", 1, time.Second)))
		for range calls {
			require.Equal(r, "done", <-outcomes)
		}
		synctest.Wait()
		require.True(r, r.open().isClosed())
		require.LessOrEqual(r, time.Since(start), 500*time.Millisecond)
		require.EqualValues(r, calls, r.ran.Load())
	})
}

// TestStopWithoutAnnouncement refuses, with proof, the calls of a peer that missed the announcement.
func TestStopWithoutAnnouncement(t *testing.T) {
	bubble(t, func(r *rig) {
		go func() { _ = r.call("sleep", 500, time.Second) }()
		time.Sleep(100 * time.Millisecond)
		go r.server.Shutdown(context.Background())
		synctest.Wait()
		c := r.open()
		c.mu.Lock()
		c.leaving = false
		c.mu.Unlock()
		err := r.call("echo", 1, time.Second)
		var refused *RefusedError
		require.ErrorAs(r, err, &refused)
		require.True(r, refused.Leaving)
		require.EqualValues(r, 1, r.ran.Load())
	})
}

// TestIdleConnection closes without traffic and opens again with the next call.
func TestIdleConnection(t *testing.T) {
	bubble(t, func(r *rig) {
		require.NoError(r, r.call("echo", 1, time.Second))
		time.Sleep(idleTimeout + time.Second)
		require.Zero(r, r.listener.OpenConns())
		require.NoError(r, r.call("echo", 1, time.Second))
		require.EqualValues(r, 2, r.dials.Load())
	})
}

// BenchmarkCall is one round trip over loopback; parallel calls share frames.
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
