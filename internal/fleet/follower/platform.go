package follower

import (
	"context"
	"errors"
	"fmt"
	"time"

	"crocuswing/internal/config/acceptor"
	"crocuswing/internal/fleet/freshness"
	"crocuswing/internal/fleet/roster"
	"crocuswing/internal/fleet/store"
	"crocuswing/internal/task/pause"
	"crocuswing/internal/wire/manifest"

	"go.uber.org/zap"
)

// What is read from the platform.
const (
	whatConfig = "configuration"
	whatList   = "list"
)

// StaleError tells that the platform serves an older copy than the one in force.
type StaleError struct {
	What            string
	Served, InForce uint64
}

// Error gives both numbers.
func (e *StaleError) Error() string {
	return fmt.Sprintf("platform serves %s %d, which is below %d", e.What, e.Served, e.InForce)
}

// watch reads the platform again and again while this is the instance's duty. A few changes are
// followed at once; then a pause after each lets the others of a burst come in one.
func (f *Follower) watch(ctx context.Context, follow func(context.Context, time.Duration) (bool, error)) {
	var spent time.Duration // of the burst that may be followed at once
	last := time.Now()
	for ctx.Err() == nil {
		if !f.isOnDuty() {
			pause.For(ctx, dutyPoll)
			continue
		}
		changed, err := follow(ctx, watchWait)
		switch {
		case err != nil:
			pause.For(ctx, f.jitter(retryWait))
		case changed:
			spent = max(spent-time.Since(last), 0) + coalesceWait
			last = time.Now()
			pause.For(ctx, spent-burstChanges*coalesceWait)
		}
	}
}

// isOnDuty tells whether to watch: the plan says so, or the watchers have been silent for too long.
func (f *Follower) isOnDuty() bool {
	if f.IsWatcher() {
		return true
	}
	now, e := time.Now(), f.Current().Freshness()
	return min(e.Age(now), freshness.Since(now, e.Outage())) > f.stepIn
}

// note records whether a read of the platform succeeded; changes are logged, each failure is counted.
func (f *Follower) note(ctx context.Context, what string, err error) {
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return
	}
	f.mu.Lock()
	_, failing := f.failures[what]
	if err == nil {
		delete(f.failures, what)
	} else {
		f.failures[what] = time.Now()
	}
	f.mu.Unlock()
	if err != nil {
		f.count(fmt.Sprintf("crocuswing_platform_failures_total{what=%q,cause=%q}", what, causeOf(err)))
	}
	switch {
	case err != nil && !failing:
		f.log.Warn("platform cannot be followed", zap.String("what", what), zap.Error(err))
	case err == nil && failing:
		f.log.Info("platform is followed again", zap.String("what", what))
	}
}

func causeOf(err error) string {
	var stale *StaleError
	if errors.As(err, &stale) {
		return "stale"
	}
	return "unreadable"
}

