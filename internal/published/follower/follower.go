// Package follower keeps the view of what the platform's store publishes up to date.
package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"crocuswing/internal/published/change"
	"crocuswing/internal/published/state"
	"crocuswing/internal/task/pause"

	"go.uber.org/zap"
)

const (
	// lapse covers the two seconds within which upstreams register again after the store was away, and one interval.
	lapse = 2500 * time.Millisecond
	// sinceTimeout lets an ancestor in the tree of instances be silent and the store answer after it.
	sinceTimeout = 4 * time.Second
	// transit is the longest way between regions.
	transit = 50 * time.Millisecond
	// relayedPause keeps a stream of news from taking the whole processor.
	relayedPause = 20 * time.Millisecond
	// wholeTimeout lets a first read of many pages end on a slow link.
	wholeTimeout = 6 * time.Second
	// unknownRetry follows a failed read while nothing is known and no request can be served.
	unknownRetry = 100 * time.Millisecond
	firstRetry   = 250 * time.Millisecond // after a failed read; half of the shortest interval
	gapFactor    = 3                      // a pause of this many intervals without a read counts as if the store had been away
)

// Source reads the store.
type Source interface {
	// Read gives all items.
	Read(ctx context.Context) (change.Batch, error)
	// ReadSince gives what changed after a revision. It fails with *change.CompactedError if that is no longer known.
	ReadSince(ctx context.Context, revision int64) (change.Batch, error)
	// Reset drops the connections, which may be silent.
	Reset()
}

// Follower polls the store at an interval. It is safe for concurrent use.
type Follower struct {
	source    Source
	interval  time.Duration
	log       *zap.Logger
	update    func(*state.View)
	count     func(name string)
	board     *state.State
	contacted atomic.Int64 // nanoseconds since begun of the start of the last read that was answered
	begun     time.Time
	failures  int
	isKnown   bool
}

// Option changes how a follower is made.
type Option func(*Follower)

// WithViewObserver calls update with each new view.
func WithViewObserver(update func(*state.View)) Option {
	return func(f *Follower) { f.update = update }
}

// WithCounter counts reads by name of the metric.
func WithCounter(count func(name string)) Option { return func(f *Follower) { f.count = count } }

// New makes a follower that reads every interval.
func New(s Source, interval time.Duration, log *zap.Logger, options ...Option) *Follower {
	f := &Follower{
		source:   s,
		interval: interval,
		log:      log,
		update:   func(*state.View) {},
		count:    func(string) {},
		board:    state.New(lapse),
		begun:    time.Now(),
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// Await gives what is new after a revision as soon as there is something, or when ctx ends.
func (f *Follower) Await(ctx context.Context, revision int64) state.Update {
	return f.board.Await(ctx, revision)
}

// View gives the present view.
func (f *Follower) View() *state.View { return f.board.View() }

// Age is the time since the store last confirmed the view, and false before the first time.
func (f *Follower) Age() (time.Duration, bool) {
	at := f.contacted.Load()
	if at == 0 {
		return 0, false
	}
	return time.Since(f.begun) - time.Duration(at), true
}

// Run reads until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		wait := f.interval
		relayed, err := f.step(ctx)
		switch {
		case err != nil && ctx.Err() == nil:
			wait = f.failed(err)
		case relayed:
			wait = relayedPause // the other instance waits for news
		}
		if v := f.board.RemoveExpired(time.Now()); v != nil {
			f.changed(v, nil)
		}
		pause.For(ctx, max(0, wait-time.Since(started)))
	}
}

// step reads once and reports whether another instance answered.
func (f *Follower) step(ctx context.Context) (relayed bool, err error) {
	started := time.Now()
	batch, err := f.read(ctx)
	if err != nil {
		return false, err
	}
	now := time.Now()
	f.regained(now)
	confirmed := started
	if batch.Relayed {
		confirmed = now.Add(-batch.Age - transit)
	}
	f.contacted.Store(max(f.contacted.Load(), 1, int64(confirmed.Sub(f.begun))))
	if !batch.Full && batch.Revision <= f.View().Revision && len(batch.Changes) == 0 {
		return batch.Relayed, nil
	}
	v, refused := f.board.Apply(batch, now)
	f.isKnown = true
	f.changed(v, refused)
	return batch.Relayed, nil
}

// read gives what is new, or everything if nothing is known or the history is gone.
func (f *Follower) read(ctx context.Context) (change.Batch, error) {
	if f.isKnown {
		ctx, cancel := context.WithTimeout(ctx, sinceTimeout)
		defer cancel()
		f.count(`crocuswing_store_reads_total{kind="changes"}`)
		batch, err := f.source.ReadSince(ctx, f.View().Revision)
		var compacted *change.CompactedError
		if !errors.As(err, &compacted) {
			return batch, err
		}
		f.log.Warn("history is compacted, reading everything", zap.Int64("after-revision", compacted.Revision))
	}
	ctx, cancel := context.WithTimeout(ctx, wholeTimeout)
	defer cancel()
	f.count(`crocuswing_store_reads_total{kind="whole"}`)
	return f.source.Read(ctx)
}

// regained notes the end of a time in which the store was not heard, be it away or this process paused.
func (f *Follower) regained(now time.Time) {
	age, ok := f.Age()
	if f.failures > 0 || (ok && age > gapFactor*f.interval+sinceTimeout/2) {
		f.board.StoreRecovered(now)
		f.log.Info("store regained", zap.Int("failed-reads", f.failures), zap.Duration("silent-for", age))
	}
	f.failures = 0
}

// failed gives the wait before the next read, with jitter so that instances spread.
func (f *Follower) failed(err error) time.Duration {
	f.failures++
	f.count("crocuswing_store_failures_total")
	f.source.Reset()
	if f.failures == 1 {
		age, _ := f.Age()
		f.log.Warn("store lost", zap.Error(err), zap.Int64("revision", f.View().Revision), zap.Duration("age", age))
	}
	wait := min(firstRetry<<min(f.failures-1, 2), f.interval)
	if !f.isKnown {
		wait = unknownRetry
	}
	return wait/2 + rand.N(wait/2+1)
}

func (f *Follower) changed(v *state.View, refused []change.Change) {
	for _, c := range refused {
		f.count("crocuswing_store_refused_items_total")
		f.log.Debug("item refused", zap.String("name", c.Name), zap.Error(c.Err))
	}
	f.update(v)
}
