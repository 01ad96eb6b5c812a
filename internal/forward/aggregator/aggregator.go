// Package aggregator selects the instances that gather parts for this one, the aggregators, and calls them.
//
// It addresses thin traffic: where the upstreams accept fewer connections than there are instances, each instance would send so little to
// each upstream that connections go idle and faults are noticed late. There, few instances of each region keep the connections, and the
// others hand the shards of their requests to one of them. It also saves crossings between regions: the parts of shards without an
// upstream in this region are gathered by an instance of a region that has some, which sends one merged answer. The runner asks for an
// aggregator for each request and falls back to its own attempts if there is none.
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
	"go.uber.org/zap"
)

const (
	// perRegion is the number of instances of each region that one instance asks where the gathering is not concentrated, so that the number
	// of connections between instances does not grow with the square of the fleet.
	perRegion = 2
	// connectInterval is the time between two checks that the connections to them are open. It is below the time after which idle ones are
	// closed.
	connectInterval = 5 * time.Second
	connectTimeout  = time.Second
	// firstAvoidance and maxAvoidance are the first and the longest time for which an instance is not asked after it has not answered
	// in time. The time doubles with each further miss.
	firstAvoidance = time.Second
	maxAvoidance   = 16 * time.Second
	// refusalPause is the time for which an instance is not asked after it has refused. Most reasons pass soon: it has no room, or does not
	// know the newest revision yet.
	refusalPause = 200 * time.Millisecond
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
	members     Members
	connections func() float64
	onSelection func(count int, isSelf bool)
	log         *zap.Logger

	mu           sync.Mutex
	regions      map[string]string              // by failure domain
	candidates   map[string][]membership.Member // by region, those that this instance asks
	concentrated selection                      // count is 0 while each instance gathers for itself
	isSelf       bool                           // this instance is one of the concentrated selection
	refreshedAt  time.Time
	avoided      map[string]avoidance // by address
	inFlight     map[string]int       // calls of this instance by address
}

// Option configures a Selector.
type Option func(*Selector)

// WithConcentration returns an option that concentrates the gathering on few instances where the upstreams accept fewer connections than
// there are instances. connections returns the number that instances may open to each upstream of a gathered service, or 0 if it is
// unknown. onSelection is called with the number of aggregators, 0 while each instance gathers for itself, and whether this one is among
// them, when either has changed.
func WithConcentration(connections func() float64, onSelection func(count int, isSelf bool), log *zap.Logger) Option {
	return func(s *Selector) { s.connections, s.onSelection, s.log = connections, onSelection, log }
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
func New(m Members, regions map[string]string, options ...Option) *Selector {
	s := &Selector{
		members: m, regions: regions, avoided: make(map[string]avoidance), inFlight: make(map[string]int), log: zap.NewNop(),
		connections: func() float64 { return 0 }, onSelection: func(int, bool) {},
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// SetRegions replaces the regions of the failure domains.
func (s *Selector) SetRegions(regions map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.regions, s.refreshedAt = regions, time.Time{}
}

// GathersItself reports whether this instance gathers the parts of its own requests: every instance does unless the gathering is
// concentrated on few, and these do in any case.
func (s *Selector) GathersItself() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refreshIfOld(time.Now())
	return s.concentrated.count == 0 || s.isSelf
}

// Concentration returns the number of aggregators on which the gathering is concentrated, 0 if on none, and whether this instance is one.
func (s *Selector) Concentration() (count int, isSelf bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.concentrated.count, s.isSelf
}

// RegionAggregators returns the names of the aggregators of this instance's region, sorted, including its own if it is one. There are
// none while each instance gathers for itself.
func (s *Selector) RegionAggregators() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refreshIfOld(time.Now())
	names := []string{}
	for _, m := range s.concentrated.byRegion[s.regions[s.members.Self().FailureDomain]] {
		names = append(names, m.Name)
	}
	slices.Sort(names)
	return names
}

// Pick returns an instance of the region for the request with the given identifier, and false if none is known to answer. Of two that
// are chosen by the hash of the identifier, it returns the one with fewer calls in flight. The instances named in tried are left out.
func (s *Selector) Pick(region, requestID string, tried ...string) (membership.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.refreshIfOld(now)
	var buf [8]membership.Member
	usable := buf[:0]
	for _, m := range s.candidates[region] {
		if !now.Before(s.avoided[m.Address].until) && !slices.Contains(tried, m.Name) {
			usable = append(usable, m)
		}
	}
	if len(usable) == 0 {
		return membership.Member{}, false
	}
	hash := xxhash.Sum64String(requestID)
	n := uint64(len(usable))
	first := usable[hash%n]
	if n == 1 {
		return first, true
	}
	second := usable[(hash%n+1+(hash>>32)%(n-1))%n]
	if s.inFlight[second.Address] < s.inFlight[first.Address] {
		return second, true
	}
	return first, true
}

// Run keeps the selection up to date, and connections open to the selected instances, until ctx ends, so that no request waits for one.
func (s *Selector) Run(ctx context.Context) {
	var connectedAt time.Time
	for {
		all := s.all()
		if now := time.Now(); connectedAt.IsZero() || now.Sub(connectedAt) >= connectInterval {
			connectedAt = now
			s.connect(ctx, all)
		}
		if !pause.For(ctx, refreshInterval) {
			return
		}
	}
}

// connect opens connections to the instances.
func (s *Selector) connect(ctx context.Context, all []membership.Member) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, m := range all {
		wg.Go(func() { _ = s.members.Connect(ctx, m.Address) }) // a request that needs the connection reports the error
	}
	wg.Wait()
}

