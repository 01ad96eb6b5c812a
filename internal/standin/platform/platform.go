// Package platform simulates the platform that instances read from: its configuration service and its member list.
//
// Like the platform, it holds a read until there are changes and then returns only the changes since the reader's revision or version.
// Tests read it directly or over HTTP; the instances of the demonstration read it over HTTP.
package platform

import (
	"net/http"
	"sync"
	"time"

	"crocuswing/internal/fleet/changelog"
	"crocuswing/internal/fleet/member"
	"crocuswing/internal/wire/manifest"
	"crocuswing/internal/wire/memberlist"
)

const (
	maxWait        = 30 * time.Second
	maxInlineBytes = 4 << 10 // a manifest omits larger contents; the reader requests them by hash
)

// Platform holds published values and members and serves them to readers. It is safe for concurrent use.
type Platform struct {
	mux *http.ServeMux

	mu            sync.Mutex
	revision      uint64
	hashes        map[string]string // content hash by value name
	contents      map[string][]byte // by hash; replaced contents stay readable, as patches refer to them
	configDigest  manifest.Digest
	configChanges changelog.Changelog
	listVersion   uint64
	members       map[string]member.Member
	listDigest    manifest.Digest
	listChanges   changelog.Changelog
	changed       chan struct{} // closed and replaced on each change
	down          bool
	reads         int
}

// New returns a platform that has published nothing yet.
func New() *Platform {
	p := &Platform{
		mux:      http.NewServeMux(),
		hashes:   make(map[string]string),
		contents: make(map[string][]byte),
		members:  make(map[string]member.Member),
		changed:  make(chan struct{}),
	}
	p.mux.HandleFunc("GET /v1/config", p.serveManifest)
	p.mux.HandleFunc("GET /v1/config/values/{hash}", p.serveValue)
	p.mux.HandleFunc("GET /v1/members", p.serveMembers)
	return p
}

// Publish creates a new revision in which the given values replace those of the same name, and returns it.
// An empty value removes its name.
func (p *Platform) Publish(values map[string]string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	change := changelog.Change{From: p.revision, To: p.revision + 1}
	for name, text := range values {
		change.Items = append(change.Items, p.replace(name, text))
	}
	p.revision++
	p.configChanges = p.configChanges.With(change)
	p.notify()
	return p.revision
}

// replace sets one value, or removes it if text is empty, and returns the previous value.
func (p *Platform) replace(name, text string) changelog.Item {
	old, ok := p.hashes[name]
	if ok {
		p.configDigest = p.configDigest.Without(name, old)
		delete(p.hashes, name)
	}
	if text != "" {
		hash := manifest.Hash([]byte(text))
		p.hashes[name] = hash
		p.contents[hash] = []byte(text)
		p.configDigest = p.configDigest.With(name, hash)
	}
	return changelog.Item{Name: name, Hash: old, Before: p.contents[old]}
}

// SetMember adds a member to the list or replaces the one of the same name.
func (p *Platform) SetMember(m member.Member) { p.setMember(m.Name, &m) }

// RemoveMember removes a member from the list.
func (p *Platform) RemoveMember(name string) { p.setMember(name, nil) }

func (p *Platform) setMember(name string, m *member.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := p.members[name]; ok {
		p.listDigest = p.listDigest.Without(name, memberlist.Hash(old))
		delete(p.members, name)
	}
	if m != nil {
		p.members[name] = *m
		p.listDigest = p.listDigest.With(name, memberlist.Hash(*m))
	}
	change := changelog.Change{From: p.listVersion, To: p.listVersion + 1, Items: []changelog.Item{{Name: name}}}
	p.listVersion++
	p.listChanges = p.listChanges.With(change)
	p.notify()
}

// SetDown sets whether the platform refuses all reads. Reads that wait for a change fail as soon as it is down.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.notify()
}

// Reads returns the number of reads received. A read that waits for a change counts once.
func (p *Platform) Reads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// ServeHTTP serves one read.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}
