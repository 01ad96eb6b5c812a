// Package aggregator selects the instances of other regions that gather parts for this one, and calls them.
//
// The parts of shards without an upstream in this region would each cross to another region. An aggregator, an instance of a region that
// has upstreams of these shards, gathers the parts there and sends one merged answer. The runner asks for an aggregator for each request
// and falls back to its own attempts if there is none.
package aggregator

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"crocuswing/internal/fleet/membership"
	"crocuswing/internal/task/pause"

	"github.com/cespare/xxhash/v2"
)

const (
	// perRegion is the number of instances of each region that one instance asks, so that the number of connections between instances
	// does not grow with the square of the fleet.
	perRegion = 2
	// connectInterval is the time between two checks that the connections to them are open. It is below the time after which idle ones are
	// closed.
	connectInterval = 5 * time.Second
	connectTimeout  = time.Second
	// firstAvoidance and maxAvoidance are the first and the longest time for which an instance is not asked after it has not answered
	// in time. The time doubles with each further miss.
	firstAvoidance = time.Second
	maxAvoidance   = 16 * time.Second
	// refreshInterval is the time after which the selection of instances is computed again.
	refreshInterval = time.Second
)

// Members lists the other instances and calls them.
type Members interface {
	Members() []membership.Member
	Self() membership.Member
	Call(ctx context.Context, address, method string, request, reply any) error
	Connect(ctx context.Context, address string) error
}

// Selector selects aggregators. It is safe for concurrent use.
type Selector struct {
	members Members

	mu          sync.Mutex
	regions     map[string]string              // by failure domain
	selected    map[string][]membership.Member // by region
	refreshedAt time.Time
	avoided     map[string]avoidance // by address
}

// avoidance is the state of an instance that has not answered in time.
type avoidance struct {
	misses int
	until  time.Time
}

// InvalidReplyError reports a reply that does not fit its request.
type InvalidReplyError struct{ Asked, Answered, Proofs int }

// Error returns the numbers of shards and proofs.
func (e *InvalidReplyError) Error() string {
	return fmt.Sprintf("reply has %d parts and %d proofs for %d shards", e.Answered, e.Proofs, e.Asked)
}

// New returns a Selector for the instances of m. regions maps failure domains to their regions.
func New(m Members, regions map[string]string) *Selector {
	return &Selector{members: m, regions: regions, avoided: make(map[string]avoidance)}
}

// SetRegions replaces the regions of the failure domains.
func (s *Selector) SetRegions(regions map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.regions, s.refreshedAt = regions, time.Time{}
}

// Pick returns an instance of the region for the request with the given identifier, and false if none is known to answer. Requests are
// spread over the instances by hash.
func (s *Selector) Pick(region, requestID string) (membership.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.refreshedAt.IsZero() || now.Sub(s.refreshedAt) >= refreshInterval {
		s.refresh(now)
	}
	var buf [perRegion]membership.Member
	usable := buf[:0]
	for _, m := range s.selected[region] {
		if !now.Before(s.avoided[m.Address].until) {
			usable = append(usable, m)
		}
	}
	if len(usable) == 0 {
		return membership.Member{}, false
	}
	return usable[xxhash.Sum64String(requestID)%uint64(len(usable))], true
}

// Run keeps connections open to the selected instances until ctx ends, so that no request waits for one.
func (s *Selector) Run(ctx context.Context) {
	for {
		for _, m := range s.all() {
			connectCtx, cancel := context.WithTimeout(ctx, connectTimeout)
			_ = s.members.Connect(connectCtx, m.Address) // a request that needs the connection reports the error
			cancel()
		}
		if !pause.For(ctx, connectInterval) {
			return
		}
	}
}

// all returns the selected instances of all regions.
func (s *Selector) all() []membership.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(time.Now())
	var all []membership.Member
	for _, selected := range s.selected {
		all = append(all, selected...)
	}
	return all
}

// refresh selects, in each region, the instances with the highest rendezvous hashes for this instance.
func (s *Selector) refresh(now time.Time) {
	s.refreshedAt = now
	self := s.members.Self().Name
	s.selected = make(map[string][]membership.Member)
	known := make(map[string]bool)
	for _, m := range s.members.Members() {
		if region := s.regions[m.FailureDomain]; region != "" {
			s.selected[region] = append(s.selected[region], m)
			known[m.Address] = true
		}
	}
	for region, all := range s.selected {
		slices.SortFunc(all, func(a, b membership.Member) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(self+" "+a.Name), xxhash.Sum64String(self+" "+b.Name)), cmp.Compare(a.Name, b.Name))
		})
		s.selected[region] = all[:min(perRegion, len(all))]
	}
	for address := range s.avoided {
		if !known[address] {
			delete(s.avoided, address)
		}
	}
}

// Gather asks an instance for the parts of a request. It returns those that have arrived before the others are late. After
// *client.UnsentError and *client.RefusedError no upstream has received anything.
func (s *Selector) Gather(ctx context.Context, m membership.Member, q Request) (Reply, error) {
	var r Reply
	if err := s.members.Call(ctx, m.Address, Method, q, &r); err != nil {
		return Reply{}, err
	}
	return r, r.check(q.Shards)
}

// Rest asks the instance for the parts of the given shards that were late. It returns when they have arrived or have failed.
func (s *Selector) Rest(ctx context.Context, m membership.Member, id string, late Set) (Reply, error) {
	var r Reply
	if err := s.members.Call(ctx, m.Address, RestMethod, RestRequest{ID: id}, &r); err != nil {
		return Reply{}, err
	}
	return r, r.check(late)
}

// check returns *InvalidReplyError if the reply does not fit the shards that were asked for.
func (r Reply) check(asked Set) error {
	isSubset := true
	for n := range 8 * len(r.Answered) {
		isSubset = isSubset && (!r.Answered.Has(n) || asked.Has(n))
	}
	if !isSubset || r.Answered.Len() != len(r.Proofs) {
		return &InvalidReplyError{Asked: asked.Len(), Answered: r.Answered.Len(), Proofs: len(r.Proofs)}
	}
	return nil
}

// Answered records that the instance has answered in time.
func (s *Selector) Answered(m membership.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.avoided, m.Address)
}

// Missed records that the instance has refused or has not answered in time. It is not asked for a while.
func (s *Selector) Missed(m membership.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	a := s.avoided[m.Address]
	if now.Before(a.until) {
		return // asked before the current pause
	}
	a.until = now.Add(min(firstAvoidance<<min(a.misses, 8), maxAvoidance))
	a.misses++
	s.avoided[m.Address] = a
}
