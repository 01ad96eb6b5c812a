// Package directory keeps the targets of the upstreams in the view, and the links to those of which
// this instance is a home.
package directory

import (
	"context"
	"sync"

	"crocuswing/internal/config/service"
	"crocuswing/internal/fleet/member"
	"crocuswing/internal/fleet/view"
	"crocuswing/internal/upstream/contract"
	"crocuswing/internal/upstream/home"
	"crocuswing/internal/upstream/link"
	"crocuswing/internal/upstream/signal"
	"crocuswing/internal/upstream/target"
	"crocuswing/internal/wire/order"
	"crocuswing/internal/wire/part"
)

// Link sends attempts to one upstream within its share of connections.
type Link interface {
	// Part asks for one shard's part. It fails with *failure.Failure.
	Part(ctx context.Context, q part.Request) (part.Reply, signal.Signal, error)
	// Order runs one order. It fails with *failure.Failure.
	Order(ctx context.Context, q order.Request) (order.Reply, signal.Signal, error)
	// SetShare changes the highest number of connections.
	SetShare(connections int)
	// SetLeaving refuses requests while new work is forbidden; those in flight finish.
	SetLeaving(leaving bool)
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

	updating sync.Mutex // held by Update, the only writer of what follows
	digest   string     // of the configuration that contracts were read from
	named    map[string]contract.Contract

	mu      sync.RWMutex // held only for single steps, so that an update delays no attempt
	ranking *home.Ranking
	entries map[string]*entry
}

type entry struct {
	*target.Target
	address     string
	link        Link // nil unless this instance is a home
	connections int
}

// Option changes how a directory is made.
type Option func(*Directory)

// WithOpener replaces the way in which links are made.
func WithOpener(o Opener) Option {
	return func(d *Directory) { d.open = o }
}

// New makes an empty directory for the instance self.
func New(self string, options ...Option) *Directory {
	d := &Directory{self: self, open: openLink, ranking: home.New(nil), entries: make(map[string]*entry)}
	for _, o := range options {
		o(d)
	}
	return d
}

func openLink(name, address string, connections int, lost func()) Link {
	return link.New(name, address, connections, link.WithLost(lost))
}

// Target finds the running state of an upstream.
func (d *Directory) Target(upstream string) (*target.Target, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	e, ok := d.entries[upstream]
	if !ok {
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
		all = append(all, e.Target)
	}
	return all
}

// Update adds the upstreams that v names, drops the others, and gives this instance its role and
// share for each.
func (d *Directory) Update(v view.View) {
	d.updating.Lock()
	defer d.updating.Unlock()
	if d.named == nil || d.digest != v.Config().Digest() {
		d.named = contracts(v.Config().Services())
		d.digest = v.Config().Digest()
	}
	d.change(func() { d.ranking = d.ranking.Next(candidates(v)) })
	for name, c := range d.named {
		if m, ok := v.Roster().Member(name); ok {
			d.set(m, c, v.Permits(name))
		}
	}
	for name, e := range d.entries {
		if _, ok := d.named[name]; !ok {
			d.change(func() { delete(d.entries, name) })
			e.retire()
		}
	}
}

// change makes one step of an update visible.
func (d *Directory) change(step func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	step()
}

func contracts(services []service.Service) map[string]contract.Contract {
	named := make(map[string]contract.Contract)
	for _, s := range services {
		for _, l := range s.Layouts {
			for _, sh := range l.Shards {
				for _, r := range sh.Replicas {
					named[r] = s.Contract
				}
			}
		}
	}
	return named
}

// candidates gives the instances that may be homes: those that are not leaving, in failure domains
// that are not out. If all domains are out, their instances stay, so that work can end.
func candidates(v view.View) []home.Candidate {
	var in, out []home.Candidate
	for _, m := range v.Roster().Of(member.KindInstance) {
		c := home.Candidate{Name: m.Name, Place: home.Place{FailureDomain: m.FailureDomain, Region: m.Region}}
		switch {
		case m.State == member.StateLeaving || v.HasLeft(m.Name):
		case v.Config().IsOut(m.FailureDomain):
			out = append(out, c)
		default:
			in = append(in, c)
		}
	}
	if len(in) == 0 {
		return out
	}
	return in
}

// set brings one upstream's entry up to date; permitted tells whether the view permits new work.
func (d *Directory) set(m member.Member, c contract.Contract, permitted bool) {
	place := home.Place{FailureDomain: m.FailureDomain, Region: m.Region}
	e, ok := d.entries[m.Name]
	if !ok || e.Contract() != c || e.Place() != place || e.address != m.Address {
		old := e
		e = &entry{Target: target.New(m.Name, c, place), address: m.Address}
		d.change(func() { d.entries[m.Name] = e })
		if ok {
			old.retire()
		}
	}
	if m.State != member.StateLive {
		e.Listed(m.State == member.StateLeaving, m.State == member.StateCold)
	}
	role, connections := d.role(e.Target)
	if connections != e.connections {
		d.connect(e, connections)
	}
	if e.link != nil {
		e.link.SetLeaving(!permitted)
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
		next = d.open(e.Name(), e.address, connections, e.Doubt)
	default:
		old.SetShare(connections)
	}
	d.change(func() { e.link, e.connections = next, connections })
	if old != nil && next == nil {
		old.Close()
	}
}

// role gives this instance's role and share of connections; 0 connections if it is not a home.
func (d *Directory) role(t *target.Target) (target.Role, int) {
	c := t.Contract()
	count := c.HomeCount(d.ranking.Len())
	if !d.ranking.Group(t.Place()).MayHold(d.self, count) {
		return target.Role{}, 0
	}
	homes := t.Homes(d.ranking)
	for rank, name := range homes {
		if name == d.self {
			role := target.Role{IsHome: true, IsFirst: rank == 0, Share: c.SlotShare(rank, len(homes))}
			return role, c.ConnectionShare(len(homes))
		}
	}
	return target.Role{}, 0
}

// retire ends the entry's work when its upstream is no longer in the view.
func (e *entry) retire() {
	e.SetRole(target.Role{})
	if e.link != nil {
		e.link.Close()
	}
}
