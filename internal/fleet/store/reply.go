package store

import (
	"fmt"
	"time"

	"crocuswing/internal/fleet/freshness"
	"crocuswing/internal/fleet/member"
	"crocuswing/internal/fleet/view"
	"crocuswing/internal/wire/gossip"
	"crocuswing/internal/wire/manifest"
	"crocuswing/internal/wire/memberlist"
	"crocuswing/internal/wire/patch"
)

const (
	maxInlineBytes = 64 << 10 // content that one answer brings along
	maxPageBytes   = 1 << 20
	memberBytes    = 128 // of one member in a page, about
	pageHold       = 10 * time.Second
)

// MissingError tells that a value or a page is not held.
type MissingError struct{ What string }

// Error names what is missing.
func (e *MissingError) Error() string { return e.What + " is not held" }

// Reply answers another instance: what it lacks, and how fresh this view is at now.
func (s *Store) Reply(q gossip.SyncRequest, now time.Time) gossip.SyncReply {
	s.mu.Lock()
	v, configs, lists := s.Current(), s.configs, s.lists
	s.mu.Unlock()
	e := v.Freshness()
	r := gossip.SyncReply{
		Revision:    v.Config().Revision(),
		Digest:      v.Config().Digest(),
		ListVersion: v.Roster().Version(),
		ListDigest:  v.Roster().Digest(),
		ConfigAgeMS: gossip.AgeMS(freshness.Since(now, e.Config())),
		ListAgeMS:   gossip.AgeMS(freshness.Since(now, e.List())),
		OutageAgeMS: gossip.AgeMS(freshness.Since(now, e.Outage())),
	}
	if items, ok := configs.Since(q.Revision); ok && q.Revision < r.Revision {
		m := manifest.Manifest{BaseRevision: q.Revision, Revision: r.Revision, Digest: r.Digest}
		size := 0
		for _, item := range items {
			text, ok := v.Config().Value(item.Name)
			if !ok {
				m.Removed = append(m.Removed, item.Name)
				continue
			}
			m.Entries = append(m.Entries, entry(item.Name, text.Hash, text.Content, item.Hash, item.Before, &size))
		}
		r.Manifest = &m
	}
	if items, ok := lists.Since(q.ListVersion); ok && q.ListVersion < r.ListVersion {
		l := memberlist.List{BaseVersion: q.ListVersion, Version: r.ListVersion, Digest: r.ListDigest}
		for _, item := range items {
			if m, ok := v.Roster().Member(item.Name); ok {
				l.Members = append(l.Members, m)
			} else {
				l.Removed = append(l.Removed, item.Name)
			}
		}
		r.MemberList = &l
	}
	return r
}

// entry brings the content along as a patch or whole, whichever is shorter, while size allows.
func entry(name, hash string, content []byte, baseHash string, base []byte, size *int) manifest.Entry {
	e := manifest.Entry{Name: name, Hash: hash}
	p := patch.New(baseHash, base, content)
	if baseHash != "" && len(p.Middle) < len(content) {
		if *size += len(p.Middle); *size <= maxInlineBytes {
			e.Patch = &p
		}
		return e
	}
	if *size += len(content); *size <= maxInlineBytes {
		e.Value = string(content)
	}
	return e
}

// Value gives the content of a name if it has the given hash. It fails with *MissingError.
func (s *Store) Value(q gossip.ValueRequest) (gossip.Value, error) {
	text, ok := s.Current().Config().Value(q.Name)
	if !ok || text.Hash != q.Hash {
		return gossip.Value{}, &MissingError{What: q.Name + " with hash " + q.Hash}
	}
	return gossip.Value{Content: text.Content}, nil
}

// pages is the view that is being read whole by other instances.
type pages struct {
	state   uint64
	made    time.Time
	view    view.View
	values  []string
	members []string
}

// Page gives one part of the whole view. It fails with *MissingError if the view that the
// reader began with is not held any more.
func (s *Store) Page(q gossip.PageRequest) (gossip.Page, error) {
	p, err := s.pagesOf(q)
	if err != nil {
		return gossip.Page{}, err
	}
	page := gossip.Page{
		ViewID:     p.state,
		Manifest:   manifest.Manifest{Revision: p.view.Config().Revision(), Digest: p.view.Config().Digest()},
		MemberList: memberlist.List{Version: p.view.Roster().Version(), Digest: p.view.Roster().Digest()},
	}
	at, total := max(q.Offset, 0), len(p.values)+len(p.members)
	for size := 0; at < total && size < maxPageBytes; at++ {
		if at < len(p.values) {
			text, _ := p.view.Config().Value(p.values[at])
			page.Manifest.Entries = append(page.Manifest.Entries,
				manifest.Entry{Name: p.values[at], Hash: text.Hash, Value: string(text.Content)})
			size += len(text.Content) + len(p.values[at])
			continue
		}
		var m member.Member
		m, _ = p.view.Roster().Member(p.members[at-len(p.values)])
		page.MemberList.Members = append(page.MemberList.Members, m)
		size += memberBytes
	}
	if at < total {
		page.NextOffset = at
	}
	return page, nil
}

// pagesOf gives the view with the given state, or one that is newer than what the reader has.
// A view is held for a while, so that readers can finish with it while changes go on.
func (s *Store) pagesOf(q gossip.PageRequest) (pages, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.ViewID != 0 {
		if q.ViewID != s.pages.state {
			return pages{}, &MissingError{What: fmt.Sprintf("state %d", q.ViewID)}
		}
		return s.pages, nil
	}
	v := s.Current()
	if s.pages.state != 0 && s.pages.serves(q, v) {
		return s.pages, nil
	}
	s.pages = pages{
		state:   s.pages.state + 1,
		made:    time.Now(),
		view:    v,
		values:  v.Config().Names(),
		members: v.Roster().Names(),
	}
	return s.pages, nil
}

// serves tells whether the held view is young and brings the reader all it lacks, or v has no more.
func (p pages) serves(q gossip.PageRequest, v view.View) bool {
	revision, version := p.view.Config().Revision(), p.view.Roster().Version()
	config := q.Revision < revision || revision == v.Config().Revision()
	list := q.ListVersion < version || version == v.Roster().Version()
	return time.Since(p.made) < pageHold && config && list
}
