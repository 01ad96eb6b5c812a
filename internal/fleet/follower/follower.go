// Package follower keeps the view up to date: a few instances of each failure domain watch the platform,
// the others learn from them, and any contact that shows a newer revision is followed up.
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
	watchWait     = time.Second            // of one watch of the platform
	retryWait     = 500 * time.Millisecond // after a failed read
	startWait     = 200 * time.Millisecond // between the first two tries to start, then twice as long each
	startMostWait = 5 * time.Second
	valueReads    = 1000                   // of the platform, a second, by all watchers
	coalesceWait  = 500 * time.Millisecond // mean time between the changes of a burst that are followed
	burstChanges  = 4                      // followed at once
	syncPeriod    = time.Second
	syncTimeout   = 500 * time.Millisecond
	loadTimeout   = 30 * time.Second
	readTimeout   = time.Second // of a read without wait
	refreshGrace  = 200 * time.Millisecond
	refreshPeers  = 3
	startTimeout  = 2 * time.Second
	stepInAfter   = 2500 * time.Millisecond // silence after which an instance reads the platform itself
	stepInJitter  = 750 * time.Millisecond
	dutyPoll      = 250 * time.Millisecond
	probeEvery    = 3 // syncs between two calls to a suspected peer
	heardCapacity = 16
)

// Platform is what the follower reads. A watch that ends without change gives the platform's own number
// and digest and takes the whole wait.
type Platform interface {
	Manifest(ctx context.Context, after uint64, wait time.Duration) (manifest.Manifest, bool, error)
	MemberList(ctx context.Context, after uint64, wait time.Duration) (memberlist.List, bool, error)
	Value(ctx context.Context, hash string) ([]byte, error)
}

// Peers calls other instances, known by their names or addresses.
type Peers interface {
	Sync(ctx context.Context, peer string, q gossip.SyncRequest) (gossip.SyncReply, error)
	Page(ctx context.Context, peer string, q gossip.PageRequest) (gossip.Page, error)
	Value(ctx context.Context, peer string, q gossip.ValueRequest) (gossip.Value, error)
}

// Follower keeps the present view. It is safe for concurrent use.
type Follower struct {
	self     member.Member
	platform Platform
	peers    Peers
	seeds    []string
	log      *zap.Logger
	count    func(metric string)
	store    *store.Store
	contacts *detector.Detector
	heard    chan news
	random   *rand.Rand // guarded by mu
	refresh  singleflight.Group
	stepIn   time.Duration
	started  atomic.Bool
	loading  atomic.Bool
	leaving  atomic.Bool

	mu        sync.Mutex
	failures  map[string]time.Time // of the platform, by what is read; absent while it can be read
	stood     plan
	values    map[string][]byte // read for a configuration that is not in force yet, by hash
	nextValue time.Time         // before which no value is read
}

// news tells that a peer has a higher revision; the name is empty if it is not known.
type news struct {
	peer     string
	revision uint64
}

// plan is the watcher plan with the view that it was made from.
type plan struct {
	watcher.Plan
	roster  roster.Roster
	avoided []string
	made    bool
}

// Option changes how a follower is made.
type Option func(*Follower)

// WithSeeds asks the peers at the given addresses as long as the list names no instance.
func WithSeeds(addresses []string) Option { return func(f *Follower) { f.seeds = addresses } }

// WithCounter raises metrics by name.
func WithCounter(count func(metric string)) Option { return func(f *Follower) { f.count = count } }

// WithRandomSeed fixes the sequence of random choices.
func WithRandomSeed(seed uint64) Option {
	return func(f *Follower) { f.random = rand.New(rand.NewPCG(seed, seed)) }
}

// New makes a follower for the instance self; changed is told each new view, one at a time.
func New(self member.Member, p Platform, peers Peers, c *detector.Detector, log *zap.Logger,
	changed func(view.View), options ...Option,
) *Follower {
	f := &Follower{
		self:     self,
		platform: p,
		peers:    peers,
		log:      log,
		count:    func(string) {},
		contacts: c,
		heard:    make(chan news, heardCapacity),
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		failures: make(map[string]time.Time),
		values:   make(map[string][]byte),
	}
	for _, o := range options {
		o(f)
	}
	f.stepIn = stepInAfter + time.Duration(f.pick(int(stepInJitter)))
	f.store = store.New(log, f.count, changed)
	return f
}