// outage is the last moment at which the platform could not be read by this instance; zero while it can be.
func (f *Follower) outage() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	var last time.Time
	for _, at := range f.failures {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// PlatformFailing tells since its last read whether the platform could not be followed by this instance.
func (f *Follower) PlatformFailing() bool { return !f.outage().IsZero() }

// followConfig reads or watches the configuration once and reports whether it changed.
func (f *Follower) followConfig(ctx context.Context, wait time.Duration) (bool, error) {
	changed, err := f.readConfig(ctx, wait)
	f.note(ctx, whatConfig, err)
	return changed, err
}

func (f *Follower) readConfig(ctx context.Context, wait time.Duration) (bool, error) {
	asked := time.Now()
	after := f.Current().Config().Revision()
	m, changed, err := f.platform.Manifest(ctx, after, wait)
	if err != nil {
		return false, err
	}
	if changed {
		if m, err = f.acceptConfig(ctx, m); err != nil {
			return false, err
		}
		f.accepted()
	}
	now := f.Current().Config()
	switch {
	case m.Revision < now.Revision():
		return false, &StaleError{What: whatConfig, Served: m.Revision, InForce: now.Revision()}
	case m.Revision > now.Revision():
		return false, nil
	case m.Digest != now.Digest():
		err := &acceptor.ConflictError{Revision: m.Revision}
		f.store.RecordConflict(err)
		return false, err
	}
	at := asked.Add(m.HoldTime) // an answer may have waited in this process since it was given
	f.store.UpdateFreshness(func(e freshness.Freshness) freshness.Freshness { return e.WithConfig(at) })
	return changed, nil
}

// acceptConfig takes a change, or reads the whole if the change does not fit. It gives what was accepted.
func (f *Follower) acceptConfig(ctx context.Context, m manifest.Manifest) (manifest.Manifest, error) {
	err := f.store.AcceptManifest(ctx, m, f.fetch)
	if m.IsComplete() || !store.NeedsWhole(err) {
		return m, err
	}
	m, _, err = f.platform.Manifest(ctx, 0, 0)
	if err != nil {
		return m, err
	}
	return m, f.store.AcceptManifest(ctx, m, f.fetch)
}

// fetch reads a value from the platform. What was read is kept until a configuration is accepted,
// so that an attempt that ends early is not in vain.
func (f *Follower) fetch(ctx context.Context, e manifest.Entry) ([]byte, error) {
	if text, ok := f.kept(e.Hash); ok {
		return text, nil
	}
	if err := f.pace(ctx); err != nil {
		return nil, err
	}
	text, err := f.platform.Value(ctx, e.Hash)
	if err == nil && manifest.Hash(text) == e.Hash {
		f.keep(e.Hash, text)
	}
	return text, err
}

// pace spaces the reads of values so that all watchers together stay within the platform's rate.
func (f *Follower) pace(ctx context.Context) error {
	p := f.plan()
	watchers := max(1+len(p.SameDomain())+len(p.OtherDomains()), 1+len(f.seeds))
	f.mu.Lock()
	next := f.nextValue
	f.nextValue = laterOf(next, time.Now()).Add(time.Duration(watchers) * time.Second / valueReads)
	f.mu.Unlock()
	pause.For(ctx, time.Until(next))
	return ctx.Err()
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (f *Follower) kept(hash string) ([]byte, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	text, ok := f.values[hash]
	return text, ok
}

func (f *Follower) keep(hash string, text []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.values[hash] = text
}

// accepted drops the values that were kept for the configuration that is now in force.
func (f *Follower) accepted() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.values)
}

// followList reads or watches the list once and reports whether it changed.
func (f *Follower) followList(ctx context.Context, wait time.Duration) (bool, error) {
	changed, err := f.readList(ctx, wait)
	f.note(ctx, whatList, err)
	return changed, err
}

func (f *Follower) readList(ctx context.Context, wait time.Duration) (bool, error) {
	asked := time.Now()
	l, changed, err := f.platform.MemberList(ctx, f.Current().Roster().Version(), wait)
	if err != nil {
		return false, err
	}
	if changed {
		err = f.store.AcceptMemberList(l)
		var refused *roster.Error
		if errors.As(err, &refused) && !l.IsComplete() {
			if l, _, err = f.platform.MemberList(ctx, 0, 0); err == nil {
				err = f.store.AcceptMemberList(l)
			}
		}
		if err != nil {
			return false, err
		}
	}
	now := f.Current().Roster()
	if l.Version < now.Version() {
		return false, &StaleError{What: whatList, Served: l.Version, InForce: now.Version()}
	}
	if l.Version > now.Version() || l.Digest != now.Digest() {
		return false, &roster.Error{Version: l.Version, Reason: "is listed with other members"}
	}
	at := asked.Add(l.HoldTime)
	f.store.UpdateFreshness(func(e freshness.Freshness) freshness.Freshness { return e.WithList(at) })
	return changed, nil
}
