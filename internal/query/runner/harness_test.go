package runner_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"crocuswing/internal/config/preset"
	"crocuswing/internal/config/service"
	"crocuswing/internal/config/set"
	"crocuswing/internal/fleet/view"
	"crocuswing/internal/index/layout"
	"crocuswing/internal/index/shard"
	"crocuswing/internal/query/balancer"
	"crocuswing/internal/query/runner"
	"crocuswing/internal/upstream/contract"
	"crocuswing/internal/upstream/failure"
	"crocuswing/internal/wire/part"
)

const (
	ms                = time.Millisecond
	serviceName       = "search"
	serviceTime       = 2 * ms
	rowsPerPart       = 2
	slots             = 2
	sameDomainLatency = 100 * time.Microsecond // one way, within a failure domain
)

// location is a failure domain and its region.
type location struct{ domain, region string }

// deployment describes the size and network of a site; latencies are one way. The two sites below model the deployments of two users.
type deployment struct {
	name               string
	shards             int
	locations          []location
	crossDomainLatency time.Duration
	crossRegionLatency time.Duration
	preset             preset.Preset
}

var (
	coveragePreset = preset.Preset{
		Name: "ordinary", DeadlineMS: 1000, AnswerPolicy: preset.PolicyCoverage,
		HedgeQuantile: 0.95, HedgeShare: 0.05, RetryShare: 0.1,
	}
	tailPreset = preset.Preset{
		Name: "quick", DeadlineMS: 1000, AnswerPolicy: preset.PolicyTail, TailWaitMS: 200,
		HedgeQuantile: 0.95, HedgeShare: 0.05, RetryShare: 0.1,
	}
	coverageSite = deployment{
		name: "Mien Dem", shards: 20, crossDomainLatency: 1500 * time.Microsecond, crossRegionLatency: 8 * ms, preset: coveragePreset,
		locations: []location{{"south-a", "south"}, {"central-a", "central"}, {"north-a", "north"}},
	}
	tailSite = deployment{
		name: "Tangle Free", shards: 20, crossDomainLatency: 500 * time.Microsecond, crossRegionLatency: 12 * ms, preset: tailPreset,
		locations: []location{{"auckland", "north"}, {"wellington", "south"}, {"christchurch", "south"}},
	}
)

// harness simulates a site: upstreams with a limited number of slots, network latency, and the senders of 4 instances.
type harness struct {
	deployment
	upstreams      map[string]*upstream
	senders        []*sender
	mu             sync.Mutex
	current        view.View
	attemptsSent   int
	inFlight       int
	latestDeadline time.Time      // of all attempts
	counts         map[string]int // by metric
}

// upstream is one simulated replica. Its fault applies to every attempt that reaches it, or to one in 50 for the occasional faults.
type upstream struct {
	location
	slots     chan struct{}
	mu        sync.Mutex
	rng       *rand.Rand
	received  int // attempts that reached it
	slowdown  float64
	load      float64
	fault     fault
	state     balancer.State
	snapshots map[string]bool
}

// fault is a kind of faulty behavior of an upstream.
type fault int

const (
	healthy                  fault = iota
	refusing                       // refuses connections
	unresponsive                   // never answers
	delayed                        // answers 300 ms late, even after cancellation
	crossed                        // answers with the ID of another request
	truncated                      // drops a row
	duplicated                     // repeats its rows
	occasionallyUnresponsive       // does not answer one attempt in 50
	shedding                       // refuses because of load
	occasionallyRefusing           // refuses one connection in 50
)

func newHarness(d deployment) *harness {
	h := &harness{deployment: d, upstreams: make(map[string]*upstream), counts: make(map[string]int)}
	for _, s := range shardsOf(d.shards + 4) {
		for i, name := range s.Replicas {
			var n int
			_, _ = fmt.Sscanf(s.Name, "s-%d", &n)
			h.upstreams[name] = &upstream{
				location:  d.locations[(n+i)%len(d.locations)],
				slots:     make(chan struct{}, slots),
				rng:       rand.New(rand.NewPCG(uint64(n), uint64(i))),
				slowdown:  1,
				load:      0.5,
				snapshots: map[string]bool{"n1": true},
			}
		}
	}
	for i := range 4 {
		h.senders = append(h.senders, &sender{harness: h, location: d.locations[i%len(d.locations)], outstanding: make(map[string]int)})
	}
	h.publish(1, layoutOf("n1", d.shards))
	return h
}

func shardsOf(n int) []shard.Shard {
	all := make([]shard.Shard, n)
	for i := range all {
		name := fmt.Sprintf("s-%d", i)
		all[i] = shard.Shard{Name: name, Replicas: []string{name + "a", name + "b"}}
	}
	return all
}

func layoutOf(snapshot string, shards int) layout.Layout {
	return layout.Layout{Snapshot: snapshot, Shards: shardsOf(shards)}
}

