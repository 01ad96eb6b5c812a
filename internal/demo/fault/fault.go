// Package fault lets faults happen on a site while it is driven.
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
	// Duration is the time that the whole schedule takes.
	Duration = 16 * time.Second

	slowdown   = 50
	leaveGrace = 2 * time.Second // from the first signal of leaving
	outGrace   = 4 * time.Second // from the publication of a failure domain that is out
	newShards  = 24
)

// Schedule is the list of faults of one run.
type Schedule struct {
	site *site.Site
	log  *zap.Logger
	rng  *rand.Rand
}

// step is one fault at a time from the start of the run.
type step struct {
	at   time.Duration
	name string
	do   func() error
}

// New makes the schedule; seed decides which upstreams suffer.
func New(s *site.Site, log *zap.Logger, seed uint64) *Schedule {
	return &Schedule{site: s, log: log, rng: rand.New(rand.NewPCG(seed, 2))}
}

// Run lets the faults happen until ctx ends or all have happened.
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
	slow, lost, cold := s.pick(), s.pick(), s.pick()
	silent, leaving := s.pick(), s.pick()
	coldOrder := s.site.Upstream(fmt.Sprintf("%s-%d-a", backend.OrderService, s.rng.IntN(30)))
	out := backend.Domains[s.rng.IntN(len(backend.Domains))].Name
	return []step{
		{500 * time.Millisecond, "an upstream straggles", func() error { slow.SetSlowdown(slowdown); return nil }},
		{2500 * time.Millisecond, "the straggler recovers", func() error { slow.SetSlowdown(1); return nil }},
		{2600 * time.Millisecond, "an upstream is lost", func() error { lost.Listener.SetDown(true); return nil }},
		{3200 * time.Millisecond, "an upstream turns cold", func() error { restart(cold); return nil }},
		{3400 * time.Millisecond, "an order upstream turns cold", func() error { restart(coldOrder); return nil }},
		{4 * time.Second, "a new snapshot appears", func() error { s.site.PublishSnapshot("s2", 20); return nil }},
		{4600 * time.Millisecond, "the old snapshot is gone", func() error { s.site.DropOldSnapshots(); return nil }},
		{5 * time.Second, "the lost upstream returns cold", func() error { lost.Restart(); lost.Listener.SetDown(false); return nil }},
		{5500 * time.Millisecond, "shards are repartitioned", func() error { s.site.PublishSnapshot("s3", newShards); return nil }},
		{6 * time.Second, "the old partition is gone", func() error { s.site.DropOldSnapshots(); return nil }},
		{6500 * time.Millisecond, "a failure domain is taken out", func() error { s.setOut(out, true); return nil }},
		{7 * time.Second, "connections go silent", func() error { silent.Listener.Stall(); return nil }},
		{8 * time.Second, "an instance is replaced", s.site.ReplaceInstance},
		{11500 * time.Millisecond, "the failure domain comes back", func() error { s.setOut(out, false); return nil }},
		{12 * time.Second, "an upstream leaves", func() error { s.leave(leaving, true); return nil }},
		{15 * time.Second, "the upstream returns", func() error { s.leave(leaving, false); return nil }},
		{Duration, "the schedule ends", func() error { return nil }},
	}
}

// pick chooses an upstream of the search service.
func (s *Schedule) pick() *backend.Server {
	return s.site.Upstream(fmt.Sprintf("%s-%d-%c", backend.SearchService, s.rng.IntN(20), 'a'+s.rng.IntN(2)))
}

// restart replaces the process of an upstream: its connections break and it is cold.
func restart(u *backend.Server) {
	u.Listener.Reset()
	u.Restart()
}

func (s *Schedule) setOut(name string, out bool) {
	if !out {
		s.forbid(name, false)
	}
	s.site.SetDomainExcluded(name, out)
	if out {
		s.forbid(name, true)
	}
}

func (s *Schedule) forbid(domain string, forbidden bool) {
	for _, u := range s.site.Upstreams() {
		if u.Domain == domain {
			u.SetExcluded(forbidden, outGrace)
		}
	}
}

func (s *Schedule) leave(u *backend.Server, leaving bool) {
	state := member.StateLive
	if leaving {
		state = member.StateLeaving
	}
	u.SetDraining(leaving, leaveGrace)
	s.site.SetState(u.Name(), state)
}