// all refreshes the selection and returns the instances that this one may ask.
func (s *Selector) all() []membership.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(time.Now())
	var all []membership.Member
	for _, candidates := range s.candidates {
		all = append(all, candidates...)
	}
	return all
}

func (s *Selector) refreshIfOld(now time.Time) {
	if s.refreshedAt.IsZero() || now.Sub(s.refreshedAt) >= 2*refreshInterval {
		s.refresh(now) // Run does not do it, or is late
	}
}

// refresh computes the selection and the instances that this one asks: the aggregators where the gathering is concentrated, and otherwise,
// in each region, the instances with the highest rendezvous hashes for this instance.
func (s *Selector) refresh(now time.Time) {
	s.refreshedAt = now
	self, others := s.members.Self(), s.members.Members()
	s.concentrate(self, others)
	s.candidates = make(map[string][]membership.Member)
	known := make(map[string]bool)
	for _, m := range others {
		if region := s.regions[m.FailureDomain]; region != "" {
			s.candidates[region] = append(s.candidates[region], m)
			known[m.Address] = true
		}
	}
	for region, all := range s.candidates {
		if s.concentrated.count > 0 {
			s.candidates[region] = slices.DeleteFunc(slices.Clone(s.concentrated.byRegion[region]), func(m membership.Member) bool { return m.Name == self.Name })
			continue
		}
		slices.SortFunc(all, func(a, b membership.Member) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(self.Name+" "+a.Name), xxhash.Sum64String(self.Name+" "+b.Name)), cmp.Compare(a.Name, b.Name))
		})
		s.candidates[region] = all[:min(perRegion, len(all))]
	}
	for address := range s.avoided {
		if !known[address] {
			delete(s.avoided, address)
		}
	}
}

// concentrate selects the aggregators if an upstream accepts fewer connections than there are instances, and reports a change.
func (s *Selector) concentrate(self membership.Member, others []membership.Member) {
	former, wasSelf := s.concentrated, s.isSelf
	connections := s.connections()
	s.concentrated, s.isSelf = selection{}, false
	if connections > 0 && connections < float64(len(others)+1) {
		s.concentrated = newSelection(append(others[:len(others):len(others)], self), s.regions, connections)
		s.isSelf = s.concentrated.contains(self.Name)
	}
	if s.concentrated.equal(former) {
		return
	}
	s.log.Info("aggregators selected", zap.Int("instances", len(others)+1), zap.Float64("connections", connections),
		zap.Strings("aggregators", s.concentrated.names()), zap.Bool("self", s.isSelf))
	if s.concentrated.count != former.count || s.isSelf != wasSelf {
		s.onSelection(s.concentrated.count, s.isSelf)
	}
}

// Gather asks an instance for the parts of a request. It returns those that have arrived before the others are late. After
// *client.UnsentError and *client.RefusedError no upstream has received anything.
func (s *Selector) Gather(ctx context.Context, m membership.Member, q Request) (Reply, error) {
	return s.call(ctx, m, Method, q, q.Shards)
}

// Rest asks the instance for the parts of the given shards that were late. It returns when they have arrived or have failed, or when q
// says that the reply is due. After *client.UnsentError and *client.RefusedError the instance has not accepted the grant.
func (s *Selector) Rest(ctx context.Context, m membership.Member, q RestRequest, late Set) (Reply, error) {
	return s.call(ctx, m, RestMethod, q, late)
}

func (s *Selector) call(ctx context.Context, m membership.Member, method string, q any, asked Set) (Reply, error) {
	s.addInFlight(m.Address, 1)
	defer s.addInFlight(m.Address, -1)
	var r Reply
	if err := s.members.Call(ctx, m.Address, method, q, &r); err != nil {
		return Reply{}, err
	}
	return r, r.check(asked)
}

func (s *Selector) addInFlight(address string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight[address] += n; s.inFlight[address] == 0 {
		delete(s.inFlight, address)
	}
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

// Missed records that the instance has not answered in time or cannot be reached. It is not asked for a while.
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

// Refused records that the instance has refused a request. It is not asked for a moment, since other requests would be refused too.
func (s *Selector) Refused(m membership.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.avoided[m.Address]
	if until := time.Now().Add(refusalPause); until.After(a.until) {
		a.until = until
	}
	s.avoided[m.Address] = a
}
