package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"crocuswing/internal/fleet/member"
	"crocuswing/internal/fleet/view"
	"crocuswing/internal/index/shard"
	"crocuswing/internal/query/choice"
)

// Choose picks a replica of s that may get new work and is not in tried, and false if there is none.
func (d *Dispatcher) Choose(s shard.Shard, tried []string) (string, bool) {
	all := d.Candidates(make([]choice.Candidate, 0, len(s.Replicas)), s)
	all = slices.DeleteFunc(all, func(c choice.Candidate) bool { return slices.Contains(tried, c.Upstream) })
	i, ok := choice.Pick(all, choice.First, 0, rand.IntN)
	if !ok {
		return "", false
	}
	return all[i].Upstream, true
}

// Candidates appends what this instance knows of each replica of s to buf.
func (d *Dispatcher) Candidates(buf []choice.Candidate, s shard.Shard) []choice.Candidate {
	v := d.viewer.Current()
	now := time.Now()
	self, _ := v.Roster().Member(d.self)
	for _, name := range s.Replicas {
		buf = append(buf, d.candidate(v, self, name, now))
	}
	return buf
}

func (d *Dispatcher) candidate(v view.View, self member.Member, name string, now time.Time) choice.Candidate {
	c := choice.Candidate{Upstream: name, Load: -1, State: choice.StateBarred}
	t, ok := d.directory.Target(name)
	if !ok || !v.Permits(name) {
		return c
	}
	m, _ := v.Roster().Member(name)
	c.Distance = distance(self, m)
	c.Busy = t.Busy()
	c.Limit = t.Limit()
	c.Load, c.LoadAge = t.Report(now)
	switch {
	case !t.IsOpen(now):
		c.State = choice.StateShedding
	case t.IsCold():
		c.State = choice.StateCold
	default:
		c.State = choice.StateOpen
	}
	return c
}

func distance(self, m member.Member) choice.Distance {
	switch {
	case self.FailureDomain == m.FailureDomain:
		return choice.SameDomain
	case self.Region == m.Region:
		return choice.SameRegion
	}
	return choice.Elsewhere
}
