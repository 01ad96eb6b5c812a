// Package platform is a stand-in for the platform's configuration service and live list.
package platform

import (
	"net/http"
	"sync"
	"time"

	"crocuswing/internal/fleet/history"
	"crocuswing/internal/fleet/member"
	"crocuswing/internal/wire/manifest"
	"crocuswing/internal/wire/memberlist"
)

const (
	maxWait        = 30 * time.Second
	maxInlineBytes = 4 << 10 // content of a changed value that comes with the change
)

// Platform serves published values and members over HTTP. It is safe for concurrent use.
type Platform struct {
	mux *http.ServeMux

	mu       sync.Mutex
	revision uint64
	names    map[string]string // name of a value to the hash of its content
	contents map[string][]byte // by hash; old ones stay readable
	digest   manifest.Digest
	configs  history.History
	version  uint64
	members  map[string]member.Member
	listed   manifest.Digest
	lists    history.History
	changed  chan struct{} // closed at each change
	down     bool
	reads    int
}

// New makes a platform that has published nothing.
func New() *Platform {
	p := &Platform{
		mux:      http.NewServeMux(),
		names:    make(map[string]string),
		contents: make(map[string][]byte),
		members:  make(map[string]member.Member),
		changed:  make(chan struct{}),
	}
	p.mux.HandleFunc("GET /v1/config", p.serveManifest)
	p.mux.HandleFunc("GET /v1/config/values/{hash}", p.serveValue)
	p.mux.HandleFunc("GET /v1/members", p.serveMembers)
	return p
}

// Publish makes a new revision in which the given values replace those of the same name;
// an empty value removes its name. It returns the revision.
func (p *Platform) Publish(values map[string]string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	change := history.Change{From: p.revision, To: p.revision + 1}
	for name, text := range values {
		change.Items = append(change.Items, p.put(name, text))
	}
	p.revision++
	p.configs = p.configs.With(change)
	p.notify()
	return p.revision
}

// put replaces one value and gives what it was before.
func (p *Platform) put(name, text string) history.Item {
	old, ok := p.names[name]
	if ok {
		p.digest = p.digest.Without(name, old)
		delete(p.names, name)
	}
	if text != "" {
		hash := manifest.Hash([]byte(text))
		p.names[name] = hash
		p.contents[hash] = []byte(text)
		p.digest = p.digest.With(name, hash)
	}
	return history.Item{Name: name, Hash: old, Before: p.contents[old]}
}

// SetMember adds a member to the list or changes it.
func (p *Platform) SetMember(m member.Member) { p.setMember(m.Name, &m) }

// RemoveMember takes a member off the list.
func (p *Platform) RemoveMember(name string) { p.setMember(name, nil) }

func (p *Platform) setMember(name string, m *member.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := p.members[name]; ok {
		p.listed = p.listed.Without(name, memberlist.Hash(old))
		delete(p.members, name)
	}
	if m != nil {
		p.members[name] = *m
		p.listed = p.listed.With(name, memberlist.Hash(*m))
	}
	change := history.Change{From: p.version, To: p.version + 1, Items: []history.Item{{Name: name}}}
	p.version++
	p.lists = p.lists.With(change)
	p.notify()
}

// SetDown makes the platform refuse all reads, or serve again.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.notify()
}

// Reads is the number of calls served, a watch counted as one.
func (p *Platform) Reads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// ServeHTTP answers one read.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}
