package dispatch

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"crocuswing/internal/upstream/home"
	"crocuswing/internal/upstream/target"
)

// route picks the instance that sends the next attempt, besides those in tried: the first home of
// a cold upstream, else this instance if it is a home, else the better of two random homes.
// That choice was published by Mitzenmacher, "The power of two choices in randomized load
// balancing", IEEE Transactions on Parallel and Distributed Systems 12(10), 2001.
func (d *Dispatcher) route(t *target.Target, tried []string) (string, bool) {
	ranking := d.directory.Ranking()
	homes := t.Homes(ranking)
	if len(tried) > 0 {
		homes = without(homes, tried)
	}
	if reachable := without(homes, d.viewer.Current().Avoided()); len(reachable) > 0 && !t.IsCold() {
		homes = reachable
	}
	if len(homes) == 0 {
		return "", false
	}
	if len(homes) == 1 || t.IsCold() {
		return homes[0], true
	}
	if slices.Contains(homes, d.self) {
		return d.self, true
	}
	a := rand.IntN(len(homes))
	b := rand.IntN(len(homes) - 1)
	if b >= a {
		b++
	}
	return d.better(ranking, homes[a], homes[b]), true
}

// better gives the nearer of two homes, or of equally near ones the one with fewer attempts of
// this instance in flight.
func (d *Dispatcher) better(r *home.Ranking, a, b string) string {
	here, ok := r.LocationOf(d.self)
	placeA, _ := r.LocationOf(a)
	placeB, _ := r.LocationOf(b)
	distanceA, distanceB := here.Distance(placeA), here.Distance(placeB)
	if ok && distanceA != distanceB {
		if distanceA < distanceB {
			return a
		}
		return b
	}
	if d.hops.inFlight(r, a) <= d.hops.inFlight(r, b) {
		return a
	}
	return b
}

func without(homes, tried []string) []string {
	left := make([]string, 0, len(homes))
	for _, name := range homes {
		if !slices.Contains(tried, name) {
			left = append(left, name)
		}
	}
	return left
}

// hops counts the attempts in flight through each other instance, from the last change of the ranking
// on. So it forgets the instances that are gone.
type hops struct {
	current atomic.Pointer[counts]
}

type counts struct {
	ranking *home.Ranking
	byName  sync.Map // of *atomic.Int64
}

// begin counts an attempt until the function that it gives is called.
func (h *hops) begin(r *home.Ranking, instance string) func() {
	n := h.count(r, instance)
	n.Add(1)
	return func() { n.Add(-1) }
}

func (h *hops) inFlight(r *home.Ranking, instance string) int64 { return h.count(r, instance).Load() }

func (h *hops) count(r *home.Ranking, instance string) *atomic.Int64 {
	c := h.current.Load()
	if c == nil || c.ranking != r {
		c = &counts{ranking: r}
		h.current.Store(c)
	}
	if n, ok := c.byName.Load(instance); ok {
		return n.(*atomic.Int64)
	}
	n, _ := c.byName.LoadOrStore(instance, new(atomic.Int64))
	return n.(*atomic.Int64)
}
