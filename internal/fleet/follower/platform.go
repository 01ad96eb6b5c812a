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

// Resources of the platform, as in logs and metrics.
const (
	resourceConfig = "configuration"
	resourceList   = "list"
)

// StaleError reports that the platform served an older revision or version than the one in force.
type StaleError struct {
	Resource        string
	Served, InForce uint64
}

// Error returns both numbers.
func (e *StaleError) Error() string {
	return fmt.Sprintf("platform served stale %s: got %d, %d is in force", e.Resource, e.Served, e.InForce)
}

// watch calls follow in a loop while the instance has to watch the platform. A burst of up to maxBurst changes is followed
// without delay; after that it pauses, so that several changes are read at once and the mean interval is batchInterval.
func (f *Follower) watch(ctx context.Context, follow func(context.Context, time.Duration) (bool, error)) {
	var burst time.Duration // batchInterval for each change, less the time since then; above maxBurst*batchInterval it pauses
	last := time.Now()
	for ctx.Err() == nil {
		if !f.mustWatch() {
			pause.For(ctx, roleCheckInterval)
			continue
		}
		changed, err := follow(ctx, watchTimeout)
		switch {
		case err != nil:
			pause.For(ctx, f.jitter(readRetryDelay))
		case changed:
			burst = max(burst-time.Since(last), 0) + batchInterval
			last = time.Now()
			pause.For(ctx, burst-maxBurst*batchInterval)
		}
	}
}

// mustWatch reports whether to watch the platform: the instance is a watcher, or for longer than fallbackAfter its view was not
// confirmed and no peer reported an outage of the platform.
func (f *Follower) mustWatch() bool {
	if f.IsWatcher() {
		return true
	}
	now, fr := time.Now(), f.Current().Freshness()
	return min(fr.Age(now), freshness.Since(now, fr.Outage())) > f.fallbackAfter
}

// recordRead records the outcome of a read of the platform. Each failure is counted; only changes between success and failure
// are logged. Reads that were canceled are ignored.
func (f *Follower) recordRead(ctx context.Context, resource string, err error) {
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return
	}
	f.mu.Lock()
	_, failing := f.platformFailures[resource]
	if err == nil {
		delete(f.platformFailures, resource)
	} else {
		f.platformFailures[resource] = time.Now()
	}
	f.mu.Unlock()
	if err != nil {
		f.incMetric(fmt.Sprintf("crocuswing_platform_failures_total{what=%q,cause=%q}", resource, causeOf(err)))
	}
	switch {
	case err != nil && !failing:
		f.log.Warn("platform cannot be followed", zap.String("what", resource), zap.Error(err))
	case err == nil && failing:
		f.log.Info("platform is followed again", zap.String("what", resource))
	}
}

func causeOf(err error) string {
	var stale *StaleError
	if errors.As(err, &stale) {
		return "stale"
	}
	return "unreadable"
}

// lastFailure returns the last time at which this instance could not read the platform; zero if the last reads succeeded.
func (f *Follower) lastFailure() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	var last time.Time
	for _, at := range f.platformFailures {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// PlatformFailing reports whether the last read of a resource of the platform by this instance failed.
func (f *Follower) PlatformFailing() bool { return !f.lastFailure().IsZero() }

// followConfig reads or watches the configuration once and reports whether it changed.
func (f *Follower) followConfig(ctx context.Context, wait time.Duration) (bool, error) {
	changed, err := f.readConfig(ctx, wait)
	f.recordRead(ctx, resourceConfig, err)
	return changed, err
}

func (f *Follower) readConfig(ctx context.Context, wait time.Duration) (bool, error) {
	sentAt := time.Now()
	after := f.Current().Config().Revision()
	m, changed, err := f.platform.Manifest(ctx, after, wait)
	if err != nil {
		return false, err
	}
	if changed {
		if m, err = f.acceptConfig(ctx, m); err != nil {
			return false, err
		}
		f.clearFetched()
	}
	inForce := f.Current().Config()
	switch {
	case m.Revision < inForce.Revision():
		return false, &StaleError{Resource: resourceConfig, Served: m.Revision, InForce: inForce.Revision()}
	case m.Revision > inForce.Revision():
		return false, nil
	case m.Digest != inForce.Digest():
		err := &acceptor.ConflictError{Revision: m.Revision}
		f.store.RecordConflict(err)
		return false, err
	}
	confirmedAt := sentAt.Add(m.HoldTime) // not the current time: the answer may have been delayed in this process
	f.store.UpdateFreshness(func(fr freshness.Freshness) freshness.Freshness { return fr.WithConfig(confirmedAt) })
	return changed, nil
}

// acceptConfig accepts a change and, if it does not fit, reads the complete configuration. It returns the accepted manifest.
func (f *Follower) acceptConfig(ctx context.Context, m manifest.Manifest) (manifest.Manifest, error) {
	err := f.store.AcceptManifest(ctx, m, f.fetchValue)
	if m.IsComplete() || !store.NeedsFullRead(err) {
		return m, err
	}
	m, _, err = f.platform.Manifest(ctx, 0, 0)
	if err != nil {
		return m, err
	}
	return m, f.store.AcceptManifest(ctx, m, f.fetchValue)
}

// fetchValue reads a value from the platform. Values are kept until a configuration is accepted, so that a read that is
// interrupted can be resumed.
func (f *Follower) fetchValue(ctx context.Context, e manifest.Entry) ([]byte, error) {
	if value, ok := f.fetchedValue(e.Hash); ok {
		return value, nil
	}
	if err := f.waitForValueRead(ctx); err != nil {
		return nil, err
	}
	value, err := f.platform.Value(ctx, e.Hash)
	if err == nil && manifest.Hash(value) == e.Hash {
		f.keepFetched(e.Hash, value)
	}
	return value, err
}

// waitForValueRead delays the reads of values so that all watchers together stay within valueReadsPerSecond.
func (f *Follower) waitForValueRead(ctx context.Context) error {
	p := f.plan()
	watchers := max(1+len(p.SameDomain())+len(p.OtherDomains()), 1+len(f.seeds))
	f.mu.Lock()
	next := f.nextValueRead
	f.nextValueRead = latest(next, time.Now()).Add(time.Duration(watchers) * time.Second / valueReadsPerSecond)
	f.mu.Unlock()
	pause.For(ctx, time.Until(next))
	return ctx.Err()
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (f *Follower) fetchedValue(hash string) ([]byte, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	value, ok := f.fetched[hash]
	return value, ok
}

func (f *Follower) keepFetched(hash string, value []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetched[hash] = value
}

// clearFetched drops the kept values after a configuration has been accepted.
func (f *Follower) clearFetched() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.fetched)
}

// followList reads or watches the list once and reports whether it changed.
func (f *Follower) followList(ctx context.Context, wait time.Duration) (bool, error) {
	changed, err := f.readList(ctx, wait)
	f.recordRead(ctx, resourceList, err)
	return changed, err
}

func (f *Follower) readList(ctx context.Context, wait time.Duration) (bool, error) {
	sentAt := time.Now()
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
	inForce := f.Current().Roster()
	if l.Version < inForce.Version() {
		return false, &StaleError{Resource: resourceList, Served: l.Version, InForce: inForce.Version()}
	}
	if l.Version > inForce.Version() || l.Digest != inForce.Digest() {
		return false, &roster.Error{Version: l.Version, Reason: "differs from the list in force"}
	}
	confirmedAt := sentAt.Add(l.HoldTime)
	f.store.UpdateFreshness(func(fr freshness.Freshness) freshness.Freshness { return fr.WithList(confirmedAt) })
	return changed, nil
}
