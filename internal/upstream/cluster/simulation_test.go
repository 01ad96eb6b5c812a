package cluster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"crocuswing/internal/policy/retrybudget"
	"crocuswing/internal/published/registration"
	"crocuswing/internal/query/balancer"
	"crocuswing/internal/routing/route"
	"crocuswing/internal/stats/history"
	"crocuswing/internal/upstream/link"
)

// simulation runs requests of several failure domains against the upstreams of one service in virtual time. Each domain has one or more
// instances with a cluster each. It has no network: an attempt sleeps for the latency of its path and for its work.
type simulation struct {
	domains   []string
	instances int // in each domain; 0 for 1
	region    func(domain string) string
	upstreams []*simUpstream
	options   []Option
	work      time.Duration
	// reportDelay is the time by which reports of load arrive later than their responses.
	reportDelay time.Duration
	hasFactor   bool // whether upstreams report four figures
	pricePerKiB time.Duration
	bodyBytes   int64

	mu       sync.Mutex
	wg       sync.WaitGroup
	outcomes []simOutcome
	rng      *rand.Rand // of the work of each request
}

// simOutcome is one answered request.
type simOutcome struct {
	domain, to string
	at, took   time.Duration
}

// simUpstream is an upstream with a queue.
type simUpstream struct {
	name, domain string
	slots        chan struct{}
	// factor returns the duration of work relative to the usual one at a time since the start.
	factor func(at time.Duration) float64

	mu      sync.Mutex
	waiting int
}

func (u *simUpstream) serve(work time.Duration, start time.Time, hasFactor bool) Signals {
	u.mu.Lock()
	u.waiting++
	u.mu.Unlock()
	u.slots <- struct{}{}
	u.mu.Lock()
	u.waiting--
	u.mu.Unlock()
	time.Sleep(time.Duration(float64(work) * u.factor(time.Since(start))))
	<-u.slots
	u.mu.Lock()
	defer u.mu.Unlock()
	s := Signals{Load: float64(len(u.slots)+u.waiting) / float64(cap(u.slots)), Slots: float64(cap(u.slots)), Proof: "p"}
	if hasFactor {
		s.WorkFactor = u.factor(time.Since(start))
	}
	return s
}

// addUpstream adds an upstream to the simulation.
func (s *simulation) addUpstream(name, domain string, slots int, factor func(at time.Duration) float64) {
	if factor == nil {
		factor = func(time.Duration) float64 { return 1 }
	}
	s.upstreams = append(s.upstreams, &simUpstream{name: name, domain: domain, slots: make(chan struct{}, slots), factor: factor})
}

func (s *simulation) distance(a, b string) balancer.Distance {
	switch {
	case a == b:
		return balancer.SameDomain
	case s.region(a) == s.region(b):
		return balancer.SameRegion
	}
	return balancer.OtherRegion
}

// oneWay is the latency of a path by its distance, as in deployment "uneven".
var oneWay = [...]time.Duration{balancer.SameDomain: 100 * time.Microsecond, balancer.SameRegion: 3 * time.Millisecond, balancer.OtherRegion: 8 * time.Millisecond}

func (s *simulation) newCluster(domain string, seed uint64) *Cluster {
	c := New("s", history.New(), retrybudget.New(0.2, 10, 10*time.Second), s.options...)
	rng := rand.New(rand.NewPCG(3, seed))
	c.intn = rng.IntN
	c.SetCrossing(s.pricePerKiB, len(s.domains))
	for _, u := range s.upstreams {
		r := registration.Registration{Upstream: u.name, Address: u.name, FailureDomain: u.domain, Slots: cap(u.slots)}
		c.Put(r, s.region(u.domain), s.distance(domain, u.domain), func() *link.Link { return link.New(u.name, u.name, 8) })
	}
	return c
}

// run sends rate(domain, at) requests a second from each domain for d, and returns the outcomes once all are answered.
func (s *simulation) run(d time.Duration, rate func(domain string, at time.Duration) float64) []simOutcome {
	start := time.Now()
	s.rng = rand.New(rand.NewPCG(9, 9))
	var generators sync.WaitGroup
	instances := max(1, s.instances)
	for i := range instances * len(s.domains) {
		domain := s.domains[i/instances]
		c := s.newCluster(domain, uint64(i))
		rng := rand.New(rand.NewPCG(5, uint64(i)))
		generators.Go(func() {
			for at := time.Since(start); at < d; at = time.Since(start) {
				time.Sleep(time.Duration(rng.ExpFloat64() / rate(domain, at) * float64(instances) * float64(time.Second)))
				s.wg.Go(func() { s.request(c, domain, start) })
			}
		})
	}
	generators.Wait()
	s.wg.Wait()
	return s.outcomes
}

func (s *simulation) request(c *Cluster, domain string, start time.Time) {
	begin := time.Now()
	timing := Timing{HedgeDelay: 100 * time.Millisecond, Objective: 300 * time.Millisecond}
	for d := range timing.ExtraLatency {
		timing.ExtraLatency[d] = 2 * (oneWay[d] - oneWay[0])
	}
	r, ok := c.Pick(balancer.First, &route.Route{}, nil, timing)
	if !ok {
		panic("no replica")
	}
	u := s.upstreams[slices.IndexFunc(s.upstreams, func(u *simUpstream) bool { return u.name == r.Name() })]
	path := oneWay[s.distance(domain, u.domain)]
	c.history.Begin(r.Name(), begin)
	time.Sleep(path)
	s.mu.Lock()
	work := time.Duration(float64(s.work) * (0.5 + 0.5*s.rng.ExpFloat64()))
	s.mu.Unlock()
	signals := u.serve(work, start, s.hasFactor)
	time.Sleep(path)
	now := time.Now()
	c.history.Answered(r.Name(), begin, now, 10*timing.HedgeDelay)
	c.RecordOutcome(r, Succeeded)
	s.mu.Lock()
	s.outcomes = append(s.outcomes, simOutcome{domain: domain, to: u.domain, at: begin.Sub(start), took: now.Sub(begin)})
	s.mu.Unlock()
	time.Sleep(s.reportDelay)
	signals.BodyBytes = s.bodyBytes
	c.RecordSignals(r, signals)
}

// summary is what a run gave.
type summary struct {
	mean, p50, p99 time.Duration
	late           float64 // share above 100 ms
	left           float64 // share that left its domain
}

func summarize(outcomes []simOutcome) summary {
	var took []time.Duration
	var out summary
	for _, o := range outcomes {
		took = append(took, o.took)
		out.mean += o.took
		if o.took > 100*time.Millisecond {
			out.late++
		}
		if o.to != o.domain {
			out.left++
		}
	}
	slices.Sort(took)
	n := len(took)
	out.mean, out.p50, out.p99 = out.mean/time.Duration(n), took[n/2], took[n*99/100]
	out.late, out.left = out.late/float64(n), out.left/float64(n)
	return out
}

func (s summary) String() string {
	return fmt.Sprintf("mean %v, p50 %v, p99 %v, above 100 ms %.4f, left the domain %.3f", s.mean.Round(10*time.Microsecond), s.p50.Round(10*time.Microsecond),
		s.p99.Round(10*time.Microsecond), s.late, s.left)
}
