package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"crocuswing/internal/fleet/member"
	"crocuswing/internal/fleet/view"
	"crocuswing/internal/index/shard"
	"crocuswing/internal/query/balancer"
)

// Choose returns a replica of s that may get new work and is not in excluded, and false if there is none.
func (d *Dispatcher) Choose(s shard.Shard, excluded []string) (string, bool) {
	all := d.Candidates(make([]balancer.Candidate, 0, len(s.Replicas)), s)
	all = slices.DeleteFunc(all, func(c balancer.Candidate) bool { return slices.Contains(excluded, c.Upstream) })
	i, ok := balancer.Pick(all, balancer.First, 0, rand.IntN)
	if !ok {
		return "", false
	}
	return all[i].Upstream, true
}

// Candidates appends the state of each replica of s, as known to this instance, to buf.
func (d *Dispatcher) Candidates(buf []balancer.Candidate, s shard.Shard) []balancer.Candidate {
	v := d.viewer.Current()
	now := time.Now()
	self, _ := v.Roster().Member(d.self)
	for _, name := range s.Replicas {
		buf = append(buf, d.candidate(v, self, name, now))
	}
	return buf
}

func (d *Dispatcher) candidate(v view.View, self member.Member, name string, now time.Time) balancer.Candidate {
	c := balancer.Candidate{Upstream: name, Load: -1, State: balancer.StateUnavailable}
	t, ok := d.directory.Target(name)
	if !ok || !v.AllowsUpstream(name) {
		return c
	}
	m, _ := v.Roster().Member(name)
	c.Distance = distance(self, m)
	c.Outstanding = t.Outstanding()
	c.Limit = t.Limit()
	c.Load, c.LoadAge = t.ReportedLoad(now)
	switch {
	case !t.IsAvailable(now):
		c.State = balancer.StateShedding
	case t.IsCold():
		c.State = balancer.StateCold
	default:
		c.State = balancer.StateAvailable
	}
	return c
}

func distance(self, m member.Member) balancer.Distance {
	switch {
	case self.FailureDomain == m.FailureDomain:
		return balancer.SameDomain
	case self.Region == m.Region:
		return balancer.SameRegion
	}
	return balancer.OtherRegion
}
