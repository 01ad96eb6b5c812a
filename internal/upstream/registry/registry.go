// Package registry holds the links of an instance by the name of the upstream. Package directory opens its links through it.
//
// A closed link is kept until the upstream has closed all its connections, so that a link to the same upstream that is reopened
// in the meantime counts them against its limit.
package registry

import (
	"sync"

	"crocuswing/internal/upstream/link"
)

// Registry opens links by the name of the upstream. It is safe for concurrent use.
type Registry struct {
	options []link.Option

	mu    sync.Mutex
	links map[string]*link.Link
}

// New returns an empty registry whose links are created with the given options.
func New(options ...link.Option) *Registry {
	return &Registry{options: options, links: make(map[string]*link.Link)}
}

// Open returns the link to an upstream: a new one, or the previous one reopened, which must have been closed. onLost is called
// each time the upstream closes a connection that this side has not closed.
func (r *Registry) Open(name, address string, connections int, onLost func()) *link.Link {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeClosed()
	l, ok := r.links[name]
	if ok {
		l.Reopen(address, connections, onLost)
		return l
	}
	l = link.New(name, address, connections, append([]link.Option{link.WithLost(onLost)}, r.options...)...)
	r.links[name] = l
	return l
}

// removeClosed removes the closed links without remaining connections.
func (r *Registry) removeClosed() {
	for name, l := range r.links {
		if l.IsDrained() {
			delete(r.links, name)
		}
	}
}
