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

var errNotAccepted = errors.New("peer's view could not be taken")

// syncLoop syncs with a peer every syncInterval. At every syncsPerProbe-th sync it also calls a suspected peer, to detect its
// recovery.
func (f *Follower) syncLoop(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		pause.For(ctx, f.jitter(syncInterval))
		f.detector.Retain(f.isListed)
		if suspected := f.detector.Suspected(); n%syncsPerProbe == 0 && len(suspected) > 0 {
			_ = f.syncWith(ctx, suspected[f.randN(len(suspected))])
		}
		f.syncAny(ctx, f.detector.Suspected())
	}
}

func (f *Follower) isListed(peer string) bool {
	_, ok := f.Current().Roster().Member(peer)
	return ok
}

// syncAny syncs with a watcher that is not excluded and, if that fails, with another one.
func (f *Follower) syncAny(ctx context.Context, excluded []string) {
	for range 2 {
		peer, ok := f.pickTarget(excluded)
		if !ok || f.syncWith(ctx, peer) == nil {
			return
		}
		excluded = append(excluded, peer)
	}
}

// pickTarget returns a random watcher to sync with that is not excluded. A watcher picks among the watchers of all failure domains,
// another instance among those of its own domain, or of all if none is left there. The seeds are used while the list names no
// other instance.
func (f *Follower) pickTarget(excluded []string) (string, bool) {
	p := f.plan()
	candidates := p.SameDomain()
	if p.IsWatcher() || len(candidates) == 0 {
		candidates = append(slices.Clone(p.SameDomain()), p.OtherDomains()...)
	}
	candidates = exclude(candidates, excluded)
	if len(candidates) == 0 {
		candidates = exclude(slices.Concat(p.SameDomain(), p.OtherDomains()), excluded)
	}
	if len(candidates) == 0 && len(f.Current().ListedInstances()) <= 1 {
		candidates = exclude(f.seeds, excluded)
	}
	if len(candidates) == 0 {
		return "", false
	}
	return candidates[f.randN(len(candidates))], true
}

// exclude returns the names that are not in excluded.
func exclude(names, excluded []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return slices.Contains(excluded, name) })
}

// syncWith compares views with a peer and accepts what is newer there. It fails if the peer does not answer or its view could
// not be accepted.
func (f *Follower) syncWith(ctx context.Context, peer string) error {
	f.incMetric("crocuswing_view_syncs_total")
	v := f.Current()
	req := gossip.SyncRequest{
		From:        f.self.Name,
		Revision:    v.Config().Revision(),
		Digest:      v.Config().Digest(),
		ListVersion: v.Roster().Version(),
		ListDigest:  v.Roster().Digest(),
	}
	sentAt := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, syncTimeout)
	reply, err := f.peers.Sync(callCtx, peer, req)
	cancel()
	if err != nil {
		if ctx.Err() == nil {
			f.incMetric("crocuswing_view_sync_failures_total")
			f.detector.RecordFailure(peer)
			f.updateAvoided()
		}
		return err
	}
	f.detector.RecordSuccess(peer, reply.Revision, reply.Leaving)
	f.updateAvoided()
	f.acceptReply(ctx, peer, reply)
	return f.confirmFreshness(reply, sentAt)
}

// acceptReply accepts the changes in a reply, and reads the peer's complete view if that is still newer.
func (f *Follower) acceptReply(ctx context.Context, peer string, reply gossip.SyncReply) {
	if reply.Manifest != nil {
		_ = f.store.AcceptManifest(ctx, *reply.Manifest, f.fetchFromPeer(peer))
	}
	if reply.MemberList != nil {
		_ = f.store.AcceptMemberList(*reply.MemberList)
	}
	v := f.Current()
	if reply.Revision > v.Config().Revision() || reply.ListVersion > v.Roster().Version() {
		_ = f.loadView(ctx, peer)
	}
}

// fetchFromPeer returns a function that reads a value from a peer and, if that fails, from the platform.
func (f *Follower) fetchFromPeer(peer string) func(context.Context, manifest.Entry) ([]byte, error) {
	return func(ctx context.Context, e manifest.Entry) ([]byte, error) {
		callCtx, cancel := context.WithTimeout(ctx, syncTimeout)
		defer cancel()
		v, err := f.peers.Value(callCtx, peer, gossip.ValueRequest{Name: e.Name, Hash: e.Hash})
		if err == nil {
			return v.Content, nil
		}
		return f.fetchValue(ctx, e)
	}
}

// loadView reads the complete view of a peer, page by page. It is bounded by loadTimeout and not by ctx, because a view may
// be large. Only one load runs at a time.
func (f *Follower) loadView(ctx context.Context, peer string) error {
	if !f.loading.CompareAndSwap(false, true) {
		return errNotAccepted
	}
	defer f.loading.Store(false)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), loadTimeout)
	defer cancel()
	f.incMetric("crocuswing_view_loads_total")
	v := f.Current()
	req := gossip.PageRequest{Revision: v.Config().Revision(), ListVersion: v.Roster().Version()}
	var m manifest.Manifest
	var l memberlist.List
	for {
		page, err := f.peers.Page(ctx, peer, req)
		if err != nil {
			return err
		}
		m.Revision, m.Digest = page.Manifest.Revision, page.Manifest.Digest
		l.Version, l.Digest = page.MemberList.Version, page.MemberList.Digest
		m.Entries = append(m.Entries, page.Manifest.Entries...)
		l.Members = append(l.Members, page.MemberList.Members...)
		req.ViewID, req.Offset = page.ViewID, page.NextOffset
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
		return f.store.AcceptManifest(ctx, m, f.fetchFromPeer(peer))
	}
	return nil
}

// confirmFreshness applies the freshness of the peer's view to the current view, as far as both have the same configuration and
// list. Ages are relative to sentAt, so that a delayed reply does not make the view look fresher than it is. It fails if the
// peer's view is newer or has another configuration with the same revision.
func (f *Follower) confirmFreshness(reply gossip.SyncReply, sentAt time.Time) error {
	v := f.Current()
	config, list := v.Config(), v.Roster()
	if reply.Revision == config.Revision() && reply.Revision > 0 && reply.Digest != config.Digest() {
		err := &acceptor.ConflictError{Revision: reply.Revision}
		f.store.RecordConflict(err)
		return err
	}
	if reply.Revision > config.Revision() || reply.ListVersion > list.Version() {
		return errNotAccepted
	}
	f.store.UpdateFreshness(func(fr freshness.Freshness) freshness.Freshness {
		if at, ok := timeAtAge(sentAt, reply.ConfigAgeMS); ok && reply.Revision == config.Revision() {
			fr = fr.WithConfig(at)
		}
		if at, ok := timeAtAge(sentAt, reply.ListAgeMS); ok && reply.ListVersion == list.Version() && reply.ListDigest == list.Digest() {
			fr = fr.WithList(at)
		}
		if at, ok := timeAtAge(sentAt, reply.OutageAgeMS); ok {
			fr = fr.WithOutage(at)
		}
		return fr
	})
	return nil
}

// timeAtAge returns the time that was ageMS before sentAt, and false if the age is unknown.
func timeAtAge(sentAt time.Time, ageMS int64) (time.Time, bool) {
	return sentAt.Add(-time.Duration(ageMS) * time.Millisecond), ageMS >= 0
}
