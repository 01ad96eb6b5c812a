package admission

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/config/class"

	"github.com/stretchr/testify/require"
)

func midJitter(n int64) int64 { return n / 2 }

func TestLimits(t *testing.T) {
	type step struct {
		caller string
		cost   int
		want   Decision // empty if admitted
		waited time.Duration
	}
	for _, c := range []struct {
		name  string
		class class.Class
		left  time.Duration // of the requests' deadline; 0 for none
		steps []step
	}{
		{
			name: "concurrency", class: class.Class{Concurrency: 2, Cost: 100},
			steps: []step{{"a", 1, "", 0}, {"a", 1, "", 0}, {"a", 1, RefusedQueueTimeout, 50 * time.Millisecond}, {"b", 1, "", 0}},
		},
		{
			name: "cost", class: class.Class{Concurrency: 9, Cost: 10, Capacity: 100},
			steps: []step{{"a", 6, "", 0}, {"a", 5, RefusedQueueTimeout, 50 * time.Millisecond}, {"a", 4, "", 0}, {"b", 10, "", 0}},
		},
		{
			name: "shared capacity", class: class.Class{Concurrency: 9, Cost: 10},
			steps: []step{{"a", 10, "", 0}, {"b", 1, RefusedQueueTimeout, 50 * time.Millisecond}},
		},
		{
			name: "above the total cost runs alone", class: class.Class{Concurrency: 9, Cost: 10},
			steps: []step{{"a", 40, "", 0}, {"a", 1, RefusedQueueTimeout, 50 * time.Millisecond}},
		},
		{
			name: "wait as configured", class: class.Class{Concurrency: 1, Cost: 1, QueueMS: 7},
			steps: []step{{"a", 1, "", 0}, {"a", 1, RefusedQueueTimeout, 7 * time.Millisecond}},
		},
		{
			name: "wait within the deadline", class: class.Class{Concurrency: 1, Cost: 1}, left: 20 * time.Millisecond,
			steps: []step{{"a", 1, "", 0}, {"a", 1, RefusedQueueTimeout, 5 * time.Millisecond}},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := New(WithJitter(midJitter))
				for n, s := range c.steps {
					ctx := context.Background()
					if c.left > 0 {
						var cancel context.CancelFunc
						ctx, cancel = context.WithTimeout(ctx, c.left)
						defer cancel()
					}
					start := time.Now()
					_, err := a.Admit(ctx, Request{Caller: s.caller, Class: c.class, Cost: s.cost, Key: uint64(n + 1)})
					require.Equal(t, s.waited, time.Since(start), "step %d", n)
					requireDecision(t, s.want, err)
				}
			})
		})
	}
}

func requireDecision(t *testing.T, want Decision, err error) {
	if want == "" {
		require.NoError(t, err)
		return
	}
	var e *Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, want, e.Reason)
}

func TestQueueIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New()
		c := class.Class{Concurrency: 1, Cost: 1, Queue: 3}
		g, err := a.Admit(context.Background(), Request{Caller: "a", Class: c, Cost: 1})
		require.NoError(t, err)
		done := make(chan error, 3)
		for range 3 {
			go func() {
				g, err := a.Admit(context.Background(), Request{Caller: "a", Class: c, Cost: 1})
				if err == nil {
					g.Release(true)
				}
				done <- err
			}()
		}
		synctest.Wait()
		_, err = a.Admit(context.Background(), Request{Caller: "a", Class: c, Cost: 1})
		requireDecision(t, RefusedQueueFull, err)
		g.Release(true)
		for range 3 {
			require.NoError(t, <-done)
		}
	})
}