// Current is the present view, however old.
func (f *Follower) Current() view.View { return f.store.Current() }

// Store answers other instances.
func (f *Follower) Store() *store.Store { return f.store }

// Run follows platform and peers until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.start(ctx)
	var duties sync.WaitGroup
	duties.Go(func() { f.watch(ctx, f.followConfig) })
	duties.Go(func() { f.watch(ctx, f.followList) })
	duties.Go(func() { f.syncs(ctx) })
	duties.Go(func() { f.listen(ctx) })
	duties.Wait()
}

// ObserveRevision is told the revision of a frame from a peer, whose name may be empty if it is not known.
func (f *Follower) ObserveRevision(peer string, revision uint64) {
	if revision <= f.Current().Config().Revision() {
		return
	}
	select {
	case f.heard <- news{peer: peer, revision: revision}:
	default: // enough is waiting
	}
}

// HandleSync answers a peer's sync, and follows up if the peer has more.
func (f *Follower) HandleSync(q gossip.SyncRequest) gossip.SyncReply {
	f.ObserveRevision(q.From, q.Revision)
	r := f.store.Reply(q, time.Now())
	r.Leaving = f.leaving.Load()
	if failed := f.outage(); !failed.IsZero() {
		own := gossip.AgeMS(time.Since(failed))
		if r.OutageAgeMS < 0 || own < r.OutageAgeMS {
			r.OutageAgeMS = own
		}
	}
	return r
}

// SetLeaving tells peers that ask from now on that this instance leaves.
func (f *Follower) SetLeaving() { f.leaving.Store(true) }

// RecordLeaving notes that a peer leaves, or that this instance has told the others that it leaves.
func (f *Follower) RecordLeaving(peer string) {
	f.contacts.RecordLeaving(peer)
	f.judge()
}

// Started tells whether platform and peers were asked for the newest view.
func (f *Follower) Started() bool { return f.started.Load() }

// IsWatcher tells whether the instance reads the platform for others.
func (f *Follower) IsWatcher() bool { return f.plan().IsWatcher() }

// start asks platform and peers and takes the newest of what they have, until there is a view.
func (f *Follower) start(ctx context.Context) {
	for wait := startWait; ctx.Err() == nil; wait = min(2*wait, startMostWait) {
		asked, cancel := context.WithTimeout(ctx, startTimeout)
		f.ask(asked, func() bool { return false })
		if f.Current().Roster().Version() > 0 {
			f.ask(asked, func() bool { return false }) // those peers that the list names
		}
		cancel()
		if f.Current().IsFresh(time.Now()) {
			f.started.Store(true)
			return
		}
		pause.For(ctx, f.jitter(wait))
	}
}

// listen follows up what frames have told of higher revisions.
func (f *Follower) listen(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-f.heard:
			switch {
			case n.revision <= f.Current().Config().Revision(): // came meanwhile
			case n.peer == "":
				f.syncAny(ctx, nil)
			default:
				_ = f.sync(ctx, n.peer)
			}
		}
	}
}

// judge passes the judgement by contact on to the view.
func (f *Follower) judge() {
	if f.store.SetAvoided(f.contacts.Avoided(), f.contacts.Leaving()) {
		f.log.Info("peers judged by contact", zap.Strings("avoided", f.contacts.Avoided()))
	}
}

// plan gives the watcher plan of the present view.
func (f *Follower) plan() watcher.Plan {
	v := f.Current()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.stood.made || !f.stood.roster.SharesInstances(v.Roster()) || !slices.Equal(f.stood.avoided, v.Avoided()) {
		f.stood = plan{
			Plan:    watcher.New(f.self, v.ListedInstances(), v.Avoided()),
			roster:  v.Roster(),
			avoided: v.Avoided(),
			made:    true,
		}
	}
	return f.stood.Plan
}

// pick gives a random number from 0 to n-1.
func (f *Follower) pick(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// jitter spreads a period by a tenth to both sides.
func (f *Follower) jitter(period time.Duration) time.Duration {
	return period*9/10 + time.Duration(f.pick(int(period/5)))
}
