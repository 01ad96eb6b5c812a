package runner

import (
	"context"
	"errors"
	"time"

	"crocuswing/internal/query/gatherer"
	"crocuswing/internal/upstream/failure"
	"crocuswing/internal/wire/part"
)

// attempt is one request for a part to one upstream. It does not change while its goroutine runs.
type attempt struct {
	shard    int
	index    int // in shardState.attempts
	upstream string
	request  part.Request
	start    time.Time
	probe    bool // to a suspect replica, in addition to the first attempt
}

// result is the reply or the error of an attempt.
type result struct {
	attempt
	reply part.Reply
	err   error
}

// send starts an attempt on the shard at index i in its own goroutine.
func (x *execution) send(i int, upstream string, now time.Time, probe bool) {
	s := &x.shards[i]
	ctx, cancel := context.WithCancel(x.ctx)
	a := attempt{shard: i, index: len(s.attempts), upstream: upstream, request: x.newRequest(i), start: now, probe: probe}
	s.attempts = append(s.attempts, attemptState{upstream: upstream, cancel: cancel, start: now})
	s.inFlight++
	x.pending++
	x.history.Begin(upstream, now)
	go x.perform(ctx, a)
}

// perform sends the attempt and reports its result. It runs in its own goroutine and does not change the state of the execution.
func (x *execution) perform(ctx context.Context, a attempt) {
	reply, err := x.sender.Part(ctx, a.upstream, a.request)
	if err == nil {
		err = replyError(a.upstream, reply.Check(a.request))
	}
	x.recordOutcome(a, time.Now(), err)
	x.results <- result{attempt: a, reply: reply, err: err}
}

// replyError converts the error of a reply check to a *failure.Failure.
func replyError(upstream string, err error) error {
	if err == nil {
		return nil
	}
	var mismatch *part.MismatchError
	if errors.As(err, &mismatch) {
		return &failure.Failure{Upstream: upstream, Kind: failure.KindCrossed, Err: err}
	}
	return &failure.Failure{Upstream: upstream, Kind: failure.KindIncomplete, Err: err}
}

// recordOutcome records the latency or failure of the attempt, including canceled ones. Probes do not count for the latencies of the
// service.
func (x *execution) recordOutcome(a attempt, now time.Time, err error) {
	var f *failure.Failure
	took := now.Sub(a.start)
	switch {
	case err == nil:
		x.history.Answered(a.upstream, a.start, now, x.hedgeDelay)
		if !a.probe {
			x.latencies.Add(took)
		}
	case isAborted(err):
		x.history.Canceled(a.upstream, a.start, now, x.hedgeDelay)
		if !a.probe && took >= x.hedgeDelay {
			x.latencies.Add(took)
		}
	case errors.As(err, &f):
		x.history.Failed(a.upstream, a.start, now, isUpstreamFault(f.Kind))
	default:
		x.history.Failed(a.upstream, a.start, now, true)
	}
}

// isAborted reports whether the attempt ended without a result because it was canceled or timed out.
func isAborted(err error) bool {
	var f *failure.Failure
	if errors.As(err, &f) {
		return f.Kind == failure.KindCanceled || f.Kind == failure.KindTimeout
	}
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

// isUpstreamFault reports whether a failure is due to the upstream or its connection, rather than to the upstream's load or state.
func isUpstreamFault(kind string) bool {
	switch kind {
	case failure.KindShed, failure.KindForbidden, failure.KindSnapshotGone:
		return false
	}
	return true
}

// handleResult adds the part of a finished attempt to the answer, or schedules the next step of its shard.
func (x *execution) handleResult(res result) {
	s := &x.shards[res.shard]
	a := &s.attempts[res.index]
	a.cancel()
	a.status = statusEnded
	s.inFlight--
	x.pending--
	kind := failureKind(res.err)
	if res.err == nil {
		verdict := x.gatherer.Add(res.shard, res.request, res.reply)
		if verdict == gatherer.Counted {
			x.cancelAttempts(s)
			return
		}
		x.countDropped(string(verdict))
	}
	if kind == failure.KindCrossed || kind == failure.KindIncomplete {
		x.countDropped(kind)
	}
	if x.gatherer.HasPart(res.shard) {
		return
	}
	if kind == failure.KindSnapshotGone {
		a.status = statusSnapshotGone
	}
	now := time.Now()
	if s.inFlight == 0 {
		// An attempt that reached no upstream caused no load, so its retry needs no token.
		x.retry(res.shard, now, true, kind == failure.KindRefused || kind == failure.KindForbidden)
	} else if s.due.IsZero() {
		x.schedule(s, now.Add(x.hedgeDelay))
	}
}

// countDropped counts a part that was dropped from the answer.
func (x *execution) countDropped(reason string) {
	x.meter.Count(`crocuswing_parts_dropped_total{reason="` + reason + `"}`)
}

// failureKind returns the kind of a *failure.Failure, or "" for other errors.
func failureKind(err error) string {
	var f *failure.Failure
	if errors.As(err, &f) {
		return f.Kind
	}
	return ""
}

// cancelAttempts cancels the remaining attempts on a shard that has its part.
func (x *execution) cancelAttempts(s *shardState) {
	s.due = time.Time{}
	for i := range s.attempts {
		if s.attempts[i].status == statusInFlight {
			s.attempts[i].cancel()
		}
	}
}
