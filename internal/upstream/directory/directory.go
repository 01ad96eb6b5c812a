// Package directory keeps the target of every upstream in the current view, and the connections to those upstreams of
// which this instance is a home. Package dispatch looks up both for each attempt; a new view updates the directory.
package directory

import (
	"context"
	"slices"
	"sync"
	"time"

	"crocuswing/internal/config/service"
	"crocuswing/internal/fleet/member"
	"crocuswing/internal/fleet/roster"
	"crocuswing/internal/fleet/view"
	"crocuswing/internal/upstream/contract"
	"crocuswing/internal/upstream/home"
	"crocuswing/internal/upstream/registry"
	"crocuswing/internal/upstream/signal"
	"crocuswing/internal/upstream/target"
	"crocuswing/internal/upstream/warmup"
	"crocuswing/internal/wire/order"
	"crocuswing/internal/wire/part"
)

// Link sends attempts to one upstream over a limited number of connections.
type Link interface {
	// Part requests the part of one shard. It fails with *failure.Failure.
	Part(ctx context.Context, q part.Request) (part.Reply, signal.Signal, error)
	// Order sends one order. It fails with *failure.Failure.
	Order(ctx context.Context, q order.Request) (order.Reply, signal.Signal, error)
	// SetMaxConnections changes the maximum number of connections.
	SetMaxConnections(n int)
	// SetDraining sets whether new requests are refused; requests in flight finish in any case.
	SetDraining(draining bool)
	// Close closes the connections; a connection in use is closed when its request ends.
	Close()
}

// Opener opens a link to one upstream with at most the given number of connections. The link calls onLost each time
// the upstream is the first to close a connection.
type Opener func(name, address string, connections int, onLost func()) Link

// Directory maps the names of upstreams to their targets and links. It is safe for concurrent use.
type Directory struct {
	self string
	open Opener

	updateMu     sync.Mutex    // held by Update, the only writer of the fields below
	configDigest string        // of the configuration from which the contracts were read
	roster       roster.Roster // of the last update
	generation   int           // number of times that the contracts were read
	configured   []*entry

	mu      sync.RWMutex // held by Update only for single steps, so that it does not delay attempts
	ranking *home.Ranking
	entries map[string]*entry
}

// entry is an upstream that the configuration names.
type entry struct {
	*target.Target // nil until the upstream is in the membership list
	name           string
	contract       contract.Contract
	generation     int // last generation of contracts that named the upstream
	inputs         roleInputs
	link           Link // nil unless this instance is a home
	connections    int
}

// roleInputs is everything that the role of this instance for an upstream depends on.
type roleInputs struct {
	member   member.Member
	contract contract.Contract
	group    *home.Group
	homes    int
	admitted bool
}

// Option configures a Directory.
type Option func(*Directory)

// WithOpener returns an option that sets the function that opens links.
func WithOpener(o Opener) Option {
	return func(d *Directory) { d.open = o }
}

// New returns an empty directory for the instance named self.
func New(self string, options ...Option) *Directory {
	links := registry.New()
	openLink := func(name, address string, connections int, onLost func()) Link {
		return links.Open(name, address, connections, onLost)
	}
	d := &Directory{self: self, open: openLink, ranking: home.New(nil), entries: make(map[string]*entry)}
	for _, o := range options {
		o(d)
	}
	return d
}

// Target returns the target of an upstream, and false if the upstream is not in the view.
func (d *Directory) Target(upstream string) (*target.Target, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	e, ok := d.entries[upstream]
	if !ok || e.Target == nil {
		return nil, false
	}
	return e.Target, true
}

// Link returns the link to an upstream, and false if this instance is not a home of it.
func (d *Directory) Link(upstream string) (Link, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	e, ok := d.entries[upstream]
	if !ok || e.link == nil {
		return nil, false
	}
	return e.link, true
}

// Ranking returns the ranking of instances under the view of the last update.
func (d *Directory) Ranking() *home.Ranking {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.ranking
}

