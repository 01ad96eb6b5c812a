package cluster

import (
	"math"
	"slices"
	"time"

	"crocuswing/internal/query/balancer"
	"crocuswing/internal/query/locality"
	"crocuswing/internal/stats/history"
)

const (
	// sizeWeight is the weight of the newest response in the mean size of bodies, which differs little between the requests of a service.
	sizeWeight = 0.05
	// groupFactorHalfLife is the age at which a work factor has half its weight in the expected work of a failure domain.
	groupFactorHalfLife = 150 * time.Millisecond
	// latencyRetention is the age above which a mean latency says nothing about the present one.
	latencyRetention = time.Second
	// overrideFactor is the ratio of costs above which the balancer's choice takes precedence over the shares. A lower one lets more requests
	// cross for small gains, a higher one makes requests wait when the demand jumps.
	overrideFactor = 2
	bytesPerKiB    = 1 << 10
	// fullRandom is the number of different random numbers from which a failure domain is drawn.
	fullRandom = 1 << 30
)

// WithoutShares returns an option that leaves all choices to the balancer, for comparisons.
func WithoutShares() Option { return func(c *Cluster) { c.withoutShares = true } }

// SetCrossing sets what it costs to leave the failure domain: the waiting that a crossing has to save for each KiB of a response, and the
// number of failure domains whose instances may send to the upstreams.
func (c *Cluster) SetCrossing(pricePerKiB time.Duration, domains int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pricePerKiB, c.domains = pricePerKiB, domains
}

// Leaving returns the share of requests that leaves the nearest failure domains, and false if it is not decided by reported loads.
func (c *Cluster) Leaving() (share float64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shares.Leaving(), c.reportsWorkFactors() && len(c.shares.All()) > 1
}

// Shares returns the shares of first attempts by failure domain.
func (c *Cluster) Shares() []locality.Share {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shares.All()
}

// recordSize adds the announced size of a response to the mean.
func (c *Cluster) recordSize(bytes int64) {
	switch {
	case bytes <= 0:
	case c.meanBytes == 0:
		c.meanBytes = float64(bytes)
	default:
		c.meanBytes += sizeWeight * (float64(bytes) - c.meanBytes)
	}
}

// reportsWorkFactors reports whether the replicas report loads with four figures: at least one does, and none without.
func (c *Cluster) reportsWorkFactors() bool {
	found := false
	for _, r := range c.replicas {
		if r.load >= 0 && r.workFactor <= 0 {
			return false
		}
		found = found || r.workFactor > 0
	}
	return found
}

// nextShares returns the shares of the failure domains at now, and false if the balancer alone decides: if upstreams report no work
// factors, or if there are fewer than two domains to which this instance keeps connections.
func (c *Cluster) nextShares(timing Timing, now time.Time) (locality.Shares, bool) {
	if c.withoutShares || !c.reportsWorkFactors() {
		return locality.Shares{}, false
	}
	if !c.shares.IsDue(now) {
		return c.shares, len(c.shares.All()) > 1
	}
	groups := c.groups(timing, now)
	if len(groups) < 2 {
		return locality.Shares{}, false
	}
	return c.shares.Next(groups, locality.Policy{Price: c.price(), Objective: timing.Objective, Domains: max(c.domains, len(groups))}, now), true
}

// price returns the waiting that a crossing has to save.
func (c *Cluster) price() time.Duration {
	return time.Duration(c.meanBytes / bytesPerKiB * float64(c.pricePerKiB))
}

// member collects what is known of the replicas of one failure domain.
type member struct {
	locality.Group
	reports []locality.Report
	factors float64 // sum of the work factors
	samples int     // number of replicas in the sum of the latencies
}

// groups returns the replicas by failure domain, without those to which this instance keeps no connection or that take no requests. It
// returns none while no latency is known.
func (c *Cluster) groups(timing Timing, now time.Time) []locality.Group {
	var members []*member
	usualWork := time.Duration(0)
	for _, r := range c.replicas {
		state := r.state(now, c.drainTime)
		if c.excluded[r.registration.FailureDomain] || r.transient || r.isDown(now) || state == balancer.StateUnavailable || state == balancer.StateLeaving {
			continue
		}
		path := timing.ExtraLatency[r.distance]
		i := slices.IndexFunc(members, func(m *member) bool { return m.Domain == r.registration.FailureDomain })
		if i < 0 {
			i = len(members)
			members = append(members, &member{Group: locality.Group{Domain: r.registration.FailureDomain, Distance: r.distance, Path: path, IsCold: true}})
		}
		work := members[i].add(r, c.history.Get(r.Name(), now), state, now)
		if work > 0 && (usualWork == 0 || work < usualWork) {
			usualWork = work
		}
	}
	if usualWork == 0 {
		return nil
	}
	groups := make([]locality.Group, len(members))
	for i, m := range members {
		m.Latency /= time.Duration(max(1, m.samples))
		m.Work = time.Duration(float64(usualWork) * m.factors / float64(len(m.reports)))
		groups[i] = m.WithReports(m.reports)
	}
	return groups
}

