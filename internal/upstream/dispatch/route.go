package dispatch

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"crocuswing/internal/upstream/home"
	"crocuswing/internal/upstream/target"
)

// route returns the instance that sends the attempt, other than those in attempted: the first home of a cold upstream,
// else this instance if it is a home, else the preferred one of two random homes (Mitzenmacher, "The power of two
// choices in randomized load balancing", IEEE Transactions on Parallel and Distributed Systems 12(10), 2001). For a warm
// upstream it skips homes that are suspected or leaving, as long as others remain.
func (d *Dispatcher) route(t *target.Target, attempted []string) (string, bool) {
	ranking := d.directory.Ranking()
	homes := t.Homes(ranking)
	if len(attempted) > 0 {
		homes = exclude(homes, attempted)
	}
	if usable := exclude(homes, d.viewer.Current().Avoided()); len(usable) > 0 && !t.IsCold() {
		homes = usable
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
	return d.preferredHome(ranking, homes[a], homes[b]), true
}

// preferredHome returns the nearer of two homes. If both are equally near, or the location of this instance is unknown, it
// returns the one with fewer relayed attempts of this instance in flight.
func (d *Dispatcher) preferredHome(r *home.Ranking, a, b string) string {
	selfLocation, ok := r.LocationOf(d.self)
	locationA, _ := r.LocationOf(a)
	locationB, _ := r.LocationOf(b)
	distanceA, distanceB := selfLocation.Distance(locationA), selfLocation.Distance(locationB)
	if ok && distanceA != distanceB {
		if distanceA < distanceB {
			return a
		}
		return b
	}
	if d.relays.inFlight(r, a) <= d.relays.inFlight(r, b) {
		return a
	}
	return b
}

// exclude returns the homes that are not in excluded.
func exclude(homes, excluded []string) []string {
	remaining := make([]string, 0, len(homes))
	for _, name := range homes {
		if !slices.Contains(excluded, name) {
			remaining = append(remaining, name)
		}
	}
	return remaining
}

// relayCounter counts the relayed attempts in flight through each other instance. It restarts at zero with each change of
// the ranking, so that it keeps no instances that are gone.
type relayCounter struct {
	current atomic.Pointer[relayCounts]
}

type relayCounts struct {
	ranking *home.Ranking
	byName  sync.Map // from instance name to *atomic.Int64
}

// begin counts an attempt until the returned function is called.
func (rc *relayCounter) begin(r *home.Ranking, instance string) func() {
	n := rc.count(r, instance)
	n.Add(1)
	return func() { n.Add(-1) }
}

func (rc *relayCounter) inFlight(r *home.Ranking, instance string) int64 {
	return rc.count(r, instance).Load()
}

func (rc *relayCounter) count(r *home.Ranking, instance string) *atomic.Int64 {
	c := rc.current.Load()
	if c == nil || c.ranking != r {
		c = &relayCounts{ranking: r}
		rc.current.Store(c)
	}
	if n, ok := c.byName.Load(instance); ok {
		return n.(*atomic.Int64)
	}
	n, _ := c.byName.LoadOrStore(instance, new(atomic.Int64))
	return n.(*atomic.Int64)
}
