package admission

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/config/class"

	"github.com/stretchr/testify/require"
)

// The site of these tests: upstreams that run slots requests at a time, in the order of their
// arrival, with a mean service time of 10 ms.
const (
	slots    = 8
	capacity = 800.0 // requests a second
	share    = capacity / 4
	deadline = 240 * time.Millisecond
	span     = 10 * time.Second
)

var shared = class.Class{Name: "c", Concurrency: slots, Cost: slots}

// client sends requests in an open loop.
type client struct {
	name     string
	rate     float64 // first requests a second
	patience time.Duration
	repeats  int // of each request that got no answer
	copies   int // sent at once of each request
}

// site runs clients against the policy, or against the naive one, which admits everything.
type site struct {
	naive  bool
	slow   time.Duration // added to each service time
	policy *Admission
	slots  chan struct{}

	mu       sync.Mutex
	answered map[string][]time.Duration
	attempts map[string]int // that upstreams began, by caller
	requests map[string]int // different ones, by caller
}

// run gives the site after span of virtual time.
func run(t *testing.T, naive bool, slow time.Duration, clients ...client) *site {
	s := &site{
		naive:    naive,
		slow:     slow,
		policy:   New(),
		answered: make(map[string][]time.Duration),
		attempts: make(map[string]int),
		requests: make(map[string]int),
	}
	synctest.Test(t, func(*testing.T) {
		s.slots = make(chan struct{}, slots) // inside the bubble, so that time advances while requests wait
		var group sync.WaitGroup
		for n, c := range clients {
			group.Go(func() { s.drive(c, uint64(n), &group) })
		}
		group.Wait()
	})
	return s
}

// drive draws all numbers in the order of the arrivals, so that a client's load is the same in every run.
func (s *site) drive(c client, seed uint64, group *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(seed, 5))
	end := time.Now().Add(span)
	for key := uint64(1); time.Now().Before(end); key++ {
		time.Sleep(1 + time.Duration(rng.ExpFloat64()/c.rate*float64(time.Second)))
		service := 5*time.Millisecond + time.Duration(rng.ExpFloat64()*float64(5*time.Millisecond)) + s.slow
		s.mu.Lock()
		s.requests[c.name]++
		s.mu.Unlock()
		for range max(1, c.copies) {
			group.Go(func() {
				for range 1 + c.repeats {
					if s.request(c, key, service) {
						return
					}
				}
			})
		}
	}
}

// request reports whether the client got its answer before its patience ended.
func (s *site) request(c client, key uint64, service time.Duration) bool {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), c.patience)
	defer cancel()
	if !s.naive {
		g, err := s.policy.Admit(ctx, Request{Caller: c.name, Class: shared, Cost: 1, Key: key})
		if err != nil {
			return false
		}
		if g.Coalesced { // shares the execution in flight
			time.Sleep(service)
			g.Release(true)
			return true
		}
		ok := false
		defer func() { g.Release(ok) }()
		ok = s.work(ctx, c, service)
		s.record(c, start, ok)
		return ok
	}
	ok := s.work(ctx, c, service)
	s.record(c, start, ok)
	return ok
}

func (s *site) work(ctx context.Context, c client, service time.Duration) bool {
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-s.slots }()
	s.mu.Lock()
	s.attempts[c.name]++
	s.mu.Unlock()
	timer := time.NewTimer(service)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

func (s *site) record(c client, start time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		s.answered[c.name] = append(s.answered[c.name], time.Since(start))
	}
}

func (s *site) p99(caller string) time.Duration {
	times := slices.Sorted(slices.Values(s.answered[caller]))
	return times[len(times)*99/100]
}

// TestOneCallersStormSparesAnother wants a well-behaved caller's p99 at most 1.5 times its own alone.
func TestOneCallersStormSparesAnother(t *testing.T) {
	const most = 1.5
	victim := client{name: "victim", rate: 0.75 * share, patience: deadline}
	alone := run(t, false, 0, victim)
	for _, c := range []struct {
		name  string
		other client
		naive bool
	}{
		{name: "ten times its share", other: client{rate: 10 * share, patience: deadline}},
		{name: "ten times its share, naive policy", other: client{rate: 10 * share, patience: deadline}, naive: true},
		{name: "each request ten times", other: client{rate: 1.5 * share, patience: 8 * time.Millisecond, repeats: 9}},
		{name: "ten copies at once", other: client{rate: 1.5 * share, patience: deadline, copies: 10}},
		{name: "ten copies at once, naive policy", other: client{rate: 1.5 * share, patience: deadline, copies: 10}, naive: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.other.name = "other"
			s := run(t, c.naive, 0, victim, c.other)
			ratio := float64(s.p99("victim")) / float64(alone.p99("victim"))
			answered := float64(len(s.answered["victim"])) / float64(len(alone.answered["victim"]))
			t.Logf("p99 %v alone, %v beside the other: %.2f times; answered %.3f", alone.p99("victim"), s.p99("victim"), ratio, answered)
			if c.naive {
				require.Greater(t, ratio, most)
				return
			}
			require.LessOrEqual(t, ratio, most)
			require.GreaterOrEqual(t, answered, 0.99)
		})
	}
}

// TestGoodput wants at least 90% of the capacity as answers in time at twice the load.
func TestGoodput(t *testing.T) {
	for _, naive := range []bool{false, true} {
		var clients []client
		for _, name := range []string{"a", "b", "c", "d"} {
			clients = append(clients, client{name: name, rate: 2 * share, patience: deadline})
		}
		s := run(t, naive, 0, clients...)
		total := 0
		for _, times := range s.answered {
			total += len(times)
		}
		goodput := float64(total) / (capacity * span.Seconds())
		t.Logf("naive %v: goodput %.3f of the capacity, p99 %v", naive, goodput, s.p99("a"))
		if naive {
			require.Less(t, goodput, 0.9)
			continue
		}
		require.GreaterOrEqual(t, goodput, 0.9)
		for _, c := range clients { // the rivals get equal parts
			require.InDelta(t, float64(total)/4, float64(len(s.answered[c.name])), 0.05*float64(total))
		}
	}
}

// TestRetryStorm wants at most a tenth more upstream attempts than the caller has different requests.
func TestRetryStorm(t *testing.T) {
	const most = 1.1
	const rate = 60 // more than the budget's floor supposes, less than the slots bear when slow
	for _, c := range []struct {
		name  string
		storm client
		slow  time.Duration
		naive bool
	}{
		{name: "hangs up ten times", storm: client{patience: 30 * time.Millisecond, repeats: 9}, slow: 50 * time.Millisecond},
		{name: "hangs up ten times, naive policy", storm: client{patience: 30 * time.Millisecond, repeats: 9}, slow: 50 * time.Millisecond, naive: true},
		{name: "ten copies at once", storm: client{patience: deadline, copies: 10}, slow: 50 * time.Millisecond},
		{name: "ten copies at once, naive policy", storm: client{patience: deadline, copies: 10}, slow: 50 * time.Millisecond, naive: true},
		{name: "overload", storm: client{patience: 100 * time.Millisecond, repeats: 9}, slow: 150 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.storm.name, c.storm.rate = "a", rate
			s := run(t, c.naive, c.slow, c.storm)
			times := float64(s.attempts["a"]) / float64(s.requests["a"])
			t.Logf("%d attempts for %d requests: %.3f times", s.attempts["a"], s.requests["a"], times)
			if c.naive {
				require.Greater(t, times, most)
				return
			}
			require.LessOrEqual(t, times, most)
			require.GreaterOrEqual(t, times, 0.8, "first requests run")
		})
	}
}
