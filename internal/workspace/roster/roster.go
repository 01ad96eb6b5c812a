// Package roster decides which instances lend the quota of a workspace, from what one instance knows of the fleet.
//
// The lenders are the first instances in the rendezvous order of the workspace (Thaler and Ravishankar, "A name-based mapping scheme for
// rendezvous", 1996). Views of the fleet differ for a while after each change. An instance therefore gives up lending as soon as it
// learns of one that precedes it, and begins only some time after it has learned that it is among the first. Instances that are gone are
// remembered: as long as it is not known whether they stopped or are cut off, the share of the fleet that is here lends only that share
// of the quota, so that the halves of a partitioned fleet together lend no more than the whole.
package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Handover is the time after which all instances are expected to know of a change: several rounds of the gossip.
	Handover = 15 * time.Second
	// memory is the time for which an instance that is gone is remembered. Longer partitions are repaired by hand.
	memory = 10 * time.Minute
	// heardTimeout is the time for which an instance counts as present after it has called this one. The gossip takes less to confirm it.
	heardTimeout = 30 * time.Second
	// maxGap is the longest time between two updates. Above it, the process was suspended: it may be counted as gone.
	maxGap = 3 * time.Second
	// The fleet counts as known if no instance was added for quietTime, at the earliest minAge after the start, or minAgeAlone if there
	// is no other one. The gossip makes a round each 300 ms after a start, and each 100 ms in a small fleet, which has shorter times.
	quietTime      = 900 * time.Millisecond
	minAge         = 1500 * time.Millisecond
	minAgeAlone    = 3 * time.Second
	smallFleet     = 64 // instances
	smallQuietTime = 700 * time.Millisecond
	smallMinAge    = time.Second
)

// Member is an instance.
type Member struct{ Name, Address string }

type entry struct {
	Member
	hash      uint64
	isPresent bool
	since     time.Time // when it appeared or vanished
	heardAt   time.Time // when it last called this instance; zero if never
}

// Roster is the view of the fleet that one instance has. It is not safe for concurrent use.
type Roster struct {
	self          entry
	others        map[string]*entry
	started       time.Time
	updatedAt     time.Time
	addedAt       time.Time // when an instance was last added
	settledAt     time.Time // when the fleet became known; zero if it is not
	establishedAt time.Time // from when this instance may lend; zero if it may not
	reported      int       // the largest number of instances that another one knew lately
	reportedAt    time.Time
	version       uint64
	// expectsOthers reports that the settings name other instances. One that reaches none of them is not known to be alone.
	expectsOthers bool
}

// New returns the Roster of the instance name that has just started.
func New(name string, now time.Time) *Roster {
	return &Roster{
		self:   entry{Member: Member{Name: name}, hash: xxhash.Sum64String(name), isPresent: true, since: now},
		others: make(map[string]*entry), started: now, updatedAt: now, addedAt: now,
	}
}

// ExpectOthers makes the instance wait for others before it takes itself for the whole fleet.
func (r *Roster) ExpectOthers() { r.expectsOthers = true }

// CheckSuspension reports whether this instance was suspended, by either clock. Then it knows neither the fleet nor what it has lent, as
// after a start.
func (r *Roster) CheckSuspension(now time.Time) bool {
	if now.Sub(r.updatedAt) <= maxGap && now.Round(0).Sub(r.updatedAt.Round(0)) <= maxGap {
		return false
	}
	r.started, r.addedAt, r.updatedAt = now, now, now
	r.settledAt, r.establishedAt = time.Time{}, time.Time{}
	r.version++
	return true
}

// Update sets the other instances that are running according to the gossip. It is called several times in maxGap.
func (r *Roster) Update(now time.Time, running []Member) {
	r.updatedAt = now
	isRunning := make(map[string]bool, len(running))
	for _, m := range running {
		isRunning[m.Name] = true
		r.add(now, m)
	}
	for name, e := range r.others {
		isPresent := isRunning[name] || (!e.heardAt.IsZero() && now.Sub(e.heardAt) < heardTimeout)
		switch {
		case e.isPresent && !isPresent:
			e.isPresent, e.since = false, now
			r.version++
		case !isPresent && now.Sub(e.since) > memory:
			delete(r.others, name)
			r.version++
		}
	}
	if now.Sub(r.reportedAt) > memory {
		r.reported = 0
	}
	r.settle(now)
}

// Heard records a call of another instance, which the gossip may not have made known yet.
func (r *Roster) Heard(now time.Time, m Member) {
	if m.Name == r.self.Name || m.Name == "" {
		return
	}
	r.add(now, m)
	r.others[m.Name].heardAt = now
}

// Reported records the number of instances that another one knows.
func (r *Roster) Reported(now time.Time, known int) {
	if known >= r.reported {
		r.reported, r.reportedAt = known, now
	}
}

func (r *Roster) add(now time.Time, m Member) {
	e, ok := r.others[m.Name]
	if !ok {
		e = &entry{hash: xxhash.Sum64String(m.Name)}
		r.others[m.Name] = e
	}
	if e.Member != m {
		e.Member = m
		r.version++
	}
	if !e.isPresent {
		e.isPresent, e.since, r.addedAt = true, now, now
		r.version++
	}
}

