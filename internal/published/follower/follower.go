// Package follower polls the platform's store, or another instance in its place, and keeps this instance's view of the published
// state up to date. The rest of the instance routes by the view it holds.
package follower

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"crocuswing/internal/published/change"
	"crocuswing/internal/published/state"
	"crocuswing/internal/task/pause"

	"go.uber.org/zap"
)

const (
	// returnTime is the time after an outage of the store within which upstreams that are up have registered again.
	returnTime = 2 * time.Second
	// changesTimeout is long enough for an ancestor in the tree of instances to time out and the store to answer afterwards.
	changesTimeout = 4 * time.Second
	// maxTransit is the longest one-way network latency between regions.
	maxTransit = 50 * time.Millisecond
	// relayTime is the longest time that a change takes from the store through the three levels of the tree of instances.
	relayTime = 4 * maxTransit
	// relayedDelay is the minimum time between the starts of two reads while another instance answers. It keeps a rapid series of
	// changes from using the whole CPU.
	relayedDelay = 20 * time.Millisecond
	// fullTimeout is long enough for a first read of many pages over a slow link.
	fullTimeout = 6 * time.Second
	// initialRetry is the delay after a failed read while no view is known and no request can be served.
	initialRetry = 100 * time.Millisecond
	// minRetry is the delay after the first failed read; the second and the third in a row double it, up to the interval and maxRetry. It is
	// half of the shortest interval.
	minRetry = 250 * time.Millisecond
	// maxRetry keeps the grace period of an instance that was cut off from starting so late that it ends more than 4 s after the cut, when the
	// instance counts as undisturbed.
	maxRetry = 700 * time.Millisecond
	// maxGapIntervals is the number of intervals, in addition to half of changesTimeout, without a successful read after which the gap
	// is treated like an outage of the store.
	maxGapIntervals = 3
	// lapseReports is the number of consecutive reports that an upstream misses before its registration lapses. The first of them may be
	// due at the start of an outage of the store, so that an outage shorter than lapseReports-1 intervals lets none lapse.
	lapseReports = 3
)

// Source is the store or a relay in front of it.
type Source interface {
	// Read returns all items.
	Read(ctx context.Context) (change.Batch, error)
	// ReadSince returns the changes after a position, or *change.CompactedError or *change.EraError if they are not available. If mayWait is
	// true, another instance may hold the call until there are changes.
	ReadSince(ctx context.Context, after change.Position, mayWait bool) (change.Batch, error)
	// Reset closes the idle connections, which may be stalled.
	Reset()
}

// Follower polls a Source at an interval. It is safe for concurrent use.
type Follower struct {
	source    Source
	interval  time.Duration
	log       *zap.Logger
	onView    func(*state.View)
	count     func(name string)
	confirmed atomic.Int64 // when the store last confirmed the view, in nanoseconds since started
	started   time.Time
	hasView   bool
	// reportInterval is the interval between two reports of an upstream, in nanoseconds; 0 if unknown.
	reportInterval atomic.Int64
	invalid        invalidItems
	jitter         func(n time.Duration) time.Duration

	mu         sync.Mutex // for changes of the state and calls of onView
	state      *state.State
	failures   int // failed reads since the last successful one
	graceUntil time.Time
	expiry     *time.Timer // calls removeExpired at the end of the grace period
}

// Option configures a Follower.
type Option func(*Follower)

// WithViewObserver calls observe with each new view.
func WithViewObserver(observe func(*state.View)) Option {
	return func(f *Follower) { f.onView = observe }
}

// WithCounter calls count with the name of the metric to increment for each read and failure.
func WithCounter(count func(name string)) Option { return func(f *Follower) { f.count = count } }

// WithRand draws the jitter of retries from rng, so that a simulation can be repeated.
func WithRand(rng *rand.Rand) Option {
	return func(f *Follower) {
		f.jitter = func(n time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(n))) }
	}
}

