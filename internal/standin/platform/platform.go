// Package platform is a stand-in for the platform's configuration service and live list.
package platform

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"crocuswing/internal/fleet/member"
	"crocuswing/internal/wire/listing"
	"crocuswing/internal/wire/manifest"
)

const maxWait = 30 * time.Second

// Platform serves published values and members over HTTP. It is safe for concurrent use.
type Platform struct {
	mux *http.ServeMux

	mu       sync.Mutex
	revision uint64
	names    map[string]string // name of a value to the hash of its content
	contents map[string][]byte // by hash; old ones stay readable
	version  uint64
	members  map[string]member.Member
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
	for name, text := range values {
		if text == "" {
			delete(p.names, name)
			continue
		}
		hash := manifest.Hash([]byte(text))
		p.names[name] = hash
		p.contents[hash] = []byte(text)
	}
	p.revision++
	p.notify()
	return p.revision
}

// SetMember adds a member to the list or changes it.
func (p *Platform) SetMember(m member.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members[m.Name] = m
	p.version++
	p.notify()
}

// RemoveMember takes a member off the list.
func (p *Platform) RemoveMember(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.members, name)
	p.version++
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
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.reads++
	down := p.down
	p.mu.Unlock()
	if down {
		http.Error(w, "platform is down", http.StatusServiceUnavailable)
		return
	}
	p.mux.ServeHTTP(w, r)
}

func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) serveManifest(w http.ResponseWriter, r *http.Request) {
	p.serveWatch(w, r, func(after uint64) (any, bool) {
		if p.revision <= after {
			return nil, false
		}
		m := manifest.Manifest{Revision: p.revision}
		for _, name := range slices.Sorted(maps.Keys(p.names)) {
			m.Entries = append(m.Entries, manifest.Entry{Name: name, Hash: p.names[name]})
		}
		return m, true
	})
}

func (p *Platform) serveMembers(w http.ResponseWriter, r *http.Request) {
	p.serveWatch(w, r, func(after uint64) (any, bool) {
		if p.version <= after {
			return nil, false
		}
		members := slices.SortedFunc(maps.Values(p.members), func(a, b member.Member) int {
			return strings.Compare(a.Name, b.Name)
		})
		return listing.Listing{Version: p.version, Members: members}, true
	})
}

func (p *Platform) serveValue(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	text, ok := p.contents[r.PathValue("hash")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(text)
}

// serveWatch answers when read reports a change, or with 204 when the wait ends first.
func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request, read func(after uint64) (any, bool)) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timer := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, maxWait))
	defer timer.Stop()
	for {
		p.mu.Lock()
		v, ok := read(after)
		changed, down := p.changed, p.down
		p.mu.Unlock()
		if down {
			http.Error(w, "platform is down", http.StatusServiceUnavailable)
			return
		}
		if ok {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(v)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-r.Context().Done():
			return
		}
	}
}
