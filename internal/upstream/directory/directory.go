// Package directory keeps the targets of the upstreams in the view, and the links to those of which
// this instance is a home.
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

// Link sends attempts to one upstream within its share of connections.
type Link interface {
	// Part asks for one shard's part. It fails with *failure.Failure.
	Part(ctx context.Context, q part.Request) (part.Reply, signal.Signal, error)
	// Order runs one order. It fails with *failure.Failure.
	Order(ctx context.Context, q order.Request) (order.Reply, signal.Signal, error)
	// SetMaxConnections changes the highest number of connections.
	SetMaxConnections(connections int)
	// SetDraining refuses requests while new work is forbidden; those in flight finish.
	SetDraining(leaving bool)
	// Close closes the connections; those in use close when their request ends.
	Close()
}

// Opener makes the link to one upstream with at most the given number of connections. The link calls
// lost each time the upstream ends a connection first.
type Opener func(name, address string, connections int, lost func()) Link

// Directory maps the names of upstreams to their running state. It is safe for concurrent use.
type Directory struct {
	self string
	open Opener

	updating sync.Mutex    // held by Update, the only writer of what follows
	digest   string        // of the configuration that contracts were read from
	roster   roster.Roster // of the last update
	reading  int           // counts the readings of contracts
	named    []*entry

	mu      sync.RWMutex // held only for single steps, so that an update delays no attempt
	ranking *home.Ranking
	entries map[string]*entry
}

// entry is one upstream that the configuration names.
type entry struct {
	*target.Target // nil until the upstream is listed
	name           string
	contract       contract.Contract
	reading        int // the last one that named it
	standing       standing
	link           Link // nil unless this instance is a home
	connections    int
}

// standing is all that the role of this instance for an upstream depends on.
type standing struct {
	member    member.Member
	contract  contract.Contract
	group     *home.Group
	homes     int
	permitted bool
}

// Option changes how a directory is made.
type Option func(*Directory)

// WithOpener replaces the way in which links are made.
func WithOpener(o Opener) Option {
	return func(d *Directory) { d.open = o }
}

// New makes an empty directory for the instance self.
func New(self string, options ...Option) *Directory {
	links := registry.New()
	openLink := func(name, address string, connections int, lost func()) Link {
		return links.Open(name, address, connections, lost)
	}
	d := &Directory{self: self, open: openLink, ranking: home.New(nil), entries: make(map[string]*entry)}
	for _, o := range options {
		o(d)
	}
	return d
}

// Target finds the running state of an upstream.
func (d *Directory) Target(upstream string) (*target.Target, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	e, ok := d.entries[upstream]
	if !ok || e.Target == nil {
		return nil, false
	}
	return e.Target, true
}

// Link finds the connections to an upstream of which this instance is a home.
func (d *Directory) Link(upstream string) (Link, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	e, ok := d.entries[upstream]
	if !ok || e.link == nil {
		return nil, false
	}
	return e.link, true
}

// Ranking is that of the last update.
func (d *Directory) Ranking() *home.Ranking {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.ranking
}

// Targets gives all targets.
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

// Summary counts the upstreams that this instance knows.
type Summary struct {
	// Homes is the number of those of which it is a home.
	Homes int
	// Cold and Unproven count those that warm up, and those without recent evidence of their warmth.
	Cold, Unproven int
	// InFlight and Waiting count the requests at and before those homes.
	InFlight, Waiting int
}

// Summary is that of the present moment.
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

// Update adds the upstreams that v names, drops the others, and gives this instance its role and
// share for each. What did not change since the last update is not looked up again.
func (d *Directory) Update(v view.View) {
	d.updating.Lock()
	defer d.updating.Unlock()
	isNewConfig := d.named == nil || d.digest != v.Config().Digest()
	former := d.roster
	isNewList := former.Version() != v.Roster().Version()
	if isNewConfig {
		d.name(v.Config().Services())
		d.digest = v.Config().Digest()
	}
	old := d.Ranking()
	next := old.WithCandidates(candidates(v))
	d.change(func() { d.ranking = next })
	d.roster = v.Roster()
	if isNewList && !isNewConfig && next == old {
		d.followChanged(v, former)
		return
	}
	for _, e := range d.named {
		m, ok := e.standing.member, !isNewList && e.Target != nil
		if !ok {
			m, ok = v.Roster().Member(e.name)
		}
		if ok {
			d.follow(e, m, v.Admits(m))
		}
	}
}

// followChanged brings those upstreams up to date that differ from a former list, while the
// configuration and the instances are the same.
func (d *Directory) followChanged(v view.View, former roster.Roster) {
	for name := range v.Roster().ChangedUpstreams(former) {
		e, isNamed := d.entries[name]
		m, isListed := v.Roster().Member(name)
		if isNamed && isListed {
			d.follow(e, m, v.Admits(m))
		}
	}
}

