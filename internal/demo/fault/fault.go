// Package fault injects a fixed schedule of faults into a site while it is under load.
package fault

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"crocuswing/internal/demo/backend"
	"crocuswing/internal/demo/site"
	"crocuswing/internal/fleet/member"
	"crocuswing/internal/task/pause"

	"go.uber.org/zap"
)

const (
	// Duration is the length of the whole schedule.
	Duration = 16 * time.Second

	slowdown             = 50
	drainGracePeriod     = 2 * time.Second // from the first signal that the upstream is draining
	exclusionGracePeriod = 4 * time.Second // from the publication of the exclusion
	newShardCount        = 24
)

// Schedule injects the faults of one run into a site.
type Schedule struct {
	site *site.Site
	log  *zap.Logger
	rng  *rand.Rand
}

// step is an action that is due at a fixed time after the start of the run.
type step struct {
	at   time.Duration
	name string // as logged
	do   func() error
}

// New returns a schedule of faults for s. The seed determines the affected upstreams and failure domain.
func New(s *site.Site, log *zap.Logger, seed uint64) *Schedule {
	return &Schedule{site: s, log: log, rng: rand.New(rand.NewPCG(seed, 2))}
}

// Run injects the faults until the schedule ends or ctx is done.
func (s *Schedule) Run(ctx context.Context) error {
	start := time.Now()
	for _, st := range s.steps() {
		if !pause.For(ctx, time.Until(start.Add(st.at))) {
			return nil
		}
		s.log.Info("fault", zap.String("what", st.name))
		if err := st.do(); err != nil {
			return fmt.Errorf("%s: %w", st.name, err)
		}
	}
	return nil
}

func (s *Schedule) steps() []step {
	slow, lost, cold := s.pickUpstream(), s.pickUpstream(), s.pickUpstream()
	stalled, draining := s.pickUpstream(), s.pickUpstream()
	coldOrder := s.site.Upstream(fmt.Sprintf("%s-%d-a", backend.OrderService, s.rng.IntN(30)))
	excluded := backend.Domains[s.rng.IntN(len(backend.Domains))].Name
	return []step{
		{500 * time.Millisecond, "an upstream becomes slow", func() error { slow.SetSlowdown(slowdown); return nil }},
		{2500 * time.Millisecond, "the slow upstream recovers", func() error { slow.SetSlowdown(1); return nil }},
		{2600 * time.Millisecond, "an upstream goes down", func() error { lost.Listener.SetDown(true); return nil }},
		{3200 * time.Millisecond, "an upstream restarts cold", func() error { restart(cold); return nil }},
		{3400 * time.Millisecond, "an order upstream restarts cold", func() error { restart(coldOrder); return nil }},
		{4 * time.Second, "a new snapshot is published", func() error { s.site.PublishSnapshot("s2", 20); return nil }},
		{4600 * time.Millisecond, "the old snapshot is dropped", func() error { s.site.DropOldSnapshots(); return nil }},
		{5 * time.Second, "the upstream that went down returns cold", func() error { lost.Restart(); lost.Listener.SetDown(false); return nil }},
		{5500 * time.Millisecond, "shards are repartitioned", func() error { s.site.PublishSnapshot("s3", newShardCount); return nil }},
		{6 * time.Second, "the old partitioning is dropped", func() error { s.site.DropOldSnapshots(); return nil }},
		{6500 * time.Millisecond, "a failure domain is excluded", func() error { s.setDomainExcluded(excluded, true); return nil }},
		{7 * time.Second, "connections stall", func() error { stalled.Listener.Stall(); return nil }},
		{8 * time.Second, "an instance is replaced", s.site.ReplaceInstance},
		{11500 * time.Millisecond, "the exclusion of the failure domain ends", func() error { s.setDomainExcluded(excluded, false); return nil }},
		{12 * time.Second, "an upstream drains", func() error { s.setDraining(draining, true); return nil }},
		{15 * time.Second, "the drained upstream returns", func() error { s.setDraining(draining, false); return nil }},
		{Duration, "the schedule ends", func() error { return nil }},
	}
}

// pickUpstream returns a random upstream of the search service.
func (s *Schedule) pickUpstream() *backend.Server {
	return s.site.Upstream(fmt.Sprintf("%s-%d-%c", backend.SearchService, s.rng.IntN(20), 'a'+s.rng.IntN(2)))
}

// restart simulates a new process of an upstream: it resets the connections and makes the upstream cold.
func restart(u *backend.Server) {
	u.Listener.Reset()
	u.Restart()
}

// setDomainExcluded publishes whether a failure domain is excluded. The domain's upstreams count violations only while the
// exclusion is published.
func (s *Schedule) setDomainExcluded(name string, excluded bool) {
	if !excluded {
		s.setUpstreamsExcluded(name, false)
	}
	s.site.SetDomainExcluded(name, excluded)
	if excluded {
		s.setUpstreamsExcluded(name, true)
	}
}

func (s *Schedule) setUpstreamsExcluded(domain string, excluded bool) {
	for _, u := range s.site.Upstreams() {
		if u.Domain == domain {
			u.SetExcluded(excluded, exclusionGracePeriod)
		}
	}
}

func (s *Schedule) setDraining(u *backend.Server, draining bool) {
	state := member.StateLive
	if draining {
		state = member.StateLeaving
	}
	u.SetDraining(draining, drainGracePeriod)
	s.site.SetState(u.Name(), state)
}
