package runner

import (
	"context"
	"errors"
	"time"

	"crocuswing/internal/query/gatherer"
	"crocuswing/internal/upstream/failure"
	"crocuswing/internal/wire/part"
)

// attempt is one request to one upstream, in its own goroutine.
type attempt struct {
	shard    int
	try      int
	upstream string
	request  part.Request
	start    time.Time
	probe    bool
}

type result struct {
	attempt
	reply part.Reply
	err   error
}

// send starts an attempt on the shard at index i.
func (x *execution) send(i int, upstream string, now time.Time, probe bool) {
	s := &x.slots[i]
	ctx, cancel := context.WithCancel(x.ctx)
	a := attempt{shard: i, try: len(s.tries), upstream: upstream, request: x.request(i), start: now, probe: probe}
	s.tries = append(s.tries, try{upstream: upstream, cancel: cancel, start: now})
	s.open++
	x.pending++
	x.history.Begin(upstream, now)
	go x.perform(ctx, a)
}

// perform runs in its own goroutine and touches nothing of the execution but its results.
func (x *execution) perform(ctx context.Context, a attempt) {
	reply, err := x.sender.Part(ctx, a.upstream, a.request)
	if err == nil {
		err = mismatch(a.upstream, reply.Check(a.request))
	}
	x.learn(a, time.Now(), err)
	x.results <- result{attempt: a, reply: reply, err: err}
}

// mismatch makes a failure of an error found in a reply.
func mismatch(upstream string, err error) error {
	if err == nil {
		return nil
	}
	var crossed *part.CrossedError
	if errors.As(err, &crossed) {
		return &failure.Failure{Upstream: upstream, Kind: failure.KindCrossed, Err: err}
	}
	return &failure.Failure{Upstream: upstream, Kind: failure.KindIncomplete, Err: err}
}

// learn records how the upstream did, also if the attempt was withdrawn.
func (x *execution) learn(a attempt, now time.Time, err error) {
	var f *failure.Failure
	took := now.Sub(a.start)
	switch {
	case err == nil:
		x.history.Answered(a.upstream, a.start, now, x.usual)
		if !a.probe {
			x.times.Add(took)
		}
	case isCut(err):
		x.history.Cut(a.upstream, a.start, now, x.usual)
		if !a.probe && took >= x.usual {
			x.times.Add(took)
		}
	case errors.As(err, &f):
		x.history.Failed(a.upstream, a.start, now, isBlame(f.Kind))
	default:
		x.history.Failed(a.upstream, a.start, now, true)
	}
}

// isCut tells whether the attempt ended because nobody waited for it any more.
func isCut(err error) bool {
	var f *failure.Failure
	if errors.As(err, &f) {
		return f.Kind == failure.KindCanceled || f.Kind == failure.KindTimeout
	}
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

// isBlame tells whether the upstream or the way to it is at fault, rather than its load or its state.
func isBlame(kind string) bool {
	switch kind {
	case failure.KindShed, failure.KindForbidden, failure.KindSnapshotGone:
		return false
	}
	return true
}

// take handles the end of an attempt.
func (x *execution) take(res result) {
	s := &x.slots[res.shard]
	t := &s.tries[res.try]
	t.cancel()
	t.state = tryEnded
	s.open--
	x.pending--
	kind := kindOf(res.err)
	if res.err == nil {
		verdict := x.gather.Add(res.shard, res.request, res.reply)
		if verdict == gatherer.Counted {
			x.settle(s)
			return
		}
		x.drop(string(verdict))
	}
	if kind == failure.KindCrossed || kind == failure.KindIncomplete {
		x.drop(kind)
	}
	if x.gather.HasPart(res.shard) {
		return
	}
	if kind == failure.KindSnapshotGone {
		t.state = tryGone
	}
	now := time.Now()
	if s.open == 0 {
		// An attempt that reached no upstream is no load, so its retry costs nothing.
		x.again(res.shard, now, true, kind == failure.KindRefused || kind == failure.KindForbidden)
	} else if s.due.IsZero() {
		x.setDue(s, now.Add(x.usual))
	}
}

// drop counts a part that is not in the answer.
func (x *execution) drop(reason string) {
	x.meter.Count(`crocuswing_parts_dropped_total{reason="` + reason + `"}`)
}

func kindOf(err error) string {
	var f *failure.Failure
	if errors.As(err, &f) {
		return f.Kind
	}
	return ""
}

// settle withdraws the other attempts on a shard that has its part.
func (x *execution) settle(s *slot) {
	s.due = time.Time{}
	for i := range s.tries {
		if s.tries[i].state == tryOpen {
			s.tries[i].cancel()
		}
	}
}