// add adds a replica and returns the duration of its work at the usual speed as far as its latency shows it, or 0 if there is none.
func (m *member) add(r *Replica, record history.Record, state balancer.State, now time.Time) (work time.Duration) {
	m.IsCold = m.IsCold && state == balancer.StateCold
	m.reports = append(m.reports, locality.Report{Slots: r.slotCount(), Load: r.load, Age: now.Sub(r.loadAt)})
	m.factors += r.agedFactor(now)
	latency := record.Latency - m.Path
	if record.Latency == 0 || latency <= 0 {
		return 0
	}
	if record.SampleAge < latencyRetention {
		m.Latency += latency
		m.samples++
	}
	return time.Duration(float64(latency) / max(r.meanFactor, 1))
}

// slotCount returns the number of slots that the upstream reported or registered, at least 1.
func (r *Replica) slotCount() float64 {
	if r.slots >= 1 {
		return r.slots
	}
	return float64(max(1, r.registration.Slots))
}

// agedFactor returns the reported work factor, which approaches 1 with the age of the report.
func (l *reportedLoad) agedFactor(now time.Time) float64 {
	if l.workFactor <= 0 {
		return 1
	}
	return 1 + (l.workFactor-1)*math.Exp2(-float64(now.Sub(l.loadAt))/float64(groupFactorHalfLife))
}

// pickByShare returns the index of the replica for a first attempt in the failure domain that the shares give. It returns false if the
// shares are not in force, or if the replica has not answered an attempt for longer than usual.
func (ch *choice) pickByShare(p balancer.Purpose, intn func(int) int) (int, bool) {
	if p != balancer.First || !ch.hasShares {
		return 0, false
	}
	var domainBuf [8]string
	domains := domainBuf[:0]
	for i := range ch.candidates {
		if domain := ch.replicas[i].registration.FailureDomain; ch.isOrdinary(i) && !slices.Contains(domains, domain) {
			domains = append(domains, domain)
		}
	}
	drawn, ok := ch.shares.Draw(domains, float64(intn(fullRandom))/fullRandom)
	if !ok {
		return 0, false
	}
	var candidateBuf [8]balancer.Candidate
	var indexBuf [8]int
	candidates, indexes := candidateBuf[:0], indexBuf[:0]
	for i := range ch.candidates {
		if ch.replicas[i].registration.FailureDomain == domains[drawn] && ch.isOrdinary(i) {
			candidates, indexes = append(candidates, ch.candidates[i]), append(indexes, i)
		}
	}
	i, ok := balancer.Pick(candidates, p, ch.suspectAfter, intn)
	if !ok {
		return 0, false
	}
	if other, _ := balancer.Pick(ch.candidates, p, ch.suspectAfter, intn); ch.isMuchBetter(other, indexes[i]) {
		return other, true
	}
	return indexes[i], true
}

// isMuchBetter reports whether the replica at index a should take the request in place of that at index b, which the shares give. The
// shares follow reports; the cost also has what this instance knows at once, such as its own attempts in flight.
func (ch *choice) isMuchBetter(a, b int) bool {
	from, to := ch.replicas[b], ch.replicas[a]
	cost := float64(ch.candidates[a].Cost())
	if to.registration.FailureDomain != from.registration.FailureDomain && to.distance > balancer.SameDomain {
		cost += float64(ch.price)
	}
	return float64(ch.candidates[b].Cost()) > overrideFactor*cost
}

// isOrdinary reports whether the replica can take a first attempt and ranks with the best.
func (ch *choice) isOrdinary(i int) bool {
	return ch.candidates[i].IsEligible(balancer.First, ch.suspectAfter) && ch.candidates[i].Rank(ch.suspectAfter) == 0
}
