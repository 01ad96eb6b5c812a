package membership

import (
	"time"

	"crocuswing/internal/fleet/share"

	"go.uber.org/zap"
)

const (
	// startupSeeds is the number of seeds that an instance calls in each round until it knows the fleet, so that one that is down delays
	// nothing.
	startupSeeds = 3
	// quietTime is the time without a new member after which instances that have started together know the fleet. Each of them calls seeds
	// at least twice in it.
	quietTime = time.Second
	// smallQuietTime replaces quietTime in a small fleet, whose rounds are shorter.
	smallQuietTime = 700 * time.Millisecond
	// loneSeedTime replaces quietTime for an instance that is the only seed and has to wait until others call it.
	loneSeedTime = 2 * gossipInterval
	// spreadTime is the time for which a new member is sent before others, at startupInterval. A fleet of 300 knows it after 3 s.
	spreadTime = 4 * time.Second
	// joinTime is the time after which all instances have counted a new one.
	joinTime = 6 * time.Second
	// aloneTimeout is the time after which an instance that no other one answers counts itself alone. It is longer than minFailureTimeout and
	// one round of propagation, after which others would no longer count it either.
	aloneTimeout = minFailureTimeout + propagationFactor*gossipInterval
	// pauseLimit is longer than any round. An instance that was suspended for longer may have missed that others have joined.
	pauseLimit = 10 * time.Second
)

// knowledge is whether this instance knows all others. One that knows only some of them would take too large shares, and those of all that
// have just started would add up to more than the limits. It knows the fleet
//
//   - if an instance that knows it, and has sent all members, has counted this one for joinTime: an instance that has restarted,
//   - or has met such an instance joinTime ago, so that all others count this one: a new instance,
//   - or, if no instance knows the fleet, has learnt of no new member for quietTime: all instances have started together,
//   - or has met nobody for aloneTimeout.
//
// It does not know the fleet at its start, and again after it was suspended.
type knowledge struct {
	known      bool
	digest     uint64 // of the names of this instance and of the members that have not failed
	reported   uint64 // digest of the division reported last; 0 for none
	startedAt  time.Time
	roundAt    time.Time // start of the last round
	grownAt    time.Time // when a member was last added
	contacted  bool      // another instance has answered or called
	metAt      time.Time // when this instance met the first one that knows the fleet
	fleetSize  int       // number of instances that such a one has stated last
	hasVouched bool      // such a one has counted this instance
}

// beginRound detects that this instance was suspended, by the wall clock where the monotonic one stood still.
func (ms *Membership) beginRound(now time.Time) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	gap := max(now.Sub(ms.roundAt), now.Round(0).Sub(ms.roundAt.Round(0)))
	switch {
	case ms.roundAt.IsZero():
		ms.startedAt = now
	case gap > pauseLimit:
		ms.log.Warn("instance was suspended and takes no shares until it knows the fleet", zap.Duration("for", gap), zap.Int("instances", ms.size))
		ms.knowledge = knowledge{digest: ms.digest, reported: ms.reported, startedAt: now}
		for _, m := range ms.members {
			m.lastHeartbeat = m.lastHeartbeat.Add(now.Sub(ms.roundAt)) // heartbeats were not missing meanwhile, but not seen
			m.addedAt = now
		}
	}
	ms.roundAt = now
}

// wantsAll reports whether the call to the i-th target of a round asks for all members.
func (ms *Membership) wantsAll(round, i int) bool {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return !ms.known && (round == 0 || i == 0)
}

// isCounted reports whether this instance knows the fleet and all that do have counted the named one.
func (ms *Membership) isCounted(name string, now time.Time) bool {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	m, ok := ms.members[name]
	return ms.known && ok && !m.failed && (m.startedTogether || now.Sub(m.addedAt) >= joinTime)
}

// learn records what the message of another instance says about the fleet.
func (ms *Membership) learn(msg Message, now time.Time) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.contacted = true
	if len(msg.Members) > 0 {
		if m, ok := ms.members[msg.Members[0].Name]; ok {
			m.knowsFleet = msg.Known
		}
	}
	if ms.known || !msg.Known {
		return
	}
	if ms.metAt.IsZero() {
		ms.metAt = now
	}
	ms.fleetSize = msg.Size
	ms.hasVouched = ms.hasVouched || msg.Counted
}

// update applies what is due at this time and reports a changed division.
func (ms *Membership) update(now time.Time) {
	ms.reporting.Lock()
	defer ms.reporting.Unlock()
	division, changed := ms.nextDivision(now)
	if changed {
		ms.onFleetChange(division)
	}
}

// nextDivision returns the division to report, and whether it differs from the one reported last.
func (ms *Membership) nextDivision(now time.Time) (*share.Division, bool) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.expire(now)
	if size := len(ms.runningMembers()) + 1; size != ms.size {
		ms.size = size
		ms.log.Info("number of instances", zap.Int("instances", size), zap.Bool("known", ms.known))
	}
	ms.settle(now)
	switch {
	case !ms.known && ms.reported != 0:
		ms.reported = 0
		return nil, true
	case ms.known && ms.reported != ms.digest:
		ms.reported = ms.digest
		var names []string
		for _, m := range ms.runningMembers() {
			names = append(names, m.Name)
		}
		return share.New(ms.self.Name, names), true
	}
	return nil, false
}

// settle decides whether this instance knows the fleet from now on.
func (ms *Membership) settle(now time.Time) {
	if ms.known || ms.startedAt.IsZero() {
		return
	}
	isComplete := ms.size >= ms.fleetSize
	quietSince := ms.startedAt
	if ms.grownAt.After(quietSince) {
		quietSince = ms.grownAt
	}
	var reason string
	switch {
	case now.Sub(ms.startedAt) >= aloneTimeout:
		reason = "time is up"
	case ms.hasVouched && isComplete:
		reason = "counted by an instance that knows the fleet"
	case !ms.metAt.IsZero():
		if isComplete && now.Sub(ms.metAt) >= joinTime {
			reason = "joined"
		}
	case now.Sub(quietSince) >= ms.requiredQuiet():
		reason = "started together"
		for _, m := range ms.members {
			m.startedTogether = true
		}
	}
	if reason != "" {
		ms.known = true
		ms.log.Info("fleet is known", zap.String("reason", reason), zap.Int("instances", ms.size), zap.Int("stated-size", ms.fleetSize),
			zap.Duration("after", now.Sub(ms.startedAt)))
	}
}

// requiredQuiet returns the time without a new member after which this instance knows the fleet if it has met none that does.
func (ms *Membership) requiredQuiet() time.Duration {
	hasOtherSeed := false
	for _, seed := range ms.seeds {
		hasOtherSeed = hasOtherSeed || seed != ms.self.Address
	}
	switch {
	case (ms.contacted || len(ms.seeds) == 0) && ms.isSmall():
		return smallQuietTime
	case ms.contacted || len(ms.seeds) == 0:
		return quietTime
	case hasOtherSeed:
		return aloneTimeout
	}
	return loneSeedTime
}
