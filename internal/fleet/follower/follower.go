// Package follower keeps the view of an instance up to date. The watchers of each failure domain watch the platform; the other
// instances sync with them periodically. In addition, each frame between instances carries the revision of its sender, and an
// instance that receives a higher revision than its own syncs at once.
//
// The entry handler gets the view for each request from Fresh, which fails if the view was not confirmed recently.
package follower

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"crocuswing/internal/fleet/detector"
	"crocuswing/internal/fleet/member"
	"crocuswing/internal/fleet/roster"
	"crocuswing/internal/fleet/store"
	"crocuswing/internal/fleet/view"
	"crocuswing/internal/fleet/watcher"
	"crocuswing/internal/task/pause"
	"crocuswing/internal/wire/gossip"
	"crocuswing/internal/wire/manifest"
	"crocuswing/internal/wire/memberlist"

	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"
)

const (
	watchTimeout        = time.Second            // maximum duration of one watch of the platform
	readRetryDelay      = 500 * time.Millisecond // after a failed read of the platform
	minStartDelay       = 200 * time.Millisecond // between the first two rounds of start; doubled after each round
	maxStartDelay       = 5 * time.Second
	valueReadsPerSecond = 1000                   // of the platform, by all watchers together
	batchInterval       = 500 * time.Millisecond // mean time between reads while the platform changes continuously
	maxBurst            = 4                      // changes that are followed without delay
	syncInterval        = time.Second
	syncTimeout         = 500 * time.Millisecond
	loadTimeout         = 30 * time.Second
	readTimeout         = time.Second            // of a read that does not watch
	refreshGrace        = 200 * time.Millisecond // for slower replies that may be newer
	refreshPeers        = 3
	startTimeout        = 2 * time.Second         // of one round of start
	fallbackAfter       = 2500 * time.Millisecond // without confirmation, until an instance that is not a watcher reads the platform
	fallbackJitter      = 750 * time.Millisecond
	roleCheckInterval   = 250 * time.Millisecond
	syncsPerProbe       = 3 // a suspected peer is called once per this number of syncs
	hintCapacity        = 16
)

// Platform reads configuration and member list from the platform. With a wait, a read watches for a change; if there is
// none, it returns after the whole wait with the platform's current revision or version, and digest.
type Platform interface {
	Manifest(ctx context.Context, after uint64, wait time.Duration) (manifest.Manifest, bool, error)
	MemberList(ctx context.Context, after uint64, wait time.Duration) (memberlist.List, bool, error)
	Value(ctx context.Context, hash string) ([]byte, error)
}

// Peers calls other instances, identified by name or address.
type Peers interface {
	Sync(ctx context.Context, peer string, req gossip.SyncRequest) (gossip.SyncReply, error)
	Page(ctx context.Context, peer string, req gossip.PageRequest) (gossip.Page, error)
	Value(ctx context.Context, peer string, req gossip.ValueRequest) (gossip.Value, error)
}

// Follower maintains the current view. It is safe for concurrent use.
type Follower struct {
	self          member.Member
	platform      Platform
	peers         Peers
	seeds         []string
	log           *zap.Logger
	incMetric     func(metric string)
	store         *store.Store
	detector      *detector.Detector
	hints         chan revisionHint
	rng           *rand.Rand // guarded by mu
	refresh       singleflight.Group
	fallbackAfter time.Duration
	started       atomic.Bool
	loading       atomic.Bool
	leaving       atomic.Bool

	mu               sync.Mutex
	platformFailures map[string]time.Time // last failed read by resource; absent if the last read succeeded
	cached           cachedPlan
	fetched          map[string][]byte // by hash; values read for a configuration that is not yet in force
	nextValueRead    time.Time         // earliest time of the next read of a value
}

// revisionHint reports that a peer has a higher revision. The name is empty if unknown.
type revisionHint struct {
	peer     string
	revision uint64
}

// cachedPlan is the watcher plan with the parts of the view from which it was computed.
type cachedPlan struct {
	watcher.Plan
	roster  roster.Roster
	avoided []string
	valid   bool
}

// Option configures a Follower.
type Option func(*Follower)

// WithSeeds sets the addresses of the peers that are called while the list names no other instance.
func WithSeeds(addresses []string) Option { return func(f *Follower) { f.seeds = addresses } }

// WithCounter sets the function that increments a counter metric by name.
func WithCounter(inc func(metric string)) Option { return func(f *Follower) { f.incMetric = inc } }

