package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/standin/network"
	"crocuswing/internal/standin/upstream"
	"crocuswing/internal/upstream/connection"
	"crocuswing/internal/upstream/contract"
	"crocuswing/internal/upstream/failure"
	"crocuswing/internal/upstream/start"
	"crocuswing/internal/wire/header"
	"crocuswing/internal/wire/order"
	"crocuswing/internal/wire/part"

	"github.com/stretchr/testify/require"
)

const (
	address     = "10.0.0.1:80"
	dialTime    = 6 * time.Millisecond
	serviceTime = 5 * time.Millisecond
)

// rig is an upstream on an in-memory network and a link to it.
type rig struct {
	*testing.T
	net      *network.Network
	listener *network.Listener
	server   *http.Server
	*Link
	number  atomic.Int64
	onStall stallPolicy
	slowest atomic.Int64 // duration in ns of the slowest request of load
}

func newRig(t *testing.T, limit, share int, handler http.Handler) *rig {
	r := &rig{T: t, net: network.New(dialTime)}
	r.listener, r.server = r.listen(address, limit, handler)
	r.Link = New("u", address, share, WithDial(r.net.Dial))
	return r
}

func (r *rig) listen(address string, limit int, handler http.Handler) (*network.Listener, *http.Server) {
	l := r.net.Listen(address, limit)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	return l, server
}

// stop ends all goroutines in the synctest bubble.
func (r *rig) stop() {
	r.Close()
	_ = r.server.Close()
	time.Sleep(2 * connection.LingerTimeout)
}

func newUpstream(limit int) *upstream.Upstream {
	u := upstream.New("u", contract.Contract{Slots: 2, Connections: limit, ColdSlots: 1, WarmAfter: 1}, serviceTime, 1)
	u.SetSnapshots("s1")
	return u
}

func (r *rig) sendPart(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	id := fmt.Sprint(r.number.Add(1))
	q := part.Request{RequestID: id, Service: "s", Shard: "h", Snapshot: "s1", Query: "q"}
	_, _, err := r.part(ctx, q, r.onStall)
	return err
}

// kindOf returns the kind of a failed attempt and whether it is known not to have run.
func kindOf(t *testing.T, err error) (string, bool) {
	if err == nil {
		return "", false
	}
	var f *failure.Failure
	require.ErrorAs(t, err, &f)
	return f.Kind, f.NotRun
}

// load keeps n requests in flight until it is stopped and counts the results by kind of failure.
func (r *rig) load(n int, timeout time.Duration) (stop func() map[string]int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	kinds := make(map[string]int)
	ended := make(chan struct{})
	for range n {
		group.Go(func() {
			for {
				select {
				case <-ended:
					return
				default:
				}
				start := time.Now()
				kind, _ := kindOf(r.T, r.sendPart(timeout))
				mu.Lock()
				kinds[kind]++
				r.slowest.Store(max(r.slowest.Load(), int64(time.Since(start))))
				mu.Unlock()
				if kind != "" {
					time.Sleep(time.Millisecond)
				}
			}
		})
	}
	return func() map[string]int {
		close(ended)
		group.Wait()
		return kinds
	}
}

func TestReuseBeforeOpening(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 25, 6, newUpstream(25))
		defer r.stop()
		for range 100 {
			require.NoError(t, r.sendPart(time.Second))
		}
		require.EqualValues(t, 1, r.Stats().Opened)
		require.EqualValues(t, 99, r.Stats().Reused)
		require.Equal(t, dialTime, r.Stats().DialTime)
	})
}

// TestStalledConnections checks that requests on stalled connections fail early and that their connections are replaced within
// the limit. The naive case waits for the deadline instead.
func TestStalledConnections(t *testing.T) {
	const deadline = time.Second
	for _, c := range []struct {
		name    string
		stalled int // connections that stall at once
		share   int
		naive   bool
	}{
		{name: "naive", stalled: 1, share: 6, naive: true},
		{name: "one of six", stalled: 1, share: 6},
		{name: "two of six", stalled: 2, share: 6},
		{name: "one of two", stalled: 1, share: 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, c.share, c.share, newUpstream(25))
				defer r.stop()
				if c.naive {
					r.onStall = waitForDeadline
				}
				stop := r.load(c.share, deadline) // one more than the pool opens, since it holds one connection in reserve
				time.Sleep(200 * time.Millisecond)
				require.Equal(t, c.share-1, r.Stats().Connections)
				for _, conn := range r.listener.Conns()[:c.stalled] {
					conn.Stall()
				}
				time.Sleep(deadline + deadline/5)
				kinds := stop()
				require.LessOrEqual(t, r.Stats().Connections, c.share)
				require.LessOrEqual(t, r.listener.PeakConns(), c.share)
				require.Zero(t, r.listener.RefusedDials())
				if c.naive {
					require.Equal(t, c.stalled, kinds[failure.KindTimeout])
					require.EqualValues(t, deadline, r.slowest.Load())
					return
				}
				require.Equal(t, c.share, r.Stats().Connections, "the reserved connection replaces an abandoned one")
				require.Equal(t, c.stalled, kinds[failure.KindStalled])
				require.Zero(t, kinds[failure.KindTimeout])
				require.Less(t, r.slowest.Load(), int64(deadline/5))
				require.Equal(t, c.stalled, r.Stats().AbandonedNow)
				time.Sleep(connection.LingerTimeout)
				require.Zero(t, r.Stats().AbandonedNow)
			})
		})
	}
}