// name replaces the set of upstreams and their contracts.
func (d *Directory) name(services []service.Service) {
	d.reading++
	known := len(d.entries)
	kept := 0
	for _, s := range services {
		for _, l := range s.Layouts {
			for _, sh := range l.Shards {
				for _, upstream := range sh.Replicas {
					kept += d.nameOne(upstream, s.Contract)
				}
			}
		}
	}
	if kept < known {
		d.drop()
	}
}

// nameOne sets the contract of one upstream and gives 1 if the reading before had it too.
func (d *Directory) nameOne(upstream string, c contract.Contract) int {
	e, ok := d.entries[upstream]
	if !ok {
		e = &entry{name: upstream, contract: c, reading: d.reading}
		d.change(func() { d.entries[upstream] = e })
		d.named = append(d.named, e)
		return 0
	}
	e.contract = c
	if e.reading == d.reading {
		return 0 // counted already, or new
	}
	e.reading = d.reading
	return 1
}

// drop removes the upstreams that the last reading did not name.
func (d *Directory) drop() {
	d.named = slices.DeleteFunc(d.named, func(e *entry) bool {
		if e.reading == d.reading {
			return false
		}
		d.change(func() { delete(d.entries, e.name) })
		retire(e.Target, e.link)
		return true
	})
}

// change makes one step of an update visible.
func (d *Directory) change(step func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	step()
}

// candidates gives the instances that may be homes: those that are not leaving, in failure domains
// that are not out. If there are none, those in domains that are out stay, and else those that are
// leaving, so that work can end.
func candidates(v view.View) []home.Candidate {
	var in, out, left []home.Candidate
	for _, m := range v.Roster().Of(member.KindInstance) {
		c := home.Candidate{Name: m.Name, Location: home.Location{FailureDomain: m.FailureDomain, Region: m.Region}}
		switch {
		case m.State == member.StateLeaving || v.HasLeft(m.Name):
			left = append(left, c)
		case v.Config().IsOut(m.FailureDomain):
			out = append(out, c)
		default:
			in = append(in, c)
		}
	}
	switch {
	case len(in) > 0:
		return in
	case len(out) > 0:
		return out
	}
	return left
}

// follow brings one upstream's entry up to date; permitted tells whether the view permits new work.
func (d *Directory) follow(e *entry, m member.Member, permitted bool) {
	place := home.Location{FailureDomain: m.FailureDomain, Region: m.Region}
	next := standing{
		member:    m,
		contract:  e.contract,
		group:     d.ranking.Group(place),
		homes:     e.contract.HomeCount(d.ranking.Len()),
		permitted: permitted,
	}
	if next != e.standing {
		d.place(e, next, place)
	}
	if m.State != member.StateLive {
		e.ApplyMembership(m.State == member.StateLeaving, m.State == member.StateCold)
	}
}

// place makes the entry fit its standing.
func (d *Directory) place(e *entry, next standing, place home.Location) {
	old := e.standing
	e.standing = next
	if e.Target == nil || old.contract != next.contract || e.Location() != place || old.member.Address != next.member.Address {
		former, link := e.Target, e.link
		d.change(func() {
			e.Target, e.link, e.connections = target.New(e.name, next.contract, place), nil, 0
		})
		retire(former, link)
	}
	role, connections := d.role(e.Target, next)
	if connections != e.connections {
		d.connect(e, connections)
	}
	if e.link != nil {
		e.link.SetDraining(!next.permitted)
	}
	e.SetRole(role)
}

// connect opens the link, changes its share of connections, or closes it.
func (d *Directory) connect(e *entry, connections int) {
	old, next := e.link, e.link
	switch {
	case connections == 0:
		next = nil
	case old == nil:
		next = d.open(e.name, e.standing.member.Address, connections, e.MarkUnproven)
	default:
		old.SetMaxConnections(connections)
	}
	d.change(func() { e.link, e.connections = next, connections })
	if old != nil && next == nil {
		old.Close()
	}
}

// role gives this instance's role and share of connections; 0 connections if it is not a home.
func (d *Directory) role(t *target.Target, s standing) (target.Role, int) {
	if !s.group.CanBeHome(d.self, s.homes) {
		return target.Role{}, 0
	}
	homes := t.Homes(d.ranking)
	for rank, name := range homes {
		if name == d.self {
			share := s.contract.SlotShare(rank, len(homes))
			return target.Role{IsHome: true, IsFirst: rank == 0, MaxInFlight: share}, s.contract.ConnectionShare(len(homes))
		}
	}
	return target.Role{}, 0
}

// retire ends the work of a former target; t and l may be nil.
func retire(t *target.Target, l Link) {
	if t != nil {
		t.SetRole(target.Role{})
	}
	if l != nil {
		l.Close()
	}
}