// WithRandomSeed sets the seed of the random choices.
func WithRandomSeed(seed uint64) Option {
	return func(f *Follower) { f.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns a follower for the instance self. It calls onChange with each new view, one at a time.
func New(self member.Member, p Platform, peers Peers, d *detector.Detector, log *zap.Logger,
	onChange func(view.View), options ...Option,
) *Follower {
	f := &Follower{
		self:             self,
		platform:         p,
		peers:            peers,
		log:              log,
		incMetric:        func(string) {},
		detector:         d,
		hints:            make(chan revisionHint, hintCapacity),
		rng:              rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		platformFailures: make(map[string]time.Time),
		fetched:          make(map[string][]byte),
	}
	for _, o := range options {
		o(f)
	}
	f.fallbackAfter = fallbackAfter + time.Duration(f.randN(int(fallbackJitter)))
	f.store = store.New(log, f.incMetric, onChange)
	return f
}

// Current returns the current view, whatever its age.
func (f *Follower) Current() view.View { return f.store.Current() }

// Store returns the store from which other instances are answered.
func (f *Follower) Store() *store.Store { return f.store }

// Run follows the platform and peers until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	f.start(ctx)
	var loops sync.WaitGroup
	loops.Go(func() { f.watch(ctx, f.followConfig) })
	loops.Go(func() { f.watch(ctx, f.followList) })
	loops.Go(func() { f.syncLoop(ctx) })
	loops.Go(func() { f.followHints(ctx) })
	loops.Wait()
}

// ObserveRevision handles the revision of a frame from a peer, whose name is empty if unknown. It does not block: if the queue
// is full, the revision is dropped.
func (f *Follower) ObserveRevision(peer string, revision uint64) {
	if revision <= f.Current().Config().Revision() {
		return
	}
	select {
	case f.hints <- revisionHint{peer: peer, revision: revision}:
	default: // the queued hints lead to a sync anyway
	}
}

// HandleSync returns the reply to a peer's sync. If the peer has a higher revision, it also schedules a sync with that peer.
func (f *Follower) HandleSync(req gossip.SyncRequest) gossip.SyncReply {
	f.ObserveRevision(req.From, req.Revision)
	reply := f.store.Reply(req, time.Now())
	reply.Leaving = f.leaving.Load()
	if failedAt := f.lastFailure(); !failedAt.IsZero() {
		ageMS := gossip.AgeMS(time.Since(failedAt))
		if reply.OutageAgeMS < 0 || ageMS < reply.OutageAgeMS {
			reply.OutageAgeMS = ageMS
		}
	}
	return reply
}

// SetLeaving announces in later sync replies that this instance is leaving.
func (f *Follower) SetLeaving() { f.leaving.Store(true) }

// RecordLeaving records that an instance announced that it is leaving: a peer or this instance itself.
func (f *Follower) RecordLeaving(peer string) {
	f.detector.RecordLeaving(peer)
	f.updateAvoided()
}

// Started reports whether the platform and peers were initially read and yielded a fresh view.
func (f *Follower) Started() bool { return f.started.Load() }

// IsWatcher reports whether the instance watches the platform on behalf of others.
func (f *Follower) IsWatcher() bool { return f.plan().IsWatcher() }

// start reads the platform and peers, with increasing delays, until there is a fresh view.
func (f *Follower) start(ctx context.Context) {
	for delay := minStartDelay; ctx.Err() == nil; delay = min(2*delay, maxStartDelay) {
		startCtx, cancel := context.WithTimeout(ctx, startTimeout)
		f.readNewest(startCtx, func() bool { return false })
		if f.Current().Roster().Version() > 0 {
			f.readNewest(startCtx, func() bool { return false }) // the list may name peers that are not seeds
		}
		cancel()
		if f.Current().IsFresh(time.Now()) {
			f.started.Store(true)
			return
		}
		pause.For(ctx, f.jitter(delay))
	}
}

// followHints syncs with peers whose frames carried a higher revision.
func (f *Follower) followHints(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case hint := <-f.hints:
			switch {
			case hint.revision <= f.Current().Config().Revision(): // already in force
			case hint.peer == "":
				f.syncAny(ctx, nil)
			default:
				_ = f.syncWith(ctx, hint.peer)
			}
		}
	}
}

// updateAvoided sets the avoided instances of the view from the failure detector.
func (f *Follower) updateAvoided() {
	if f.store.SetAvoided(f.detector.Avoided(), f.detector.Leaving()) {
		f.log.Info("peers judged by contact", zap.Strings("avoided", f.detector.Avoided()))
	}
}

// plan returns the watcher plan of the current view. It recomputes the plan only if the instances have changed.
func (f *Follower) plan() watcher.Plan {
	v := f.Current()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.cached.valid || !f.cached.roster.SharesInstances(v.Roster()) || !slices.Equal(f.cached.avoided, v.Avoided()) {
		f.cached = cachedPlan{
			Plan:    watcher.New(f.self, v.ListedInstances(), v.Avoided()),
			roster:  v.Roster(),
			avoided: v.Avoided(),
			valid:   true,
		}
	}
	return f.cached.Plan
}

// randN returns a random number in [0, n).
func (f *Follower) randN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(n)
}

// jitter returns the period varied randomly by up to 10% in either direction.
func (f *Follower) jitter(period time.Duration) time.Duration {
	return period*9/10 + time.Duration(f.randN(int(period/5)))
}
