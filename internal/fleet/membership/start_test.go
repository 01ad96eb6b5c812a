package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"crocuswing/internal/fleet/share"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

const (
	simStep  = 10 * time.Millisecond
	simBound = 35 // requests per second to a cold upstream
	simLimit = 29 // usable part of simBound, of catalog
)

// simInstance is an instance of a simulated fleet. It is down while ms is nil.
type simInstance struct {
	ms     *Membership
	fleet  *share.Division
	bootAt time.Time
	nextAt time.Time
	round  int
	shares [121]int // of the last 1.2 s
}

// simFleet simulates the gossip of instances without a network. The first three are the seeds.
type simFleet struct {
	*testing.T
	rng       *rand.Rand
	now       time.Time
	instances []*simInstance
	byAddress map[string]*simInstance
}

func (f *simFleet) share(x *simInstance) int { return x.fleet.Of(simLimit, "upstream") }

// boot ends the process of an instance and starts a new one after d.
func (f *simFleet) boot(x *simInstance, d time.Duration) {
	x.ms, x.fleet, x.bootAt = nil, nil, f.now.Add(d)
}

func (f *simFleet) start(k int, x *simInstance) {
	address := fmt.Sprint("a", k)
	x.ms = New(fmt.Sprint("i-", k), address, []string{"a0", "a1", "a2"}, zap.NewNop(), func(d *share.Division) { x.fleet = d })
	x.ms.self.Incarnation = f.now.UnixNano()
	x.nextAt, x.round = f.now, 0
	f.byAddress[address] = x
}

func (f *simFleet) gossip(x *simInstance) {
	x.ms.beginRound(f.now)
	for i, to := range x.ms.pickTargets(x.round) {
		if other := f.byAddress[to]; other != nil && other.ms != nil {
			exchange(x.ms, other.ms, x.round, i, f.now)
		}
	}
	x.ms.update(f.now)
	wait := x.ms.interval(x.round, f.now)
	x.round++
	x.nextAt = f.now.Add(wait/2 + time.Duration(f.rng.Int64N(int64(wait))))
}

// result is what a part of a simulation showed.
type result struct {
	most   int           // highest sum of the shares that the instances had in any 1.2 s
	unused float64       // mean part of the limit that no instance had
	known  time.Duration // time until the last instance knew the fleet
}

// run simulates d.
func (f *simFleet) run(d time.Duration) (got result) {
	begin := f.now
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(simStep) {
		sum, used, unknown := 0, 0, 0
		for k, x := range f.instances {
			if x.ms == nil && !x.bootAt.IsZero() && !f.now.Before(x.bootAt) {
				f.start(k, x)
			}
			if x.ms != nil && !f.now.Before(x.nextAt) {
				f.gossip(x)
			}
			n := int(f.now.UnixNano()/int64(simStep)) % len(x.shares)
			x.shares[n] = 0
			if x.ms != nil {
				x.shares[n] = f.share(x)
			}
			if x.fleet == nil {
				unknown++
			}
			used += x.shares[n]
			sum += slices.Max(x.shares[:])
		}
		got.most = max(got.most, sum)
		got.unused += (1 - float64(used)/simLimit) * float64(simStep) / float64(d)
		if unknown > 0 {
			got.known = f.now.Sub(begin) + simStep
		}
	}
	return got
}

func newSimFleet(t *testing.T, n int, seed uint64) *simFleet {
	f := &simFleet{T: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC), byAddress: make(map[string]*simInstance)}
	for range n {
		f.instances = append(f.instances, &simInstance{})
	}
	return f
}

// TestSharesAfterStart guards against a flood of cold upstreams after instances have started together: the shares of those that do not know
// all others yet added up to more than the bound. It also bounds the time until all instances have a share, and what is unused meanwhile.
func TestSharesAfterStart(t *testing.T) {
	const (
		downtime = 1500 * time.Millisecond
		spread   = 500 * time.Millisecond // of the starts of the processes
		span     = 10 * time.Second
	)
	for _, n := range []int{24, 78, 300} {
		for _, tc := range []struct {
			name      string
			from, to  int // instances that lose power
			maxUnused float64
			maxKnown  time.Duration
		}{
			{name: "all", to: n, maxUnused: 0.45, maxKnown: 4 * time.Second},
			{name: "half with all seeds", to: n / 2, maxUnused: 0.15, maxKnown: 3500 * time.Millisecond},
			{name: "half without seeds", from: n / 2, to: n, maxUnused: 0.15, maxKnown: 2500 * time.Millisecond},
		} {
			t.Run(fmt.Sprint(tc.name, " of ", n), func(t *testing.T) {
				t.Parallel()
				f := newSimFleet(t, n, uint64(n+tc.to))
				for _, x := range f.instances {
					f.boot(x, time.Duration(f.rng.Int64N(int64(spread))))
				}
				first := f.run(span)
				require.LessOrEqual(t, first.most, simBound)
				for _, x := range f.instances[tc.from:tc.to] {
					f.boot(x, downtime+time.Duration(f.rng.Int64N(int64(spread))))
				}
				got := f.run(span)
				t.Logf("known after %v, %.2f of the limit unused in %v, at most %d in a second", got.known, got.unused, span, got.most)
				require.LessOrEqual(t, got.most, simBound)
				require.LessOrEqual(t, got.unused, tc.maxUnused)
				require.LessOrEqual(t, got.known, tc.maxKnown)
			})
		}
	}
}

// TestSharesWhileStartsSpread guards against too large shares of the first instances of a fleet whose processes start over some seconds, and
// of a fleet that grows.
func TestSharesWhileStartsSpread(t *testing.T) {
	for seed := range uint64(10) {
		for _, spread := range []time.Duration{time.Second, 4 * time.Second, 20 * time.Second} {
			f := newSimFleet(t, 40, seed)
			for _, x := range f.instances {
				f.boot(x, time.Duration(f.rng.Int64N(int64(spread))))
			}
			got := f.run(spread + 10*time.Second)
			t.Logf("seed %d, starts over %v: known after %v, %.2f unused, at most %d", seed, spread, got.known, got.unused, got.most)
			require.LessOrEqual(t, got.most, simBound)
			require.LessOrEqual(t, got.known, spread+8*time.Second)
		}
	}
}