// New returns a follower that reads s at the given interval.
func New(s Source, interval time.Duration, log *zap.Logger, options ...Option) *Follower {
	f := &Follower{
		source:   s,
		interval: interval,
		log:      log,
		onView:   func(*state.View) {},
		count:    func(string) {},
		jitter:   rand.N[time.Duration],
		state:    state.New(gracePeriod(interval)),
		started:  time.Now(),
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// gracePeriod returns the time after an outage of the store for which removed upstreams are kept. The registrations of those that are up
// arrive within it if the store is read at the given interval.
func gracePeriod(interval time.Duration) time.Duration { return returnTime + interval + relayTime }

// SetReportInterval sets the interval at which upstreams report to the store.
func (f *Follower) SetReportInterval(d time.Duration) { f.reportInterval.Store(int64(d)) }

// Await returns the changes after a position as soon as there are any, or an update without items when ctx ends.
func (f *Follower) Await(ctx context.Context, after change.Position) state.Update {
	return f.state.Await(ctx, after)
}

// Position returns the position of the current view.
func (f *Follower) Position() change.Position { return f.View().Position }

// View returns the current view.
func (f *Follower) View() *state.View { return f.state.View() }

// Age returns the time since the store last confirmed the view, and false if it never did.
func (f *Follower) Age() (time.Duration, bool) {
	at := f.confirmed.Load()
	if at == 0 {
		return 0, false
	}
	return time.Since(f.started) - time.Duration(at), true
}

// Run reads until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.expiry = time.AfterFunc(gracePeriod(f.interval), f.removeExpired)
	defer f.expiry.Stop()
	for ctx.Err() == nil {
		started := time.Now()
		wait := f.interval
		relayed, err := f.poll(ctx)
		switch {
		case err != nil && ctx.Err() == nil:
			wait = f.recordFailure(err)
		case relayed:
			wait = relayedDelay // the other instance holds the next call until it has changes
		}
		pause.For(ctx, max(0, wait-time.Since(started)))
	}
}

// poll reads once, applies the result and reports whether another instance answered.
func (f *Follower) poll(ctx context.Context) (relayed bool, err error) {
	started := time.Now()
	batch, err := f.read(ctx)
	if err != nil {
		return false, err
	}
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.Position()
	if batch.Era == 0 {
		batch.Era = known.Era // an older build of the store, or a proxy, does not state it
	}
	if batch.Era < known.Era {
		return false, &change.EraError{Known: known.Era, Got: batch.Era}
	}
	f.recordSuccess(now)
	if f.hasView && batch.Era > known.Era {
		f.beginEra(batch, now)
	}
	confirmed := started
	if batch.Relayed {
		confirmed = now.Add(-batch.Age - maxTransit)
	}
	f.confirmed.Store(max(f.confirmed.Load(), 1, int64(confirmed.Sub(f.started))))
	if !batch.Full && batch.Compare(known) <= 0 && len(batch.Changes) == 0 {
		return batch.Relayed, nil
	}
	v, rejected := f.state.Apply(batch, now)
	f.hasView = true
	f.notify(v, rejected)
	return batch.Relayed, nil
}

// read returns the changes since the current view, or all items if there is no view or the store has compacted its history.
func (f *Follower) read(ctx context.Context) (change.Batch, error) {
	if f.hasView {
		ctx, cancel := context.WithTimeout(ctx, changesTimeout)
		defer cancel()
		f.count(`crocuswing_store_reads_total{kind="changes"}`)
		known := f.Position()
		batch, err := f.source.ReadSince(ctx, known, f.mayWait())
		if !change.NeedsListing(err) {
			return batch, err
		}
		f.log.Warn("history is not available, reading everything", zap.Error(err), zap.Int64("era", known.Era), zap.Int64("revision", known.Revision))
	}
	ctx, cancel := context.WithTimeout(ctx, fullTimeout)
	defer cancel()
	if !f.hasView {
		return f.readInitial(ctx)
	}
	f.count(`crocuswing_store_reads_total{kind="whole"}`)
	return f.source.Read(ctx)
}

// mayWait reports whether the next read may be held until there are changes. After a gap, and after an answer from before a pause of this
// process, it may not: the gap would only be noticed, and the grace period only start, when the held read ends.
func (f *Follower) mayWait() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	age, ok := f.Age()
	return ok && f.failures == 0 && age <= maxGapIntervals*f.interval
}