// TestAllConnectionsStalled stalls every connection while requests run one at a time, so that no other response shows that a
// connection is stalled.
func TestAllConnectionsStalled(t *testing.T) {
	const deadline = time.Second
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 6, 6, newUpstream(25))
		defer r.stop()
		stopLoad := r.load(4, deadline) // opens several connections
		time.Sleep(200 * time.Millisecond)
		stopLoad()
		require.Greater(t, r.Stats().Idle, 2)
		r.slowest.Store(0)
		stop := r.load(1, deadline)
		time.Sleep(100 * time.Millisecond)
		for _, conn := range r.listener.Conns() {
			conn.Stall()
		}
		time.Sleep(2 * deadline)
		kinds := stop()
		require.Equal(t, 1, kinds[failure.KindStalled])
		require.Zero(t, kinds[failure.KindTimeout])
		require.Greater(t, kinds[""], 100)
		require.Less(t, r.slowest.Load(), int64(deadline/4))
		require.LessOrEqual(t, r.listener.PeakConns(), 6)
	})
}

func TestFailures(t *testing.T) {
	type attempt = func(*rig) error
	sendPart := func(r *rig) error { return r.sendPart(time.Second) }
	sendOrder := func(r *rig) error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, _, err := r.Order(ctx, order.Request{RequestID: "1"})
		return err
	}
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		before  func(*rig)
		attempt attempt
		kind    string
		notRun  bool
		closed  bool // the connection must be closed
	}{
		{name: "refused", before: func(r *rig) { _ = r.listener.Close() }, attempt: sendPart, kind: failure.KindRefused, notRun: true},
		{name: "draining", before: func(r *rig) { r.SetDraining(true) }, attempt: sendPart, kind: failure.KindForbidden, notRun: true},
		{name: "removed from the membership", before: func(r *rig) { r.Close() }, attempt: sendPart, kind: failure.KindForbidden, notRun: true},
		{
			name: "crossed", handler: respond("other", `{}`), attempt: sendPart,
			kind: failure.KindCrossed, closed: true,
		},
		{
			name: "crossed in the body", handler: respond("1", `{"request-id": "other"}`), attempt: sendPart,
			kind: failure.KindCrossed, closed: true,
		},
		{
			name: "only the header is crossed", handler: respond("other", `{"request-id":"1","service":"s","shard":"h","snapshot":"s1"}`), attempt: sendPart,
			kind: failure.KindCrossed, closed: true,
		},
		{
			name: "header of an order is crossed", handler: respond("other", `{"request-id":"1"}`), attempt: sendOrder,
			kind: failure.KindCrossed, closed: true,
		},
		{
			name: "body of an order is crossed", handler: respond("1", `{"request-id":"other"}`), attempt: sendOrder,
			kind: failure.KindCrossed, closed: true,
		},
		{name: "malformed", handler: respond("1", `{`), attempt: sendPart, kind: failure.KindIncomplete, closed: true},
		{
			name: "rows missing", handler: respond("1", `{"request-id":"1","service":"s","shard":"h","snapshot":"s1","count":1}`),
			attempt: sendPart, kind: failure.KindIncomplete, closed: true,
		},
		{name: "reset", handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, attempt: sendPart, kind: failure.KindReset},
		{name: "timeout", handler: hang, attempt: sendPart, kind: failure.KindTimeout},
		{name: "timeout in the dial", attempt: func(r *rig) error { return r.sendPart(dialTime / 2) }, kind: failure.KindTimeout, notRun: true},
		{name: "shed", handler: shed, attempt: sendPart, kind: failure.KindShed, notRun: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 4, 4, c.handler)
				defer r.stop()
				if c.before != nil {
					c.before(r)
				}
				kind, notRun := kindOf(t, c.attempt(r))
				require.Equal(t, c.kind, kind)
				require.Equal(t, c.notRun, notRun)
				synctest.Wait()
				if c.closed {
					require.Zero(t, r.listener.OpenConns())
				}
			})
		})
	}
}

// respond returns a handler that sends the request ID in the header and the text as the body.
func respond(id, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(header.RequestID, id)
		_, _ = io.WriteString(w, text)
	}
}

func hang(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func shed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	w.Header().Set(header.NotRun, "true")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// TestStaleConnection checks that a request goes out on another connection if the upstream has closed the idle one: no byte was
// sent.
func TestStaleConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 4, 4, newUpstream(25))
		defer r.stop()
		require.NoError(t, r.sendPart(time.Second))
		require.NoError(t, r.listener.Conns()[0].Close())
		require.NoError(t, r.sendPart(time.Second))
		require.EqualValues(t, 2, r.Stats().Opened)
	})
}