// Targets returns the targets of all upstreams in the view.
func (d *Directory) Targets() []*target.Target {
	d.mu.RLock()
	defer d.mu.RUnlock()
	all := make([]*target.Target, 0, len(d.entries))
	for _, e := range d.entries {
		if e.Target != nil {
			all = append(all, e.Target)
		}
	}
	return all
}

// Summary sums up the upstreams of which this instance is a home.
type Summary struct {
	// Homes is the number of these upstreams.
	Homes int
	// Cold and Unproven count the upstreams in these warm-up phases.
	Cold, Unproven int
	// InFlight and Waiting count the requests in flight to these upstreams and those that wait for a slot.
	InFlight, Waiting int
}

// Summary returns the current summary.
func (d *Directory) Summary() Summary {
	d.mu.RLock()
	defer d.mu.RUnlock()
	now := time.Now()
	var s Summary
	for _, e := range d.entries {
		if e.link == nil {
			continue
		}
		s.Homes++
		switch e.Phase(now) {
		case warmup.Cold:
			s.Cold++
		case warmup.Unproven:
			s.Unproven++
		case warmup.Warm:
		}
		inFlight, waiting := e.Requests()
		s.InFlight += inFlight
		s.Waiting += waiting
	}
	return s
}

// Update adds the upstreams that v names, removes the others, and sets the role and the limits of this instance for
// each of them. It skips lookups for upstreams that did not change since the last update.
func (d *Directory) Update(v view.View) {
	d.updateMu.Lock()
	defer d.updateMu.Unlock()
	isNewConfig := d.configured == nil || d.configDigest != v.Config().Digest()
	previous := d.roster
	isNewList := previous.Version() != v.Roster().Version()
	if isNewConfig {
		d.configure(v.Config().Services())
		d.configDigest = v.Config().Digest()
	}
	old := d.Ranking()
	next := old.WithCandidates(candidates(v))
	d.withLock(func() { d.ranking = next })
	d.roster = v.Roster()
	if isNewList && !isNewConfig && next == old {
		d.updateChanged(v, previous)
		return
	}
	for _, e := range d.configured {
		m, ok := e.inputs.member, !isNewList && e.Target != nil
		if !ok {
			m, ok = v.Roster().Member(e.name)
		}
		if ok {
			d.updateEntry(e, m, v.AllowsMember(m))
		}
	}
}

// updateChanged updates the upstreams whose membership differs from the previous list. The configuration and the
// ranking of instances must be unchanged.
func (d *Directory) updateChanged(v view.View, previous roster.Roster) {
	for name := range v.Roster().ChangedUpstreams(previous) {
		e, isConfigured := d.entries[name]
		m, isListed := v.Roster().Member(name)
		if isConfigured && isListed {
			d.updateEntry(e, m, v.AllowsMember(m))
		}
	}
}

// configure replaces the set of upstreams and their contracts.
func (d *Directory) configure(services []service.Service) {
	d.generation++
	before := len(d.entries)
	kept := 0
	for _, s := range services {
		for _, l := range s.Layouts {
			for _, sh := range l.Shards {
				for _, upstream := range sh.Replicas {
					kept += d.configureUpstream(upstream, s.Contract)
				}
			}
		}
	}
	if kept < before {
		d.removeUnconfigured()
	}
}

// configureUpstream sets the contract of one upstream. It returns 1 the first time in a generation that it sees an
// upstream of the previous generation, and 0 otherwise.
func (d *Directory) configureUpstream(upstream string, c contract.Contract) int {
	e, ok := d.entries[upstream]
	if !ok {
		e = &entry{name: upstream, contract: c, generation: d.generation}
		d.withLock(func() { d.entries[upstream] = e })
		d.configured = append(d.configured, e)
		return 0
	}
	e.contract = c
	if e.generation == d.generation {
		return 0 // counted before, or new in this generation
	}
	e.generation = d.generation
	return 1
}

// removeUnconfigured removes the upstreams that the current configuration does not name.
func (d *Directory) removeUnconfigured() {
	d.configured = slices.DeleteFunc(d.configured, func(e *entry) bool {
		if e.generation == d.generation {
			return false
		}
		d.withLock(func() { delete(d.entries, e.name) })
		shutDown(e.Target, e.link)
		return true
	})
}

