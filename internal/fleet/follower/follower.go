// Package follower keeps the view up to date with what the platform publishes.
package follower

import (
	"context"
	"errors"
	"sync"
	"time"

	"crocuswing/internal/config/acceptance"
	"crocuswing/internal/config/set"
	"crocuswing/internal/fleet/roster"
	"crocuswing/internal/fleet/view"
	"crocuswing/internal/wire/listing"
	"crocuswing/internal/wire/manifest"

	"go.uber.org/zap"
)

const (
	watchWait   = time.Second
	retryWait   = 200 * time.Millisecond
	refreshWait = time.Second
)

// Platform is what the follower reads.
type Platform interface {
	Manifest(ctx context.Context, after uint64, wait time.Duration) (manifest.Manifest, bool, error)
	Listing(ctx context.Context, after uint64, wait time.Duration) (listing.Listing, bool, error)
	Value(ctx context.Context, hash string) ([]byte, error)
}

// Follower holds the present view. It is safe for concurrent use.
type Follower struct {
	platform   Platform
	acceptance acceptance.Acceptance
	log        *zap.Logger
	changed    func(view.View)

	mu      sync.Mutex
	view    view.View
	values  map[string][]byte // by hash, those of the configuration in force
	configs time.Time         // last confirmation of the configuration
	lists   time.Time         // last confirmation of the list
}

// New makes a follower; changed is told each new view, one at a time.
func New(p Platform, log *zap.Logger, changed func(view.View)) *Follower {
	return &Follower{platform: p, log: log, changed: changed, values: make(map[string][]byte)}
}

// Current is the present view.
func (f *Follower) Current() view.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

// Run follows the platform until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { f.loop(ctx, "configuration", f.followConfig) })
	duties.Go(func() { f.loop(ctx, "list", f.followList) })
	duties.Wait()
}

// Refresh reads the platform once. It fails if the platform cannot be read.
func (f *Follower) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, refreshWait)
	defer cancel()
	return errors.Join(f.followConfig(ctx, 0), f.followList(ctx, 0))
}

func (f *Follower) loop(ctx context.Context, what string, follow func(context.Context, time.Duration) error) {
	failing := false
	for ctx.Err() == nil {
		err := follow(ctx, watchWait)
		if err == nil {
			failing = false
			continue
		}
		if !failing && ctx.Err() == nil {
			f.log.Warn("platform cannot be followed", zap.String("what", what), zap.Error(err))
		}
		failing = true
		sleep(ctx, retryWait)
	}
}

func (f *Follower) followConfig(ctx context.Context, wait time.Duration) error {
	m, changed, err := f.platform.Manifest(ctx, f.acceptance.Current().Revision(), wait)
	if err != nil {
		return err
	}
	if changed {
		if err := f.acceptManifest(ctx, m); err != nil {
			return err
		}
	}
	f.confirm(func() { f.configs = time.Now() })
	return nil
}

func (f *Follower) acceptManifest(ctx context.Context, m manifest.Manifest) error {
	values := make(map[string][]byte, len(m.Entries))
	held := make(map[string][]byte, len(m.Entries))
	for _, e := range m.Entries {
		text, err := f.value(ctx, e.Hash)
		if err != nil {
			return err
		}
		values[e.Name] = text
		held[e.Hash] = text
	}
	s, err := set.Parse(m.Revision, values)
	if err != nil {
		return err
	}
	accepted, err := f.acceptance.Accept(s)
	if err != nil || !accepted {
		return err
	}
	f.log.Info("configuration in force", zap.Uint64("revision", s.Revision()), zap.String("preset", s.Preset().Name))
	f.mu.Lock()
	f.values = held
	f.mu.Unlock()
	f.replace(func(v view.View) view.View { return v.WithConfig(s) })
	return nil
}

func (f *Follower) value(ctx context.Context, hash string) ([]byte, error) {
	f.mu.Lock()
	text, ok := f.values[hash]
	f.mu.Unlock()
	if ok {
		return text, nil
	}
	return f.platform.Value(ctx, hash)
}

func (f *Follower) followList(ctx context.Context, wait time.Duration) error {
	l, changed, err := f.platform.Listing(ctx, f.Current().Roster().Version(), wait)
	if err != nil {
		return err
	}
	if changed {
		f.replace(func(v view.View) view.View {
			if l.Version <= v.Roster().Version() {
				return v
			}
			return v.WithRoster(roster.New(l.Version, l.Members))
		})
	}
	f.confirm(func() { f.lists = time.Now() })
	return nil
}

// replace changes the view and tells it onward in order.
func (f *Follower) replace(change func(view.View) view.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = change(f.view)
	f.changed(f.view)
}

// confirm notes a contact; the view is as old as its older half.
func (f *Follower) confirm(note func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	note()
	older := f.configs
	if f.lists.Before(older) {
		older = f.lists
	}
	f.view = f.view.WithConfirmed(older)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
