// Package directory keeps the targets and links of the upstreams in the view.
package directory

import (
	"sync"

	"crocuswing/internal/config/service"
	"crocuswing/internal/fleet/view"
	"crocuswing/internal/upstream/contract"
	"crocuswing/internal/upstream/link"
	"crocuswing/internal/upstream/target"
)

// Directory maps the names of upstreams to their running state. It is safe for concurrent use.
type Directory struct {
	mu      sync.RWMutex
	targets map[string]*target.Target
	links   map[string]*link.Link
}

// New makes an empty directory.
func New() *Directory {
	return &Directory{targets: make(map[string]*target.Target), links: make(map[string]*link.Link)}
}

// Target finds the running state of an upstream.
func (d *Directory) Target(upstream string) (*target.Target, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	t, ok := d.targets[upstream]
	return t, ok
}

// Link finds the connections to an upstream.
func (d *Directory) Link(upstream string) (*link.Link, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	l, ok := d.links[upstream]
	return l, ok
}

// Targets gives all targets.
func (d *Directory) Targets() []*target.Target {
	d.mu.RLock()
	defer d.mu.RUnlock()
	all := make([]*target.Target, 0, len(d.targets))
	for _, t := range d.targets {
		all = append(all, t)
	}
	return all
}

// Update adds the upstreams that v names, drops the others and replaces links whose address changed.
// Each upstream gets an equal share of its connections for each of homes instances.
func (d *Directory) Update(v view.View, homes int) {
	named := make(map[string]contract.Contract)
	for _, s := range v.Config().Services() {
		addService(named, s)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, c := range named {
		d.add(v, name, c, homes)
	}
	for name, l := range d.links {
		if _, ok := named[name]; !ok {
			l.Close()
			delete(d.links, name)
			delete(d.targets, name)
		}
	}
}

func addService(named map[string]contract.Contract, s service.Service) {
	for _, l := range s.Layouts {
		for _, sh := range l.Shards {
			for _, r := range sh.Replicas {
				named[r] = s.Contract
			}
		}
	}
}

func (d *Directory) add(v view.View, name string, c contract.Contract, homes int) {
	m, ok := v.Roster().Member(name)
	if !ok {
		return
	}
	if t, ok := d.targets[name]; !ok || t.Contract() != c {
		d.targets[name] = target.New(name, c)
	}
	share := max(1, c.Connections/max(1, homes))
	l, ok := d.links[name]
	if !ok {
		l = link.New(name, m.Address, share)
		d.links[name] = l
	}
	l.Move(m.Address)
	l.SetShare(share)
	l.SetLeaving(!v.Permits(name))
}