// publish puts a revision with the given layouts into force.
func (h *harness) publish(revision uint64, layouts ...layout.Layout) {
	s := service.Service{
		Name: serviceName, Kind: service.KindSearch, Layouts: layouts,
		Contract: contract.Contract{Slots: slots, Connections: 25, ColdSlots: 1, WarmAfter: 8},
	}
	cfg, err := set.Parse(revision, map[string][]byte{
		"in-force":                fmt.Appendf(nil, `{"preset": %q}`, h.preset.Name),
		"preset/" + h.preset.Name: encode(h.preset),
		"service/" + serviceName:  encode(s),
	})
	if err != nil {
		panic(err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.current = view.View{}.WithConfig(cfg)
}

func encode(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return text
}

func (h *harness) view() view.View {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

func (h *harness) attemptStarted(ctx context.Context) {
	deadline, _ := ctx.Deadline()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attemptsSent++
	h.inFlight++
	if deadline.After(h.latestDeadline) {
		h.latestDeadline = deadline
	}
}

func (h *harness) attemptEnded() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight--
}

// Count implements runner.Meter.
func (h *harness) Count(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[name]++
}

func (h *harness) counter(name string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counts[name]
}

func (h *harness) attempts() (sent, inFlight int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.attemptsSent, h.inFlight
}

// updateAll applies change to the upstreams whose name ends with suffix.
func (h *harness) updateAll(suffix string, change func(*upstream)) {
	for name, u := range h.upstreams {
		if strings.HasSuffix(name, suffix) {
			u.update(change)
		}
	}
}

func (u *upstream) update(change func(*upstream)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	change(u)
}

// drawFault returns the fault and the service time of one attempt.
func (u *upstream) drawFault() (fault, time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.received++
	took := time.Duration(float64(serviceTime) * u.slowdown * (0.5 + u.rng.ExpFloat64()/2))
	const oneIn = 50
	switch isFaulty := u.rng.IntN(oneIn) == 0; {
	case u.fault == occasionallyUnresponsive && !isFaulty, u.fault == occasionallyRefusing && !isFaulty:
		return healthy, took
	case u.fault == occasionallyRefusing:
		return refusing, took
	}
	return u.fault, took
}

func (u *upstream) serves(snapshot string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.snapshots[snapshot]
}

// sender simulates the connections of one instance to the upstreams.
type sender struct {
	*harness
	location    location
	mu          sync.Mutex
	outstanding map[string]int
}

func (s *sender) Candidates(buf []balancer.Candidate, sh shard.Shard) []balancer.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range sh.Replicas {
		u := s.upstreams[name]
		u.mu.Lock()
		c := balancer.Candidate{
			Upstream: name, State: u.state, Distance: s.distance(u), Outstanding: s.outstanding[name], Limit: slots, Load: u.load,
		}
		u.mu.Unlock()
		buf = append(buf, c)
	}
	return buf
}

func (s *sender) distance(u *upstream) balancer.Distance {
	switch {
	case s.location.domain == u.domain:
		return balancer.SameDomain
	case s.location.region == u.region:
		return balancer.SameRegion
	}
	return balancer.OtherRegion
}

func (s *sender) latency(u *upstream) time.Duration {
	return [...]time.Duration{sameDomainLatency, s.crossDomainLatency, s.crossRegionLatency}[s.distance(u)]
}

// Part simulates one attempt: network latency, a slot of the upstream, and latency of the reply.
func (s *sender) Part(ctx context.Context, name string, q part.Request) (part.Reply, error) {
	s.attemptStarted(ctx)
	defer s.attemptEnded()
	s.addOutstanding(name, 1)
	defer s.addOutstanding(name, -1)
	u := s.upstreams[name]
	f, took := u.drawFault()
	if err := sleep(ctx, name, s.latency(u)); err != nil {
		return part.Reply{}, err
	}
	switch f {
	case refusing:
		return part.Reply{}, newFailure(name, failure.KindRefused)
	case shedding:
		return part.Reply{}, newFailure(name, failure.KindShed)
	case unresponsive, occasionallyUnresponsive:
		<-ctx.Done()
		return part.Reply{}, newFailure(name, failure.KindCanceled)
	case delayed:
		ctx = context.WithoutCancel(ctx)
		_ = sleep(ctx, name, 300*ms)
	default:
	}
	if err := u.process(ctx, name, took); err != nil {
		return part.Reply{}, err
	}
	if err := sleep(ctx, name, s.latency(u)); err != nil {
		return part.Reply{}, err
	}
	if !u.serves(q.Snapshot) {
		return part.Reply{}, newFailure(name, failure.KindSnapshotGone)
	}
	return reply(q, f), nil
}

func (s *sender) addOutstanding(name string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outstanding[name] += n
}

func (u *upstream) process(ctx context.Context, name string, took time.Duration) error {
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	case <-ctx.Done():
		return newFailure(name, failure.KindCanceled)
	}
	return sleep(ctx, name, took)
}

func sleep(ctx context.Context, name string, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return newFailure(name, failure.KindCanceled)
	}
}

func newFailure(name, kind string) error { return &failure.Failure{Upstream: name, Kind: kind} }

func reply(q part.Request, f fault) part.Reply {
	r := part.Reply{RequestID: q.RequestID, Service: q.Service, Shard: q.Shard, Snapshot: q.Snapshot, Count: rowsPerPart}
	for n := range rowsPerPart {
		r.Rows = append(r.Rows, fmt.Sprintf("%s|%s|%s|%d", q.Shard, q.Snapshot, q.Query+q.Key, n))
	}
	switch f {
	case crossed:
		r.RequestID += "-other"
	case truncated:
		r.Rows = r.Rows[:1]
	case duplicated:
		r.Rows = append(r.Rows, r.Rows...)
	default:
	}
	return r
}

// runners returns a Runner for each instance.
func (h *harness) runners() []policy {
	all := make([]policy, len(h.senders))
	for i, s := range h.senders {
		rng := rand.New(rand.NewPCG(7, uint64(i)))
		var mu sync.Mutex
		intn := func(n int) int {
			mu.Lock()
			defer mu.Unlock()
			return rng.IntN(n)
		}
		all[i] = runner.New(s, runner.WithCurrentView(h.view), runner.WithMeter(h), runner.WithRandom(intn))
	}
	return all
}
