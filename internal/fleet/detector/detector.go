// Package detector judges the other instances by whether calls to them are answered.
//
// Only an answered call counts, so that loss in one direction looks like loss in both. Suspicion has
// hysteresis, and a peer that flaps stays suspected for longer: each suspicion adds a penalty that decays
// by half in a fixed time, as in RFC 2439 (BGP route flap damping, 1998). Suspicion before removal is
// that of SWIM: Das, Gupta and Motivala, DSN 2002.
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
	suspectAfter  = 2 // failed calls in a row
	trustAfter    = 2 // answered calls in a row
	penaltyStep   = 1000.0
	penaltyCut    = 1500.0 // above it a peer stays suspected
	penaltyMost   = 4000.0
	penaltyHalved = 15 * time.Second
	leavingHold   = time.Minute
)

// Detector holds what is known of each peer. It is safe for concurrent use.
type Detector struct {
	mu    sync.Mutex
	peers map[string]*record
}

// Peer describes one peer, for operators.
type Peer struct {
	Name        string
	Revision    uint64
	LastSuccess time.Time // the last answered call; zero if there was none
	Suspected   bool
	Leaving     bool
}

type record struct {
	Peer
	left      time.Time
	failures  int
	answers   int
	penalty   float64
	penalized time.Time
}

// New makes an empty record.
func New() *Detector { return &Detector{peers: make(map[string]*record)} }

// RecordSuccess notes an answered call, the peer's revision, if known, and whether it said that it leaves.
func (c *Detector) RecordSuccess(peer string, revision uint64, leaving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	r := c.record(peer)
	r.LastSuccess = now
	r.Revision = max(r.Revision, revision)
	r.Leaving = leaving
	if leaving {
		r.left = now
	}
	r.failures = 0
	r.answers++
	if r.Suspected && r.answers >= trustAfter && r.decayed(now) <= penaltyCut {
		r.Suspected = false
	}
}

// RecordFailure notes a call that was not answered.
func (c *Detector) RecordFailure(peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	r := c.record(peer)
	fellAgain := r.Suspected && r.answers >= trustAfter
	r.answers = 0
	r.failures++
	if fellAgain || (!r.Suspected && r.failures >= suspectAfter) {
		r.Suspected = true
		r.penalty = min(r.decayed(now)+penaltyStep, penaltyMost)
		r.penalized = now
	}
}

// RecordLeaving notes that a peer said that it leaves.
func (c *Detector) RecordLeaving(peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.record(peer)
	r.Leaving = true
	r.left = time.Now()
}

// Avoided gives the names of the peers that are suspected or leaving, sorted.
func (c *Detector) Avoided() []string {
	return c.names(func(r *record, now time.Time) bool { return r.Suspected || r.isLeaving(now) })
}

// Suspected gives the names of the suspected peers, sorted.
func (c *Detector) Suspected() []string {
	return c.names(func(r *record, _ time.Time) bool { return r.Suspected })
}

// Leaving gives the names of the peers that said that they leave, sorted.
func (c *Detector) Leaving() []string {
	return c.names(func(r *record, now time.Time) bool { return r.isLeaving(now) })
}

// Peers describes all peers, sorted by name.
func (c *Detector) Peers() []Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]Peer, 0, len(c.peers))
	for _, r := range c.peers {
		p := r.Peer
		p.Leaving = r.isLeaving(time.Now())
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Retain forgets the peers for which listed is false.
func (c *Detector) Retain(listed func(peer string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.peers, func(name string, _ *record) bool { return !listed(name) })
}

func (c *Detector) names(has func(*record, time.Time) bool) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for name, r := range c.peers {
		if has(r, time.Now()) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (c *Detector) record(peer string) *record {
	r, ok := c.peers[peer]
	if !ok {
		r = &record{Peer: Peer{Name: peer}}
		c.peers[peer] = r
	}
	return r
}

// isLeaving holds a peer's word for a while, since the list lags behind it.
func (r *record) isLeaving(now time.Time) bool { return r.Leaving && now.Sub(r.left) < leavingHold }

func (r *record) decayed(now time.Time) float64 {
	return r.penalty * math.Exp2(-now.Sub(r.penalized).Seconds()/penaltyHalved.Seconds())
}
