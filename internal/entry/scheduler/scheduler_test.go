package scheduler

import (
	"flag"
	"os"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const maxCost = 6

// model drives a scheduler with requests that arrive, finish and are withdrawn at random.
type model struct {
	*Scheduler
	capacity int
	flows    []*Flow
	waiters  [][]*Waiter // by flow, in order
	running  [][]int     // costs, by flow
}

func newModel(t *rapid.T) *model {
	m := &model{Scheduler: New(), capacity: rapid.IntRange(1, 20).Draw(t, "capacity")}
	m.SetCapacity(m.capacity)
	for range rapid.IntRange(1, 4).Draw(t, "flows") {
		f := m.NewFlow()
		f.SetLimits(Limits{
			Concurrency: rapid.IntRange(1, 6).Draw(t, "concurrency"),
			Cost:        rapid.IntRange(1, 12).Draw(t, "cost"),
			Weight:      rapid.IntRange(1, 3).Draw(t, "weight"),
		})
		m.flows = append(m.flows, f)
	}
	m.waiters = make([][]*Waiter, len(m.flows))
	m.running = make([][]int, len(m.flows))
	return m
}

func (m *model) pick(t *rapid.T) int { return rapid.IntRange(0, len(m.flows)-1).Draw(t, "flow") }

func (m *model) arrive(t *rapid.T) {
	n := m.pick(t)
	cost := rapid.IntRange(1, maxCost).Draw(t, "cost")
	if m.flows[n].Start(cost) {
		m.running[n] = append(m.running[n], cost)
		return
	}
	m.waiters[n] = append(m.waiters[n], m.flows[n].Enqueue(cost))
}

func (m *model) finish(t *rapid.T) {
	n := m.pick(t)
	if len(m.running[n]) == 0 {
		return
	}
	cost := m.running[n][0]
	m.running[n] = m.running[n][1:]
	m.flows[n].Finish(cost)
}

func (m *model) withdraw(t *rapid.T) {
	n := m.pick(t)
	if len(m.waiters[n]) == 0 {
		return
	}
	last := len(m.waiters[n]) - 1
	require.True(t, m.waiters[n][last].Withdraw())
	m.waiters[n] = m.waiters[n][:last]
}

// collectGranted moves the granted waiters to the running requests. The waiters of a flow must be granted in order.
func (m *model) collectGranted(t *rapid.T) {
	for n := range m.waiters {
		for len(m.waiters[n]) > 0 && isGranted(m.waiters[n][0]) {
			m.running[n] = append(m.running[n], m.waiters[n][0].cost)
			m.waiters[n] = m.waiters[n][1:]
		}
		for _, w := range m.waiters[n] {
			require.False(t, isGranted(w), "granted out of order")
		}
	}
}

func isGranted(w *Waiter) bool {
	select {
	case <-w.Granted():
		return true
	default:
		return false
	}
}

// check requires that only a request that runs alone exceeds a limit, and that no capacity is idle while the next request in
// order fits or while some request that could run waits.
func (m *model) check(t *rapid.T) {
	m.collectGranted(t)
	total, requests := 0, 0
	for n, f := range m.flows {
		cost := sum(m.running[n])
		require.LessOrEqual(t, len(m.running[n]), f.limits.Concurrency)
		require.True(t, cost <= f.limits.Cost || len(m.running[n]) == 1)
		require.Equal(t, len(m.waiters[n]), f.Waiting())
		total += cost
		requests += len(m.running[n])
	}
	require.True(t, total <= m.capacity || requests == 1)
	require.False(t, requests == 0 && m.IsContended(), "requests wait while nothing runs")
	if f := m.next(); f != nil {
		require.Greater(t, total+f.queue[0].cost, m.capacity, "the next request fits")
	}
	for n, f := range m.flows {
		if total+maxCost <= m.capacity && len(m.waiters[n]) > 0 {
			require.False(t, f.fits(m.waiters[n][0].cost), "a request that fits waits")
		}
	}
}

func sum(costs []int) int {
	total := 0
	for _, c := range costs {
		total += c
	}
	return total
}

func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){"arrive": m.arrive, "finish": m.finish, "withdraw": m.withdraw, "": m.check})
		m.collectGranted(t)
		for range 100 { // all waiting requests run eventually
			for n := range m.flows {
				if len(m.running[n]) > 0 {
					m.flows[n].Finish(m.running[n][0])
					m.running[n] = m.running[n][1:]
				}
			}
			m.check(t)
		}
		require.False(t, m.IsContended())
	})
}

// TestFairness keeps all flows backlogged. The service of two flows in proportion to their weights may differ by at most one
// request of each flow, the bound of start-time fair queueing.
func TestFairness(t *testing.T) {
	const depth = 25 // more requests than the end of one request can admit
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 20).Draw(t, "capacity")
		m := &model{Scheduler: New(), flows: make([]*Flow, 3), waiters: make([][]*Waiter, 3), running: make([][]int, 3)}
		m.SetCapacity(capacity)
		first := m.NewFlow() // occupies the capacity until every flow waits
		first.SetLimits(Limits{Concurrency: 1, Cost: capacity, Weight: 1})
		require.True(t, first.Start(capacity))
		longest := 0.0
		for n := range m.flows {
			m.flows[n] = m.NewFlow()
			m.flows[n].SetLimits(Limits{Concurrency: 1000, Cost: 1000, Weight: rapid.IntRange(1, 3).Draw(t, "weight")})
		}
		served := make([]float64, len(m.flows))
		for round := range 60 {
			for n, f := range m.flows {
				for f.Waiting() < depth {
					cost := rapid.IntRange(1, 5).Draw(t, "cost")
					longest = max(longest, float64(cost)/float64(f.limits.Weight))
					m.waiters[n] = append(m.waiters[n], f.Enqueue(cost))
				}
			}
			if round == 0 {
				first.Finish(capacity)
			} else {
				m.finish(t)
			}
			before := [3]int{len(m.running[0]), len(m.running[1]), len(m.running[2])}
			m.collectGranted(t)
			for n, f := range m.flows {
				served[n] += float64(sum(m.running[n][before[n]:])) / float64(f.limits.Weight)
			}
			require.LessOrEqual(t, slices.Max(served)-slices.Min(served), 2*longest)
		}
	})
}

// TestLargeRequestIsNotStarved checks that small requests do not overtake a large one that waits for capacity.
func TestLargeRequestIsNotStarved(t *testing.T) {
	s := New()
	s.SetCapacity(10)
	var flows [3]*Flow
	for n := range flows {
		flows[n] = s.NewFlow()
		flows[n].SetLimits(Limits{Concurrency: 9, Cost: 10, Weight: 1})
	}
	require.True(t, flows[0].Start(8))
	large := flows[1].Enqueue(5)
	require.False(t, flows[2].Start(2))
	flows[0].Finish(8)
	require.True(t, isGranted(large))
	require.True(t, flows[2].Start(2))
}