// TestLostConnection checks that a close of an idle connection is reported at once if it comes from the upstream, and not if it
// comes from this side.
func TestLostConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 4, 4, newUpstream(25))
		defer r.stop()
		var lost atomic.Int64
		r.Link = New("u", address, 4, WithDial(r.net.Dial), WithLost(func() { lost.Add(1) }))
		require.NoError(t, r.sendPart(time.Second))
		require.NoError(t, r.listener.Conns()[0].Close())
		synctest.Wait()
		require.EqualValues(t, 1, lost.Load())
		require.NoError(t, r.sendPart(time.Second))
		r.Close()
		synctest.Wait()
		require.EqualValues(t, 1, lost.Load())
	})
}

// TestConnectionLimit keeps more requests in flight than there are connections, with changes of the address and of the limit,
// canceled requests and a stalled connection: the upstream must never see more connections than the limit.
func TestConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const share = 5
		u := newUpstream(share)
		r := newRig(t, share, share, u)
		defer r.stop()
		stop := r.load(20, 30*time.Millisecond) // many time out, which closes their connection
		time.Sleep(300 * time.Millisecond)
		r.listener.Conns()[0].Stall()
		time.Sleep(300 * time.Millisecond)
		const next = "10.0.0.2:80"
		moved, server := r.listen(next, share, u)
		defer server.Close()
		r.SetAddress(next)
		time.Sleep(300 * time.Millisecond)
		r.SetMaxConnections(2)
		kinds := stop()
		require.Positive(t, kinds[""])
		synctest.Wait()
		require.LessOrEqual(t, r.Stats().Connections, 2)
		require.LessOrEqual(t, r.listener.PeakConns(), share)
		require.LessOrEqual(t, moved.PeakConns(), share)
		require.Zero(t, r.listener.RefusedDials()+moved.RefusedDials())
		require.Zero(t, u.Counts().OverConnected)
	})
}

// TestExhausted checks that requests fail fast once abandoned connections use up the limit.
func TestExhausted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1, 1, newUpstream(25))
		defer r.stop()
		require.NoError(t, r.sendPart(time.Second))
		c, err := r.pool.Acquire(context.Background(), "1")
		require.NoError(t, err)
		r.listener.Conns()[0].Stall()
		r.pool.Abandon(c, time.Now())
		kind, notRun := kindOf(t, r.sendPart(time.Second))
		require.Equal(t, failure.KindNoConnection, kind)
		require.True(t, notRun)
		require.Equal(t, 1, r.listener.OpenConns())
	})
}

// TestDrainingWhileLoaded checks that draining lets requests in flight finish and refuses those that wait for a connection.
func TestDrainingWhileLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var served atomic.Int64
		r := newRig(t, 3, 3, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			time.Sleep(100 * time.Millisecond)
			served.Add(1)
			w.Header().Set(header.RequestID, q.Header.Get(header.RequestID))
		}))
		defer r.stop()
		errs := make(chan error, 5)
		for range 5 {
			go func() { errs <- r.sendPart(time.Second) }()
		}
		time.Sleep(50 * time.Millisecond) // two are in flight, three wait
		r.SetDraining(true)
		kinds := make(map[string]int)
		for range 5 {
			kind, _ := kindOf(t, <-errs)
			kinds[kind]++
		}
		require.Equal(t, map[string]int{failure.KindForbidden: 3, failure.KindIncomplete: 2}, kinds)
		require.EqualValues(t, 2, served.Load())
	})
}

// TestOrderOnStalledConnection checks that an order on a stalled connection waits for its deadline. Abandoning it early would
// make the outcome unknown, although the response may still arrive.
func TestOrderOnStalledConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 4, 4, newUpstream(25))
		defer r.stop()
		require.NoError(t, r.sendPart(time.Second))
		r.listener.Conns()[0].Stall()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		failed := make(chan error, 1)
		go func() {
			_, _, err := r.Order(ctx, order.Request{RequestID: "o"})
			failed <- err
		}()
		synctest.Wait()
		for range 100 {
			require.NoError(t, r.sendPart(time.Second))
		}
		kind, notRun := kindOf(t, <-failed)
		require.Equal(t, failure.KindTimeout, kind)
		require.False(t, notRun)
		require.True(t, errors.Is(ctx.Err(), context.DeadlineExceeded))
	})
}

// TestOrderOutlivesStartLimit checks that an order that has a connection does not end at its start limit, since the upstream may be
// processing it.
func TestOrderOutlivesStartLimit(t *testing.T) {
	const startLimit = 50 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		u := newUpstream(25)
		u.SetSlowdown(float64(4 * startLimit / serviceTime))
		r := newRig(t, 4, 4, u)
		defer r.stop()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		ctx, cancelStart := start.WithTimeout(ctx, startLimit)
		defer cancelStart()
		_, _, err := r.Order(ctx, order.Request{RequestID: "o"})
		require.NoError(t, err)
	})
}
