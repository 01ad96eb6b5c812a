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
	ms          = time.Millisecond
	serviceName = "search"
	serviceTime = 2 * ms
	rowsPerPart = 2
	slots       = 2
	inDomain    = 100 * time.Microsecond // one way, within a failure domain
)

// place is a failure domain and its region.
type place struct{ domain, region string }

// deployment is the shape of one user's site; latencies are one way.
type deployment struct {
	name          string
	shards        int
	places        []place
	domainLatency time.Duration
	regionLatency time.Duration
	preset        preset.Preset
}

var (
	ordinary = preset.Preset{
		Name: "ordinary", DeadlineMS: 1000, AnswerPolicy: preset.PolicyCoverage,
		HedgeQuantile: 0.95, HedgeShare: 0.05, RetryShare: 0.1,
	}
	quick = preset.Preset{
		Name: "quick", DeadlineMS: 1000, AnswerPolicy: preset.PolicyTail, TailWaitMS: 200,
		HedgeQuantile: 0.95, HedgeShare: 0.05, RetryShare: 0.1,
	}
	mienDem = deployment{
		name: "Mien Dem", shards: 20, domainLatency: 1500 * time.Microsecond, regionLatency: 8 * ms, preset: ordinary,
		places: []place{{"south-a", "south"}, {"central-a", "central"}, {"north-a", "north"}},
	}
	tangleFree = deployment{
		name: "Tangle Free", shards: 20, domainLatency: 500 * time.Microsecond, regionLatency: 12 * ms, preset: quick,
		places: []place{{"auckland", "north"}, {"wellington", "south"}, {"christchurch", "south"}},
	}
)

// rig is a site of fakes: upstreams with slots behind links with latency, and the senders of 4 instances.
type rig struct {
	deployment
	upstreams map[string]*upstream
	senders   []*sender
	mu        sync.Mutex
	current   view.View
	sent      int // attempts
	inFlight  int
	latest    time.Time      // deadline of an attempt
	counts    map[string]int // events by the name of their metric
}

// upstream is one replica; its fault applies to every attempt that reaches it.
type upstream struct {
	place
	slots     chan struct{}
	mu        sync.Mutex
	rng       *rand.Rand
	drawn     int // attempts that reached it
	slowdown  float64
	load      float64
	fault     fault
	closed    balancer.State
	snapshots map[string]bool
}

// fault is what an upstream does wrong.
type fault int

const (
	healthy    fault = iota
	refusing         // refuses connections
	mute             // never answers
	late             // answers 300 ms late, whether withdrawn or not
	crossed          // answers with another request's identifier
	truncated        // loses a row
	doubled          // sends its rows twice
	muteOnce         // never answers one attempt in fifty
	shedding         // refuses for load
	errorsOnce       // breaks one connection in fifty
)

func newRig(d deployment) *rig {
	r := &rig{deployment: d, upstreams: make(map[string]*upstream), counts: make(map[string]int)}
	for _, s := range shardsOf(d.shards + 4) {
		for i, name := range s.Replicas {
			var n int
			_, _ = fmt.Sscanf(s.Name, "s-%d", &n)
			r.upstreams[name] = &upstream{
				place:     d.places[(n+i)%len(d.places)],
				slots:     make(chan struct{}, slots),
				rng:       rand.New(rand.NewPCG(uint64(n), uint64(i))),
				slowdown:  1,
				load:      0.5,
				snapshots: map[string]bool{"n1": true},
			}
		}
	}
	for i := range 4 {
		r.senders = append(r.senders, &sender{rig: r, place: d.places[i%len(d.places)], busy: make(map[string]int)})
	}
	r.publish(1, layoutOf("n1", d.shards))
	return r
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
func (r *rig) publish(revision uint64, layouts ...layout.Layout) {
	s := service.Service{
		Name: serviceName, Kind: service.KindSearch, Layouts: layouts,
		Contract: contract.Contract{Slots: slots, Connections: 25, ColdSlots: 1, WarmAfter: 8},
	}
	cfg, err := set.Parse(revision, map[string][]byte{
		"in-force":                fmt.Appendf(nil, `{"preset": %q}`, r.preset.Name),
		"preset/" + r.preset.Name: encode(r.preset),
		"service/" + serviceName:  encode(s),
	})
	if err != nil {
		panic(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current = view.View{}.WithConfig(cfg)
}

func encode(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return text
}

func (r *rig) view() view.View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

func (r *rig) begin(ctx context.Context) {
	deadline, _ := ctx.Deadline()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	r.inFlight++
	if deadline.After(r.latest) {
		r.latest = deadline
	}
}

func (r *rig) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
}

// Count makes the rig the meter of its runners.
func (r *rig) Count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[name]++
}

func (r *rig) counted(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[name]
}

func (r *rig) attempts() (sent, inFlight int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent, r.inFlight
}

// each applies change to the replicas whose name ends with suffix.
func (r *rig) each(suffix string, change func(*upstream)) {
	for name, u := range r.upstreams {
		if strings.HasSuffix(name, suffix) {
			u.set(change)
		}
	}
}

func (u *upstream) set(change func(*upstream)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	change(u)
}

// draw gives the fault and the service time of one attempt.
func (u *upstream) draw() (fault, time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.drawn++
	took := time.Duration(float64(serviceTime) * u.slowdown * (0.5 + u.rng.ExpFloat64()/2))
	const oneIn = 50
	switch once := u.rng.IntN(oneIn) == 0; {
	case u.fault == muteOnce && !once, u.fault == errorsOnce && !once:
		return healthy, took
	case u.fault == errorsOnce:
		return refusing, took
	}
	return u.fault, took
}

func (u *upstream) serves(snapshot string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.snapshots[snapshot]
}

// sender is the way from one instance to the upstreams.
type sender struct {
	*rig
	place place
	mu    sync.Mutex
	busy  map[string]int
}

func (s *sender) Candidates(buf []balancer.Candidate, sh shard.Shard) []balancer.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range sh.Replicas {
		u := s.upstreams[name]
		u.mu.Lock()
		c := balancer.Candidate{
			Upstream: name, State: u.closed, Distance: s.distance(u), Outstanding: s.busy[name], Limit: slots, Load: u.load,
		}
		u.mu.Unlock()
		buf = append(buf, c)
	}
	return buf
}

