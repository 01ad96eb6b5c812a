package enforcer

import (
	"math/rand/v2"
	"testing"
	"time"

	"crocuswing/internal/workspace/workspace"

	"github.com/stretchr/testify/require"
)

// shares is an alternative to loans: each instance has a share of what is permitted, as a token bucket. With byDemand, shares are
// proportional to the requests of the last interval; half of what is permitted stays divided equally, since an instance without requests
// must be able to begin. A share that shrinks does so an interval before others grow.
type shares struct {
	quota    workspace.Quota
	byDemand bool
	levels   []float64
	weights  []float64
	next     []float64 // weights of the next interval
	demand   []float64
	at       time.Duration
	changeAt time.Duration
}

const shareInterval = time.Second

func newShares(q workspace.Quota, n int, byDemand bool) *shares {
	s := &shares{quota: q, byDemand: byDemand, levels: make([]float64, n), weights: make([]float64, n), next: make([]float64, n), demand: make([]float64, n)}
	for i := range n {
		s.weights[i], s.next[i] = 1/float64(n), 1/float64(n)
		s.levels[i] = s.capacity(i)
	}
	return s
}

// capacity returns what an instance can save: half of its part of what is permitted in a window; the other half is its rate.
func (s *shares) capacity(i int) float64 { return rule.Permitted(s.quota) / 2 * s.weights[i] }

func (s *shares) admit(now time.Duration, i int) bool {
	s.advance(now)
	s.demand[i]++
	if s.levels[i] < 1 {
		return false
	}
	s.levels[i]--
	return true
}

func (s *shares) advance(now time.Duration) {
	for s.byDemand && now >= s.changeAt+shareInterval {
		s.changeAt += shareInterval
		s.fill(s.changeAt)
		total := 0.0
		for _, d := range s.demand {
			total += d
		}
		for i := range s.weights {
			s.weights[i] = s.next[i]
			target := 1 / float64(len(s.weights))
			if total > 0 {
				target = target/2 + s.demand[i]/total/2
			}
			s.next[i] = target
			s.weights[i] = min(s.weights[i], target)
			s.demand[i] *= 0.8 // averaged over some intervals
		}
	}
	s.fill(now)
}

func (s *shares) fill(now time.Duration) {
	for i := range s.levels {
		rate := rule.Permitted(s.quota) / 2 / rule.Window.Seconds() * s.weights[i]
		s.levels[i] = min(s.capacity(i), s.levels[i]+rate*(now-s.at).Seconds())
	}
	s.at = now
}

// TestAlternatives compares equal shares and shares by demand under the load of TestUnevenCallers, in which loans refuse less than 0.05.
func TestAlternatives(t *testing.T) {
	for _, c := range []struct {
		name     string
		byDemand bool
	}{{"equal shares", false}, {"shares by demand", true}} {
		within, refused := 0, 0
		for i, w := range manyWorkspaces(81, 48) {
			rng := rand.New(rand.NewPCG(uint64(i), 2))
			s := newShares(w.Quota, 32, c.byDemand)
			for now := time.Duration(0); ; {
				now += time.Duration(rng.ExpFloat64() / (w.Rate * ordinary) * float64(time.Second))
				if now > time.Minute {
					break
				}
				within++
				if !s.admit(now, []int{i % 32, (i * 7) % 32}[rng.IntN(2)]) {
					refused++
				}
			}
		}
		t.Logf("%s: %d of %d refused", c.name, refused, within)
		require.Greater(t, float64(refused), 0.05*float64(within), "the alternative would do")
	}
}
