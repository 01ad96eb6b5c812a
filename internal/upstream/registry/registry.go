// Package registry keeps closed links until the upstream has closed all their connections, so that a
// link opened again meanwhile counts them against its share.
package registry

import (
	"sync"

	"crocuswing/internal/upstream/link"
)

// Registry opens links by the names of upstreams. It is safe for concurrent use.
type Registry struct {
	with []link.Option

	mu    sync.Mutex
	links map[string]*link.Link
}

// New makes an empty registry; the options apply to all its links.
func New(with ...link.Option) *Registry {
	return &Registry{with: with, links: make(map[string]*link.Link)}
}

// Open makes the link to an upstream, or opens its former one again, which must be closed by now.
// lost is called each time the upstream ends a connection that this side had not closed.
func (r *Registry) Open(name, address string, connections int, lost func()) *link.Link {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetDrained()
	l, ok := r.links[name]
	if ok {
		l.Reopen(address, connections, lost)
		return l
	}
	l = link.New(name, address, connections, append([]link.Option{link.WithLost(lost)}, r.with...)...)
	r.links[name] = l
	return l
}

// forgetDrained drops the closed links whose connections are all gone.
func (r *Registry) forgetDrained() {
	for name, l := range r.links {
		if l.IsDrained() {
			delete(r.links, name)
		}
	}
}