// recordSuccess resets the failure count and, after an outage of the store, starts the grace period.
func (f *Follower) recordSuccess(now time.Time) {
	age, _ := f.Age()
	isOutage := f.isOutage()
	if f.failures > 0 || isOutage {
		f.log.Info("store regained", zap.Int("failed-reads", f.failures), zap.Duration("silent-for", age), zap.Bool("grace-period", isOutage))
	}
	switch {
	case isOutage:
		f.state.StartGracePeriod(now)
		f.beginGracePeriod(now)
	case f.failures > 0:
		f.expiry.Reset(f.graceUntil.Sub(now)) // it may have ended meanwhile
	}
	f.failures = 0
}

func (f *Follower) beginGracePeriod(now time.Time) {
	f.graceUntil = now.Add(gracePeriod(f.interval))
	f.expiry.Reset(gracePeriod(f.interval))
}

// beginEra records that the store has come back from an older copy of itself. What the copy lacks is kept for the grace period, in which it
// may be written again.
func (f *Follower) beginEra(b change.Batch, now time.Time) {
	known := f.Position()
	f.log.Warn("store came back from an older copy", zap.Int64("era", b.Era), zap.Int64("revision", b.Revision), zap.Int64("former-era", known.Era),
		zap.Int64("former-revision", known.Revision), zap.Bool("relayed", b.Relayed), zap.Int("items", len(b.Changes)))
	f.count("crocuswing_store_eras_total")
	f.state.StartGracePeriod(now)
	f.beginGracePeriod(now)
}

// removeExpired removes the upstreams that have not registered again within the grace period. While reads fail it waits for the next answer,
// which may bring registrations that were written before the failure.
func (f *Follower) removeExpired() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failures > 0 {
		return
	}
	if v := f.state.RemoveExpired(time.Now()); v != nil {
		f.notify(v, nil)
	}
}

// isOutage reports whether registrations of upstreams that are up may have lapsed since the last successful read, because the store was
// unavailable: reads have failed for long enough, or there was a long gap between reads, which also occurs when this process
// was paused. What other instances have seen does not count: the one that answers may have been paused or cut off while the store was
// available to this one.
func (f *Follower) isOutage() bool {
	age, ok := f.Age()
	if !ok {
		return f.failures > 0
	}
	lapse := (lapseReports - 1) * time.Duration(f.reportInterval.Load())
	return (f.failures > 0 && age >= lapse) || age > maxGapIntervals*f.interval+changesTimeout/2
}

// recordFailure counts a failed read and returns the delay before the next one, with jitter to spread the instances.
func (f *Follower) recordFailure(err error) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures++
	f.count("crocuswing_store_failures_total")
	f.source.Reset()
	if f.failures == 1 {
		age, _ := f.Age()
		f.log.Warn("store lost", zap.Error(err), zap.Int64("era", f.Position().Era), zap.Int64("revision", f.Position().Revision), zap.Duration("age", age))
	}
	wait := min(minRetry<<min(f.failures-1, 2), f.interval, maxRetry)
	if !f.hasView {
		wait = initialRetry
	}
	return wait/2 + f.jitter(wait/2+1)
}

// notify counts the rejected changes, logs those that cannot be decoded, and passes the new view to the observer.
func (f *Follower) notify(v *state.View, rejected []change.Change) {
	for _, c := range rejected {
		f.count("crocuswing_store_refused_items_total")
		if c.Err != nil {
			f.invalid.add(c)
		}
	}
	f.invalid.log(f.log, time.Now())
	f.onView(v)
}
