package platform

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"crocuswing/internal/fleet/member"
	"crocuswing/internal/published/reader"
	"crocuswing/internal/wire/manifest"
	"crocuswing/internal/wire/memberlist"
	"crocuswing/internal/wire/patch"
)

// ErrDown is returned by all reads while the platform is down.
var ErrDown = errors.New("platform is down")

// ErrNotFound is returned for a value that was never published.
var ErrNotFound = errors.New("there is no such value")

// Manifest returns the manifest of the configuration and whether it is newer than revision after. It waits for a newer one for
// at most wait, and never longer than maxWait.
func (p *Platform) Manifest(ctx context.Context, after uint64, wait time.Duration) (manifest.Manifest, bool, error) {
	var m manifest.Manifest
	holdTime, changed, err := p.watch(ctx, wait, func() bool {
		m = p.manifest(after)
		return p.revision > after
	})
	m.HoldTime = holdTime
	return m, changed, err
}

// MemberList returns the member list and whether it is newer than version after. It waits for a newer one for at most wait,
// and never longer than maxWait.
func (p *Platform) MemberList(ctx context.Context, after uint64, wait time.Duration) (memberlist.List, bool, error) {
	var l memberlist.List
	holdTime, changed, err := p.watch(ctx, wait, func() bool {
		l = p.memberList(after)
		return p.listVersion > after
	})
	l.HoldTime = holdTime
	return l, changed, err
}

// Value returns the content with the given hash.
func (p *Platform) Value(_ context.Context, hash string) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	if p.down {
		return nil, ErrDown
	}
	text, ok := p.contents[hash]
	if !ok {
		return nil, ErrNotFound
	}
	return text, nil
}

// manifest returns the changes since revision after, or all entries if the changelog does not reach back that far. It has no
// entries if nothing changed.
func (p *Platform) manifest(after uint64) manifest.Manifest {
	m := manifest.Manifest{Revision: p.revision, Digest: p.configDigest.String()}
	if p.revision <= after {
		m.BaseRevision = after
		return m
	}
	items, ok := p.configChanges.Since(after)
	if !ok {
		for _, name := range slices.Sorted(maps.Keys(p.hashes)) {
			m.Entries = append(m.Entries, manifest.Entry{Name: name, Hash: p.hashes[name]})
		}
		return m
	}
	m.BaseRevision = after
	for _, item := range items {
		hash, ok := p.hashes[item.Name]
		if !ok {
			m.Removed = append(m.Removed, item.Name)
			continue
		}
		m.Entries = append(m.Entries, p.entry(item.Name, hash, item.Hash))
	}
	return m
}

// entry returns the manifest entry of a value. It contains a patch against the content with hash base, or the content itself, if
// that is at most maxInlineBytes long.
func (p *Platform) entry(name, hash, base string) manifest.Entry {
	e := manifest.Entry{Name: name, Hash: hash}
	content := p.contents[hash]
	if base != "" {
		if change := patch.New(base, p.contents[base], content); len(change.Middle) <= maxInlineBytes {
			e.Patch = &change
			return e
		}
	}
	if len(content) <= maxInlineBytes {
		e.Value = string(content)
	}
	return e
}

// memberList returns the changes since version after, or all members if the changelog does not reach back that far. It has no
// members if nothing changed.
func (p *Platform) memberList(after uint64) memberlist.List {
	l := memberlist.List{Version: p.listVersion, Digest: p.listDigest.String()}
	if p.listVersion <= after {
		l.BaseVersion = after
		return l
	}
	items, ok := p.listChanges.Since(after)
	if !ok {
		l.Members = slices.SortedFunc(maps.Values(p.members), func(a, b member.Member) int {
			return strings.Compare(a.Name, b.Name)
		})
		return l
	}
	l.BaseVersion = after
	for _, item := range items {
		if m, ok := p.members[item.Name]; ok {
			l.Members = append(l.Members, m)
		} else {
			l.Removed = append(l.Removed, item.Name)
		}
	}
	return l
}

// watch calls read immediately and after each change until read reports changes, or wait or maxWait has passed. It returns the time
// that it waited and what read last reported. It fails if the platform is down or ctx is done. It calls read with the lock held.
func (p *Platform) watch(ctx context.Context, wait time.Duration, read func() bool) (time.Duration, bool, error) {
	start := time.Now()
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	p.mu.Lock()
	p.reads++
	p.mu.Unlock()
	for timedOut := wait <= 0; ; {
		p.mu.Lock()
		changed, notify, down := read(), p.changed, p.down
		p.mu.Unlock()
		switch {
		case down:
			return 0, false, ErrDown
		case changed || timedOut:
			return time.Since(start), changed, nil
		}
		select {
		case <-notify:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
			return 0, false, ctx.Err()
		}
	}
}

func (p *Platform) serveManifest(w http.ResponseWriter, r *http.Request) {
	after, wait := watchParameters(r)
	m, changed, err := p.Manifest(r.Context(), after, wait)
	writeResponse(w, m.Revision, m.Digest, m.HoldTime, m, changed, err)
}

func (p *Platform) serveMembers(w http.ResponseWriter, r *http.Request) {
	after, wait := watchParameters(r)
	l, changed, err := p.MemberList(r.Context(), after, wait)
	writeResponse(w, l.Version, l.Digest, l.HoldTime, l, changed, err)
}

func (p *Platform) serveValue(w http.ResponseWriter, r *http.Request) {
	text, err := p.Value(r.Context(), r.PathValue("hash"))
	if err != nil {
		http.Error(w, err.Error(), statusCode(err))
		return
	}
	_, _ = w.Write(text)
}

func watchParameters(r *http.Request) (uint64, time.Duration) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	return after, time.Duration(waitMS) * time.Millisecond
}

// writeResponse writes v as JSON, or status 204 if nothing changed.
func writeResponse(w http.ResponseWriter, version uint64, digest string, holdTime time.Duration, v any, changed bool, err error) {
	if err != nil {
		http.Error(w, err.Error(), statusCode(err))
		return
	}
	w.Header().Set(reader.HeaderNumber, strconv.FormatUint(version, 10))
	w.Header().Set(reader.HeaderDigest, digest)
	w.Header().Set(reader.HeaderHeldMS, strconv.FormatInt(holdTime.Milliseconds(), 10))
	if !changed {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func statusCode(err error) int {
	if errors.Is(err, ErrNotFound) {
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable
}