// withLock runs one step of an update while it holds d.mu.
func (d *Directory) withLock(step func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	step()
}

// candidates returns the instances that may be homes: those that are not leaving and whose failure domain is not excluded.
// If there are none, it returns those in excluded failure domains, and failing that those that are leaving, so that
// requests in progress can finish.
func candidates(v view.View) []home.Candidate {
	var eligible, excluded, leaving []home.Candidate
	for _, m := range v.Roster().OfKind(member.KindInstance) {
		c := home.Candidate{Name: m.Name, Location: home.Location{FailureDomain: m.FailureDomain, Region: m.Region}}
		switch {
		case m.State == member.StateLeaving || v.IsLeaving(m.Name):
			leaving = append(leaving, c)
		case v.Config().IsDomainExcluded(m.FailureDomain):
			excluded = append(excluded, c)
		default:
			eligible = append(eligible, c)
		}
	}
	switch {
	case len(eligible) > 0:
		return eligible
	case len(excluded) > 0:
		return excluded
	}
	return leaving
}

// updateEntry updates the entry of one upstream; admitted is set if the view admits new work to it.
func (d *Directory) updateEntry(e *entry, m member.Member, admitted bool) {
	location := home.Location{FailureDomain: m.FailureDomain, Region: m.Region}
	next := roleInputs{
		member:   m,
		contract: e.contract,
		group:    d.ranking.Group(location),
		homes:    e.contract.HomeCount(d.ranking.Len()),
		admitted: admitted,
	}
	if next != e.inputs {
		d.applyInputs(e, next, location)
	}
	if m.State != member.StateLive {
		e.ApplyMembership(m.State == member.StateLeaving, m.State == member.StateCold)
	}
}

// applyInputs sets the target, the link and the role of the entry according to next.
func (d *Directory) applyInputs(e *entry, next roleInputs, location home.Location) {
	old := e.inputs
	e.inputs = next
	if e.Target == nil || old.contract != next.contract || e.Location() != location || old.member.Address != next.member.Address {
		oldTarget, oldLink := e.Target, e.link
		d.withLock(func() {
			e.Target, e.link, e.connections = target.New(e.name, next.contract, location), nil, 0
		})
		shutDown(oldTarget, oldLink)
	}
	role, connections := d.role(e.Target, next)
	if connections != e.connections {
		d.setConnections(e, connections)
	}
	if e.link != nil {
		e.link.SetDraining(!next.admitted)
	}
	e.SetRole(role)
}

// setConnections opens the link, changes its maximum number of connections, or closes it.
func (d *Directory) setConnections(e *entry, connections int) {
	old, next := e.link, e.link
	switch {
	case connections == 0:
		next = nil
	case old == nil:
		next = d.open(e.name, e.inputs.member.Address, connections, e.MarkUnproven)
	default:
		old.SetMaxConnections(connections)
	}
	d.withLock(func() { e.link, e.connections = next, connections })
	if old != nil && next == nil {
		old.Close()
	}
}

// role returns the role of this instance and its maximum number of connections, which is 0 if it is not a home.
func (d *Directory) role(t *target.Target, inputs roleInputs) (target.Role, int) {
	if !inputs.group.CanBeHome(d.self, inputs.homes) {
		return target.Role{}, 0
	}
	homes := t.Homes(d.ranking)
	for rank, name := range homes {
		if name == d.self {
			maxInFlight := inputs.contract.SlotShare(rank, len(homes))
			return target.Role{IsHome: true, IsFirst: rank == 0, MaxInFlight: maxInFlight}, inputs.contract.ConnectionShare(len(homes))
		}
	}
	return target.Role{}, 0
}

// shutDown ends the role of this instance for a replaced or removed target and closes its link. Both may be nil.
func shutDown(t *target.Target, link Link) {
	if t != nil {
		t.SetRole(target.Role{})
	}
	if link != nil {
		link.Close()
	}
}