// TestRepeats ends a request in different ways and checks whether an identical one is admitted afterwards.
func TestRepeats(t *testing.T) {
	c := class.Class{Concurrency: 4, Cost: 40}
	for _, tc := range []struct {
		name         string
		complete     bool          // the first got its complete answer
		inFlight     bool          // the first is still in flight
		disconnected bool          // a request coalesced with it disconnected
		delay        time.Duration // since its end
		contended    bool          // others wait
		want         Decision
	}{
		{name: "after a complete answer", complete: true},
		{name: "after a complete answer while others wait", complete: true, contended: true, want: RefusedRetryBudget},
		{name: "after a complete answer that a coalesced one did not get", complete: true, disconnected: true},
		{name: "while in flight", inFlight: true},
		{name: "after a failure", want: RefusedRetryBudget},
		{name: "long after a failure", delay: 11 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := New()
				req := Request{Caller: "a", Class: c, Cost: 1, Key: 7}
				useFreeRepeat(t, a, req)
				g, err := a.Admit(context.Background(), req)
				require.NoError(t, err)
				coalesced := g
				if tc.disconnected {
					coalesced, err = a.Admit(context.Background(), req)
					require.NoError(t, err)
					require.True(t, coalesced.Coalesced)
				}
				if !tc.inFlight {
					g.Release(tc.complete)
				}
				if tc.disconnected {
					coalesced.Release(false)
				}
				time.Sleep(tc.delay)
				if tc.contended {
					for n := range 5 {
						go func() {
							_, _ = a.Admit(context.Background(), Request{Caller: "b", Class: c, Cost: 10, Key: uint64(n + 1)})
						}()
					}
					synctest.Wait()
				}
				again, err := a.Admit(context.Background(), req)
				requireDecision(t, tc.want, err)
				require.Equal(t, tc.inFlight, again.Coalesced)
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestRepeatInTheQueue lets two identical requests wait. The second one is a repeat by the time it is granted.
func TestRepeatInTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New()
		req := Request{Caller: "a", Class: class.Class{Concurrency: 1, Cost: 1, Queue: 2}, Cost: 1, Key: 7}
		useFreeRepeat(t, a, req)
		holder, err := a.Admit(context.Background(), Request{Caller: "a", Class: req.Class, Cost: 1, Key: 1})
		require.NoError(t, err)
		errs := make(chan error, 2)
		for range 2 {
			go func() {
				g, err := a.Admit(context.Background(), req)
				if err == nil {
					g.Release(false)
				}
				errs <- err
			}()
		}
		synctest.Wait()
		holder.Release(true)
		require.NoError(t, <-errs)
		requireDecision(t, RefusedRetryBudget, <-errs)
	})
}

// TestFreeRepeatIsNotRefunded lets a repeat that passed without budget time out in the queue. It must not leave budget behind.
func TestFreeRepeatIsNotRefunded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New()
		req := Request{Caller: "a", Class: class.Class{Concurrency: 1, Cost: 1, Queue: 2}, Cost: 1, Key: 7}
		first, err := a.Admit(t.Context(), req)
		require.NoError(t, err)
		first.Release(false)
		holder, err := a.Admit(t.Context(), Request{Caller: "a", Class: req.Class, Cost: 1, Key: 1})
		require.NoError(t, err)
		_, err = a.Admit(t.Context(), req)
		requireDecision(t, RefusedQueueTimeout, err)
		holder.Release(true)
		_, err = a.Admit(t.Context(), req)
		requireDecision(t, RefusedRetryBudget, err)
	})
}

// useFreeRepeat uses up the repeat that passes without budget.
func useFreeRepeat(t *testing.T, a *Admission, req Request) {
	req.Key = 1 << 40
	for range 2 {
		g, err := a.Admit(context.Background(), req)
		require.NoError(t, err)
		g.Release(false)
	}
}

func TestRetryAfterSpreads(t *testing.T) {
	a := New()
	c := class.Class{Concurrency: 1, Cost: 1, QueueMS: 1}
	_, err := a.Admit(context.Background(), Request{Caller: "a", Class: c, Cost: 1})
	require.NoError(t, err)
	for _, jitter := range []struct {
		draw func(n int64) int64
		want time.Duration
	}{
		{func(int64) int64 { return 0 }, retryDelay / 2},
		{midJitter, retryDelay},
		{func(n int64) int64 { return n }, retryDelay * 3 / 2},
	} {
		a.jitter = jitter.draw
		_, err := a.Admit(context.Background(), Request{Caller: "a", Class: c, Cost: 1})
		var e *Error
		require.ErrorAs(t, err, &e)
		require.Equal(t, jitter.want, e.RetryAfter)
	}
}

// BenchmarkAdmit measures the admission and release of one request while the given number of callers have one in flight each.
func BenchmarkAdmit(b *testing.B) {
	c := class.Class{Name: "c", Concurrency: 64, Cost: 1 << 20}
	for _, callers := range []int{4, 64, 1024} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			a := New()
			names := make([]string, callers)
			for n := range names {
				names[n] = fmt.Sprintf("caller-%d", n)
				if _, err := a.Admit(context.Background(), Request{Caller: names[n], Class: c, Cost: 20}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				g, err := a.Admit(context.Background(), Request{Caller: names[n%callers], Class: c, Cost: 20, Key: uint64(n + 1)})
				if err != nil {
					b.Fatal(err)
				}
				g.Release(true)
			}
		})
	}
}

func ExampleAdmission_Admit() {
	a := New(WithJitter(midJitter))
	bench := class.Class{Name: "bench", Concurrency: 1, Cost: 20, QueueMS: 1}
	grant, err := a.Admit(context.Background(), Request{Caller: "firm-a", Class: bench, Cost: 20, Key: 1})
	fmt.Println(err)
	_, err = a.Admit(context.Background(), Request{Caller: "firm-b", Class: bench, Cost: 20, Key: 1})
	fmt.Println(err)
	grant.Release(true)
	_, err = a.Admit(context.Background(), Request{Caller: "firm-b", Class: bench, Cost: 20, Key: 1})
	fmt.Println(err)
	// Output:
	// <nil>
	// caller firm-b: no capacity in time
	// <nil>
}