func (s *sender) distance(u *upstream) balancer.Distance {
	switch {
	case s.place.domain == u.domain:
		return balancer.SameDomain
	case s.place.region == u.region:
		return balancer.SameRegion
	}
	return balancer.OtherRegion
}

func (s *sender) latency(u *upstream) time.Duration {
	return [...]time.Duration{inDomain, s.domainLatency, s.regionLatency}[s.distance(u)]
}

// Part sends one attempt over the link, through a slot of the upstream and back.
func (s *sender) Part(ctx context.Context, name string, q part.Request) (part.Reply, error) {
	s.begin(ctx)
	defer s.end()
	s.enter(name, 1)
	defer s.enter(name, -1)
	u := s.upstreams[name]
	wrong, took := u.draw()
	if err := sleep(ctx, name, s.latency(u)); err != nil {
		return part.Reply{}, err
	}
	switch wrong {
	case refusing:
		return part.Reply{}, fail(name, failure.KindRefused)
	case shedding:
		return part.Reply{}, fail(name, failure.KindShed)
	case mute, muteOnce:
		<-ctx.Done()
		return part.Reply{}, fail(name, failure.KindCanceled)
	case late:
		ctx = context.WithoutCancel(ctx)
		_ = sleep(ctx, name, 300*ms)
	default:
	}
	if err := u.work(ctx, name, took); err != nil {
		return part.Reply{}, err
	}
	if err := sleep(ctx, name, s.latency(u)); err != nil {
		return part.Reply{}, err
	}
	if !u.serves(q.Snapshot) {
		return part.Reply{}, fail(name, failure.KindSnapshotGone)
	}
	return reply(q, wrong), nil
}

func (s *sender) enter(name string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy[name] += n
}

func (u *upstream) work(ctx context.Context, name string, took time.Duration) error {
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	case <-ctx.Done():
		return fail(name, failure.KindCanceled)
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
		return fail(name, failure.KindCanceled)
	}
}

func fail(name, kind string) error { return &failure.Failure{Upstream: name, Kind: kind} }

func reply(q part.Request, wrong fault) part.Reply {
	r := part.Reply{RequestID: q.RequestID, Service: q.Service, Shard: q.Shard, Snapshot: q.Snapshot, Count: rowsPerPart}
	for n := range rowsPerPart {
		r.Rows = append(r.Rows, fmt.Sprintf("%s|%s|%s|%d", q.Shard, q.Snapshot, q.Query+q.Key, n))
	}
	switch wrong {
	case crossed:
		r.RequestID += "-other"
	case truncated:
		r.Rows = r.Rows[:1]
	case doubled:
		r.Rows = append(r.Rows, r.Rows...)
	default:
	}
	return r
}

// runners makes the product over the senders of all instances.
func (r *rig) runners() []policy {
	all := make([]policy, len(r.senders))
	for i, s := range r.senders {
		rng := rand.New(rand.NewPCG(7, uint64(i)))
		var mu sync.Mutex
		intn := func(n int) int {
			mu.Lock()
			defer mu.Unlock()
			return rng.IntN(n)
		}
		all[i] = runner.New(s, runner.WithCurrentView(r.view), runner.WithMeter(r), runner.WithRandom(intn))
	}
	return all
}