// settle decides whether the fleet is known.
func (r *Roster) settle(now time.Time) {
	age, quiet := minAge, quietTime
	switch {
	case len(r.others) == 0 && r.expectsOthers:
		age = memory
	case len(r.others) == 0:
		age = minAgeAlone
	case len(r.others) < smallFleet:
		age, quiet = smallMinAge, smallQuietTime
	}
	if r.settledAt.IsZero() && now.Sub(r.started) >= age && now.Sub(r.addedAt) >= quiet &&
		(r.Known() >= r.reported || now.Sub(r.started) >= Handover) {
		r.settledAt = now
		r.version++
	}
}

// IsSettled reports whether the fleet is known.
func (r *Roster) IsSettled() bool { return !r.settledAt.IsZero() }

// IsEstablished reports whether this instance may lend.
func (r *Roster) IsEstablished() bool { return !r.establishedAt.IsZero() }

// Establish lets this instance lend. It is called when all present instances know of it, or Handover after the fleet is known.
func (r *Roster) Establish(now time.Time) {
	r.establishedAt = now
	r.version++
}

// MustWait reports whether some instances may not know of this one yet, because too little time has passed.
func (r *Roster) MustWait(now time.Time) bool { return now.Sub(r.settledAt) < Handover }

// Version changes with each change of what the other methods return, apart from Share.
func (r *Roster) Version() uint64 { return r.version }

// Known returns the number of instances that run or did so lately, including this one.
func (r *Roster) Known() int { return len(r.others) + 1 }

// size returns the number by which shares are divided.
func (r *Roster) size() int { return max(r.Known(), r.reported) }

// Present returns the other instances that run.
func (r *Roster) Present() []Member {
	var present []Member
	for _, e := range r.others {
		if e.isPresent {
			present = append(present, e.Member)
		}
	}
	return present
}

// Share returns the share of the fleet that this instance can count on.
func (r *Roster) Share(now time.Time) float64 {
	n := 1
	for _, e := range r.others {
		if e.isPresent && (!e.since.After(r.settledAt) || now.Sub(e.since) >= Handover) {
			n++
		}
	}
	return float64(n) / float64(r.size())
}

// score orders the instances for a workspace by the finalizer of MurmurHash3.
func (e *entry) score(workspace uint64) uint64 {
	h := e.hash ^ workspace
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// precedes reports whether e comes before o in the order of a workspace.
func (e *entry) precedes(o *entry, workspace uint64) bool {
	return cmp.Or(cmp.Compare(e.score(workspace), o.score(workspace)), cmp.Compare(e.Name, o.Name)) < 0
}

// Hash returns the hash of a workspace's name for the other methods.
func Hash(workspace string) uint64 { return xxhash.Sum64String(workspace) }

// Lenders returns the n lenders of a workspace, this instance first if it is one, and the others in an order of this instance's own, so
// that the calls of all instances are spread over them.
func (r *Roster) Lenders(workspace uint64, n int) []Member {
	first := make([]*entry, 0, n+1)
	insert := func(e *entry) {
		i := len(first)
		for i > 0 && e.precedes(first[i-1], workspace) {
			i--
		}
		if i < n {
			first = slices.Insert(first, i, e)
			first = first[:min(n, len(first))]
		}
	}
	insert(&r.self)
	for _, e := range r.others {
		if e.isPresent {
			insert(e)
		}
	}
	own := workspace ^ r.self.hash
	slices.SortFunc(first, func(a, b *entry) int {
		switch {
		case a == &r.self:
			return -1
		case b == &r.self:
			return 1
		}
		return cmp.Compare(a.score(own), b.score(own))
	})
	lenders := make([]Member, len(first))
	for i, e := range first {
		lenders[i] = e.Member
	}
	return lenders
}

// LendingSince returns the time from which this instance is one of the n lenders of a workspace, which may be in the future, and false
// if it is none.
func (r *Roster) LendingSince(workspace uint64, n int) (time.Time, bool) {
	if !r.IsEstablished() {
		return time.Time{}, false
	}
	var vanished []time.Time // those of the instances that preceded this one
	present := 0
	for _, e := range r.others {
		switch {
		case !e.precedes(&r.self, workspace):
		case e.isPresent:
			present++
		default:
			vanished = append(vanished, e.since)
		}
	}
	if present >= n {
		return time.Time{}, false
	}
	since := r.establishedAt
	if needed := present + len(vanished) - n + 1; needed > 0 {
		slices.SortFunc(vanished, time.Time.Compare)
		since = latest(since, vanished[needed-1].Add(Handover))
	}
	return since, true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Reserve returns this instance's part of a reserve of total. Those of all instances sum to total.
func (r *Roster) Reserve(workspace uint64, total int) int {
	if !r.IsSettled() {
		return 0
	}
	position := 0
	for _, e := range r.others {
		if e.precedes(&r.self, workspace) {
			position++
		}
	}
	n := r.size()
	return total*(position+1)/n - total*position/n
}
