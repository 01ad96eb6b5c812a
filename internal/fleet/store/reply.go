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
	maxInlineBytes    = 64 << 10 // content included in one reply
	maxPageBytes      = 1 << 20
	approxMemberBytes = 128 // approximate size of a member in a page
	pagedViewTimeout  = 10 * time.Second
)

// MissingError reports that a requested value or view is not held.
type MissingError struct{ What string }

// Error returns what is missing.
func (e *MissingError) Error() string { return e.What + " is not held" }

// Reply returns the changes that the requesting instance lacks, as far as the changelog reaches back, and the freshness of this
// view at the given time.
func (s *Store) Reply(req gossip.SyncRequest, now time.Time) gossip.SyncReply {
	s.mu.Lock()
	v, configChanges, listChanges := s.Current(), s.configChanges, s.listChanges
	s.mu.Unlock()
	fr := v.Freshness()
	reply := gossip.SyncReply{
		Revision:    v.Config().Revision(),
		Digest:      v.Config().Digest(),
		ListVersion: v.Roster().Version(),
		ListDigest:  v.Roster().Digest(),
		ConfigAgeMS: gossip.AgeMS(freshness.Since(now, fr.Config())),
		ListAgeMS:   gossip.AgeMS(freshness.Since(now, fr.List())),
		OutageAgeMS: gossip.AgeMS(freshness.Since(now, fr.Outage())),
	}
	if items, ok := configChanges.Since(req.Revision); ok && req.Revision < reply.Revision {
		m := manifest.Manifest{BaseRevision: req.Revision, Revision: reply.Revision, Digest: reply.Digest}
		size := 0
		for _, item := range items {
			value, ok := v.Config().Value(item.Name)
			if !ok {
				m.Removed = append(m.Removed, item.Name)
				continue
			}
			m.Entries = append(m.Entries, newEntry(item.Name, value.Hash, value.Content, item.Hash, item.Before, &size))
		}
		reply.Manifest = &m
	}
	if items, ok := listChanges.Since(req.ListVersion); ok && req.ListVersion < reply.ListVersion {
		l := memberlist.List{BaseVersion: req.ListVersion, Version: reply.ListVersion, Digest: reply.ListDigest}
		for _, item := range items {
			if m, ok := v.Roster().Member(item.Name); ok {
				l.Members = append(l.Members, m)
			} else {
				l.Removed = append(l.Removed, item.Name)
			}
		}
		reply.MemberList = &l
	}
	return reply
}

// newEntry returns an entry that includes its content, as a patch if that is shorter. It adds the length to size, the total of
// the reply, and omits the content once size exceeds maxInlineBytes.
func newEntry(name, hash string, content []byte, baseHash string, base []byte, size *int) manifest.Entry {
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

// Value returns the content of a name if it has the requested hash. Otherwise it fails with *MissingError.
func (s *Store) Value(req gossip.ValueRequest) (gossip.Value, error) {
	value, ok := s.Current().Config().Value(req.Name)
	if !ok || value.Hash != req.Hash {
		return gossip.Value{}, &MissingError{What: req.Name + " with hash " + req.Hash}
	}
	return gossip.Value{Content: value.Content}, nil
}

// pagedView is a view that other instances read page by page. All pages with the same ID belong to the same view.
type pagedView struct {
	id        uint64
	createdAt time.Time
	view      view.View
	values    []string
	members   []string
}

// Page returns one page of the complete view. It fails with *MissingError if the view of which the reader has the earlier pages
// is no longer held.
func (s *Store) Page(req gossip.PageRequest) (gossip.Page, error) {
	p, err := s.pagedViewFor(req)
	if err != nil {
		return gossip.Page{}, err
	}
	page := gossip.Page{
		ViewID:     p.id,
		Manifest:   manifest.Manifest{Revision: p.view.Config().Revision(), Digest: p.view.Config().Digest()},
		MemberList: memberlist.List{Version: p.view.Roster().Version(), Digest: p.view.Roster().Digest()},
	}
	i, total := max(req.Offset, 0), len(p.values)+len(p.members)
	for size := 0; i < total && size < maxPageBytes; i++ {
		if i < len(p.values) {
			value, _ := p.view.Config().Value(p.values[i])
			page.Manifest.Entries = append(page.Manifest.Entries,
				manifest.Entry{Name: p.values[i], Hash: value.Hash, Value: string(value.Content)})
			size += len(value.Content) + len(p.values[i])
			continue
		}
		var m member.Member
		m, _ = p.view.Roster().Member(p.members[i-len(p.values)])
		page.MemberList.Members = append(page.MemberList.Members, m)
		size += approxMemberBytes
	}
	if i < total {
		page.NextOffset = i
	}
	return page, nil
}

// pagedViewFor returns the view with the requested ID or, for a first page, one that is newer than that of the reader or current.
// A view is reused for pagedViewTimeout, so that readers can complete it while the current view changes.
func (s *Store) pagedViewFor(req gossip.PageRequest) (pagedView, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if req.ViewID != 0 {
		if req.ViewID != s.paged.id {
			return pagedView{}, &MissingError{What: fmt.Sprintf("state %d", req.ViewID)}
		}
		return s.paged, nil
	}
	v := s.Current()
	if s.paged.id != 0 && s.paged.canServe(req, v) {
		return s.paged, nil
	}
	s.paged = pagedView{
		id:        s.paged.id + 1,
		createdAt: time.Now(),
		view:      v,
		values:    v.Config().Names(),
		members:   v.Roster().Names(),
	}
	return s.paged, nil
}

// canServe reports whether p is recent enough and, for both configuration and list, newer than that of the reader or current.
func (p pagedView) canServe(req gossip.PageRequest, v view.View) bool {
	revision, version := p.view.Config().Revision(), p.view.Roster().Version()
	configOK := req.Revision < revision || revision == v.Config().Revision()
	listOK := req.ListVersion < version || version == v.Roster().Version()
	return time.Since(p.createdAt) < pagedViewTimeout && configOK && listOK
}
