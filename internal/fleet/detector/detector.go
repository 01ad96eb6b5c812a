// Package detector is the failure detector for the other instances: it suspects peers that do not answer calls. The view excludes
// suspected peers from new work.
//
// Only an answered call counts as a success, so that loss in one direction has the same effect as loss in both. Suspicion has
// hysteresis, and a flapping peer stays suspected for longer: each suspicion adds a penalty that decays exponentially,
// as in RFC 2439 (BGP route flap damping, 1998). A peer is suspected before the platform removes it from the list, as in
// SWIM: Das, Gupta and Motivala, DSN 2002.
package detector

import (
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	suspectAfter    = 2 // consecutive failed calls
	trustAfter      = 2 // consecutive answered calls
	penaltyStep     = 1000.0
	reuseThreshold  = 1500.0 // a peer with a higher penalty stays suspected
	maxPenalty      = 4000.0
	penaltyHalfLife = 15 * time.Second
	leavingTimeout  = time.Minute // for which an announcement of leaving applies; the member list lags behind it
)

// Detector records the outcomes of calls to each peer. It is safe for concurrent use.
type Detector struct {
	mu    sync.Mutex
	peers map[string]*record
}

// Peer is the state of one peer as shown to operators.
type Peer struct {
	Name        string
	Revision    uint64
	LastSuccess time.Time // time of the last answered call; zero if there was none
	Suspected   bool
	Leaving     bool
}

type record struct {
	Peer
	leavingAt   time.Time
	failures    int
	successes   int
	penalty     float64
	penalizedAt time.Time
}

// New returns a detector without records.
func New() *Detector { return &Detector{peers: make(map[string]*record)} }

// RecordSuccess records an answered call, the peer's revision (0 if unknown), and whether the peer announced that it is leaving.
func (d *Detector) RecordSuccess(peer string, revision uint64, leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	r := d.record(peer)
	r.LastSuccess = now
	r.Revision = max(r.Revision, revision)
	r.Leaving = leaving
	if leaving {
		r.leavingAt = now
	}
	r.failures = 0
	r.successes++
	if r.Suspected && r.successes >= trustAfter && r.decayedPenalty(now) <= reuseThreshold {
		r.Suspected = false
	}
}

// RecordFailure records a call that was not answered.
func (d *Detector) RecordFailure(peer string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	r := d.record(peer)
	relapsed := r.Suspected && r.successes >= trustAfter
	r.successes = 0
	r.failures++
	if relapsed || (!r.Suspected && r.failures >= suspectAfter) {
		r.Suspected = true
		r.penalty = min(r.decayedPenalty(now)+penaltyStep, maxPenalty)
		r.penalizedAt = now
	}
}

// RecordLeaving records that a peer announced that it is leaving.
func (d *Detector) RecordLeaving(peer string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.record(peer)
	r.Leaving = true
	r.leavingAt = time.Now()
}

// Avoided returns the names of the peers that are suspected or leaving, sorted.
func (d *Detector) Avoided() []string {
	return d.namesWhere(func(r *record, now time.Time) bool { return r.Suspected || r.isLeaving(now) })
}

// Suspected returns the names of the suspected peers, sorted.
func (d *Detector) Suspected() []string {
	return d.namesWhere(func(r *record, _ time.Time) bool { return r.Suspected })
}

// Leaving returns the names of the peers that announced that they are leaving, sorted.
func (d *Detector) Leaving() []string {
	return d.namesWhere(func(r *record, now time.Time) bool { return r.isLeaving(now) })
}

// Peers returns the state of all peers, sorted by name.
func (d *Detector) Peers() []Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]Peer, 0, len(d.peers))
	for _, r := range d.peers {
		p := r.Peer
		p.Leaving = r.isLeaving(time.Now())
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Retain removes the records of the peers for which listed returns false.
func (d *Detector) Retain(listed func(peer string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.peers, func(name string, _ *record) bool { return !listed(name) })
}

func (d *Detector) namesWhere(match func(*record, time.Time) bool) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for name, r := range d.peers {
		if match(r, time.Now()) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (d *Detector) record(peer string) *record {
	r, ok := d.peers[peer]
	if !ok {
		r = &record{Peer: Peer{Name: peer}}
		d.peers[peer] = r
	}
	return r
}

// isLeaving reports whether the peer announced within leavingTimeout that it is leaving.
func (r *record) isLeaving(now time.Time) bool {
	return r.Leaving && now.Sub(r.leavingAt) < leavingTimeout
}

func (r *record) decayedPenalty(now time.Time) float64 {
	return r.penalty * math.Exp2(-now.Sub(r.penalizedAt).Seconds()/penaltyHalfLife.Seconds())
}
