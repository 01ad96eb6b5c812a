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

// The simulated upstreams run slots requests at a time, in the order of their arrival, with a mean service time of 10 ms.
const (
	slots    = 8
	capacity = 800.0 // requests a second
	share    = capacity / 4
	deadline = 240 * time.Millisecond
	duration = 10 * time.Second
)

var shared = class.Class{Name: "c", Concurrency: slots, Cost: slots}

// client sends requests in an open loop.
type client struct {
	name    string
	rate    float64 // first requests a second
	timeout time.Duration
	repeats int // retries of each request without an answer
	copies  int // sent concurrently of each request
}

// simulation runs clients against admission, or against the naive policy, which admits everything.
type simulation struct {
	naive            bool
	extraServiceTime time.Duration // added to each service time
	policy           *Admission
	slots            chan struct{}

	mu       sync.Mutex
	answered map[string][]time.Duration
	attempts map[string]int // started by upstreams, by caller
	requests map[string]int // distinct ones, by caller
}

// simulate returns the simulation after a run of duration in virtual time.
func simulate(t *testing.T, naive bool, extraServiceTime time.Duration, clients ...client) *simulation {
	s := &simulation{
		naive:            naive,
		extraServiceTime: extraServiceTime,
		policy:           New(),
		answered:         make(map[string][]time.Duration),
		attempts:         make(map[string]int),
		requests:         make(map[string]int),
	}
	synctest.Test(t, func(*testing.T) {
		s.slots = make(chan struct{}, slots) // inside the bubble, so that time advances while requests wait
		var group sync.WaitGroup
		for n, c := range clients {
			group.Go(func() { s.generate(c, uint64(n), &group) })
		}
		group.Wait()
	})
	return s
}

// generate sends the requests of one client. It draws all random numbers in the order of arrival, so that the load is the
// same in every run.
func (s *simulation) generate(c client, seed uint64, group *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(seed, 5))
	end := time.Now().Add(duration)
	for key := uint64(1); time.Now().Before(end); key++ {
		time.Sleep(1 + time.Duration(rng.ExpFloat64()/c.rate*float64(time.Second)))
		service := 5*time.Millisecond + time.Duration(rng.ExpFloat64()*float64(5*time.Millisecond)) + s.extraServiceTime
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

// request sends one request and reports whether the client got its answer within its timeout.
func (s *simulation) request(c client, key uint64, service time.Duration) bool {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
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
		ok = s.execute(ctx, c, service)
		s.record(c, start, ok)
		return ok
	}
	ok := s.execute(ctx, c, service)
	s.record(c, start, ok)
	return ok
}

func (s *simulation) execute(ctx context.Context, c client, service time.Duration) bool {
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

func (s *simulation) record(c client, start time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		s.answered[c.name] = append(s.answered[c.name], time.Since(start))
	}
}

func (s *simulation) p99(caller string) time.Duration {
	times := slices.Sorted(slices.Values(s.answered[caller]))
	return times[len(times)*99/100]
}

// TestCallerIsolation checks that the overload of one caller raises the p99 of a well-behaved one to at most 1.5 times its
// value alone. With the naive policy the ratio must be higher, which shows that the load is high enough.
func TestCallerIsolation(t *testing.T) {
	const maxRatio = 1.5
	victim := client{name: "victim", rate: 0.75 * share, timeout: deadline}
	alone := simulate(t, false, 0, victim)
	for _, c := range []struct {
		name  string
		other client
		naive bool
	}{
		{name: "ten times its share", other: client{rate: 10 * share, timeout: deadline}},
		{name: "ten times its share, naive policy", other: client{rate: 10 * share, timeout: deadline}, naive: true},
		{name: "each request ten times", other: client{rate: 1.5 * share, timeout: 8 * time.Millisecond, repeats: 9}},
		{name: "ten copies at once", other: client{rate: 1.5 * share, timeout: deadline, copies: 10}},
		{name: "ten copies at once, naive policy", other: client{rate: 1.5 * share, timeout: deadline, copies: 10}, naive: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.other.name = "other"
			s := simulate(t, c.naive, 0, victim, c.other)
			ratio := float64(s.p99("victim")) / float64(alone.p99("victim"))
			answered := float64(len(s.answered["victim"])) / float64(len(alone.answered["victim"]))
			t.Logf("p99 %v alone, %v beside the other: %.2f times; answered %.3f", alone.p99("victim"), s.p99("victim"), ratio, answered)
			if c.naive {
				require.Greater(t, ratio, maxRatio)
				return
			}
			require.LessOrEqual(t, ratio, maxRatio)
			require.GreaterOrEqual(t, answered, 0.99)
		})
	}
}

// TestGoodput checks that under a load of twice the capacity, at least 90% of the capacity goes to requests that are answered in
// time, and that all callers get equal shares. With the naive policy it must be less.
func TestGoodput(t *testing.T) {
	for _, naive := range []bool{false, true} {
		var clients []client
		for _, name := range []string{"a", "b", "c", "d"} {
			clients = append(clients, client{name: name, rate: 2 * share, timeout: deadline})
		}
		s := simulate(t, naive, 0, clients...)
		total := 0
		for _, times := range s.answered {
			total += len(times)
		}
		goodput := float64(total) / (capacity * duration.Seconds())
		t.Logf("naive %v: goodput %.3f of the capacity, p99 %v", naive, goodput, s.p99("a"))
		if naive {
			require.Less(t, goodput, 0.9)
			continue
		}
		require.GreaterOrEqual(t, goodput, 0.9)
		for _, c := range clients { // the callers get equal shares
			require.InDelta(t, float64(total)/4, float64(len(s.answered[c.name])), 0.05*float64(total))
		}
	}
}

// TestRetryStorm checks that upstreams get at most a tenth more attempts than the caller has distinct requests. With the naive
// policy they must get more.
func TestRetryStorm(t *testing.T) {
	const maxRatio = 1.1
	const rate = 60 // above the 50 requests/s from which the bound of a tenth holds, below what the slots can serve when slow
	for _, c := range []struct {
		name  string
		storm client
		slow  time.Duration
		naive bool
	}{
		{name: "hangs up ten times", storm: client{timeout: 30 * time.Millisecond, repeats: 9}, slow: 50 * time.Millisecond},
		{name: "hangs up ten times, naive policy", storm: client{timeout: 30 * time.Millisecond, repeats: 9}, slow: 50 * time.Millisecond, naive: true},
		{name: "ten copies at once", storm: client{timeout: deadline, copies: 10}, slow: 50 * time.Millisecond},
		{name: "ten copies at once, naive policy", storm: client{timeout: deadline, copies: 10}, slow: 50 * time.Millisecond, naive: true},
		{name: "overload", storm: client{timeout: 100 * time.Millisecond, repeats: 9}, slow: 150 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.storm.name, c.storm.rate = "a", rate
			s := simulate(t, c.naive, c.slow, c.storm)
			ratio := float64(s.attempts["a"]) / float64(s.requests["a"])
			t.Logf("%d attempts for %d requests: %.3f times", s.attempts["a"], s.requests["a"], ratio)
			if c.naive {
				require.Greater(t, ratio, maxRatio)
				return
			}
			require.LessOrEqual(t, ratio, maxRatio)
			require.GreaterOrEqual(t, ratio, 0.8, "first requests run")
		})
	}
}
