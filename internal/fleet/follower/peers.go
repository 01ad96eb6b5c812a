package follower

import (
	"context"
	"errors"
	"slices"
	"time"

	"crocuswing/internal/config/acceptor"
	"crocuswing/internal/fleet/freshness"
	"crocuswing/internal/task/pause"
	"crocuswing/internal/wire/gossip"
	"crocuswing/internal/wire/manifest"
	"crocuswing/internal/wire/memberlist"
)

var errBehind = errors.New("peer's view could not be taken")

// syncs asks a peer each period, and now and then a suspected one whether it answers again.
func (f *Follower) syncs(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		pause.For(ctx, f.jitter(syncPeriod))
		f.contacts.Retain(f.isListed)
		if suspected := f.contacts.Suspected(); n%probeEvery == 0 && len(suspected) > 0 {
			_ = f.sync(ctx, suspected[f.pick(len(suspected))])
		}
		f.syncAny(ctx, f.contacts.Suspected())
	}
}

func (f *Follower) isListed(peer string) bool {
	_, ok := f.Current().Roster().Member(peer)
	return ok
}

// syncAny asks one watcher, and if it does not answer another one.
func (f *Follower) syncAny(ctx context.Context, besides []string) {
	for range 2 {
		peer, ok := f.target(besides)
		if !ok || f.sync(ctx, peer) == nil {
			return
		}
		besides = append(besides, peer)
	}
}

// target picks a watcher to ask: one of the own failure domain, but a watcher asks those of all domains.
func (f *Follower) target(besides []string) (string, bool) {
	p := f.plan()
	candidates := p.SameDomain()
	if p.IsWatcher() || len(candidates) == 0 {
		candidates = append(slices.Clone(p.SameDomain()), p.OtherDomains()...)
	}
	candidates = without(candidates, besides)
	if len(candidates) == 0 {
		candidates = without(slices.Concat(p.SameDomain(), p.OtherDomains()), besides)
	}
	if len(candidates) == 0 && len(f.Current().ListedInstances()) <= 1 {
		candidates = without(f.seeds, besides)
	}
	if len(candidates) == 0 {
		return "", false
	}
	return candidates[f.pick(len(candidates))], true
}

func without(names, besides []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return slices.Contains(besides, name) })
}

// sync compares views with a peer and takes what is newer there. It fails if the peer does not answer
// or what it has could not be taken.
func (f *Follower) sync(ctx context.Context, peer string) error {
	f.count("crocuswing_view_syncs_total")
	v := f.Current()
	q := gossip.SyncRequest{
		From:        f.self.Name,
		Revision:    v.Config().Revision(),
		Digest:      v.Config().Digest(),
		ListVersion: v.Roster().Version(),
		ListDigest:  v.Roster().Digest(),
	}
	asked := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, syncTimeout)
	r, err := f.peers.Sync(callCtx, peer, q)
	cancel()
	if err != nil {
		if ctx.Err() == nil {
			f.count("crocuswing_view_sync_failures_total")
			f.contacts.RecordFailure(peer)
			f.judge()
		}
		return err
	}
	f.contacts.RecordSuccess(peer, r.Revision, r.Leaving)
	f.judge()
	f.take(ctx, peer, r)
	return f.confirm(r, asked)
}

// take accepts what a reply brings, or reads the peer's whole view if the reply does not bring it.
func (f *Follower) take(ctx context.Context, peer string, r gossip.SyncReply) {
	if r.Manifest != nil {
		_ = f.store.AcceptManifest(ctx, *r.Manifest, f.fetchFrom(peer))
	}
	if r.MemberList != nil {
		_ = f.store.AcceptMemberList(*r.MemberList)
	}
	v := f.Current()
	if r.Revision > v.Config().Revision() || r.ListVersion > v.Roster().Version() {
		_ = f.load(ctx, peer)
	}
}

// fetchFrom reads a value from a peer, or else from the platform.
func (f *Follower) fetchFrom(peer string) func(context.Context, manifest.Entry) ([]byte, error) {
	return func(ctx context.Context, e manifest.Entry) ([]byte, error) {
		callCtx, cancel := context.WithTimeout(ctx, syncTimeout)
		defer cancel()
		v, err := f.peers.Value(callCtx, peer, gossip.ValueRequest{Name: e.Name, Hash: e.Hash})
		if err == nil {
			return v.Content, nil
		}
		return f.fetch(ctx, e)
	}
}

// load reads the whole view of a peer, page by page. It goes on when ctx ends, since a view may be
// large, but only one load goes on at a time.
func (f *Follower) load(ctx context.Context, peer string) error {
	if !f.loading.CompareAndSwap(false, true) {
		return errBehind
	}
	defer f.loading.Store(false)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), loadTimeout)
	defer cancel()
	f.count("crocuswing_view_loads_total")
	v := f.Current()
	q := gossip.PageRequest{Revision: v.Config().Revision(), ListVersion: v.Roster().Version()}
	var m manifest.Manifest
	var l memberlist.List
	for {
		page, err := f.peers.Page(ctx, peer, q)
		if err != nil {
			return err
		}
		m.Revision, m.Digest = page.Manifest.Revision, page.Manifest.Digest
		l.Version, l.Digest = page.MemberList.Version, page.MemberList.Digest
		m.Entries = append(m.Entries, page.Manifest.Entries...)
		l.Members = append(l.Members, page.MemberList.Members...)
		q.ViewID, q.Offset = page.ViewID, page.NextOffset
		if page.NextOffset == 0 {
			break
		}
	}
	if l.Version > 0 {
		if err := f.store.AcceptMemberList(l); err != nil {
			return err
		}
	}
	if m.Revision > f.Current().Config().Revision() {
		return f.store.AcceptManifest(ctx, m, f.fetchFrom(peer))
	}
	return nil
}

// confirm takes over how fresh the peer's view is, as far as this instance now has the same.
// Ages count from the moment of asking: a reply that was long under way vouches for nothing newer.
func (f *Follower) confirm(r gossip.SyncReply, asked time.Time) error {
	v := f.Current()
	config, list := v.Config(), v.Roster()
	if r.Revision == config.Revision() && r.Revision > 0 && r.Digest != config.Digest() {
		err := &acceptor.ConflictError{Revision: r.Revision}
		f.store.RecordConflict(err)
		return err
	}
	if r.Revision > config.Revision() || r.ListVersion > list.Version() {
		return errBehind
	}
	f.store.UpdateFreshness(func(e freshness.Freshness) freshness.Freshness {
		if at, ok := momentOf(asked, r.ConfigAgeMS); ok && r.Revision == config.Revision() {
			e = e.WithConfig(at)
		}
		if at, ok := momentOf(asked, r.ListAgeMS); ok && r.ListVersion == list.Version() && r.ListDigest == list.Digest() {
			e = e.WithList(at)
		}
		if at, ok := momentOf(asked, r.OutageAgeMS); ok {
			e = e.WithOutage(at)
		}
		return e
	})
	return nil
}

func momentOf(asked time.Time, ageMS int64) (time.Time, bool) {
	return asked.Add(-time.Duration(ageMS) * time.Millisecond), ageMS >= 0
}
