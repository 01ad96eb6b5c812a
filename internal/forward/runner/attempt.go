package runner

import (
	"context"
	"errors"
	"net/http"
	"time"

	"crocuswing/internal/forward/request"
	"crocuswing/internal/routing/route"
	"crocuswing/internal/upstream/cluster"
	"crocuswing/internal/upstream/failure"
	"crocuswing/internal/upstream/link"
)

// attempt sends a request to one replica.
type attempt struct {
	*Runner
	request  request.Request
	route    *route.Route
	cluster  *cluster.Cluster
	replica  *cluster.Replica
	claim    *claim
	start    time.Time
	deadline time.Time
	usual    time.Duration
}

func (a *attempt) run(ctx context.Context) result {
	var res result
	signals := cluster.Signals{Load: -1}
	out := link.Request{
		Method:        a.request.Method,
		Target:        a.request.Target,
		Host:          a.request.Host,
		Header:        func() http.Header { return a.wire.Header(a.request, a.replica.Name(), time.Until(a.deadline)) },
		Body:          a.request.Body,
		NonIdempotent: a.route.Once,
		BeforeSend:    a.claim.send,
		CheckResponse: func(status int, h http.Header) (err error) {
			signals, err = a.wire.Signals(a.request, status, h)
			return err
		},
	}
	res.in, res.err = a.replica.Link().Forward(ctx, out)
	res.signals = signals
	if res.err == nil {
		a.cluster.RecordSignals(a.replica, signals)
	}
	a.record(res)
	return res
}

// record tells the history how the attempt ended.
func (a *attempt) record(res result) {
	now := time.Now()
	name := a.replica.Name()
	var f *failure.Failure
	errors.As(res.err, &f)
	switch {
	case f != nil && (f.Kind == failure.KindCanceled || f.Kind == failure.KindTimeout):
		a.history.Cut(name, a.start, now, a.usual)
	case f != nil && f.Kind == failure.KindRefused:
		a.history.Failed(name, a.start, now, true)
		a.cluster.RecordOutcome(a.replica, cluster.Unreachable)
	case res.err != nil:
		a.history.Failed(name, a.start, now, true)
		a.cluster.RecordOutcome(a.replica, cluster.Failed)
	case res.signals.NotRun || res.signals.IsMisdirected:
		a.history.Failed(name, a.start, now, false)
		a.cluster.RecordOutcome(a.replica, cluster.Failed)
	case res.in.Status >= http.StatusInternalServerError || res.signals.Proof == "":
		a.history.Failed(name, a.start, now, true)
		a.cluster.RecordOutcome(a.replica, cluster.Failed)
	default:
		a.history.Answered(name, a.start, now, a.usual)
		a.cluster.RecordOutcome(a.replica, cluster.Answered)
		a.pacer.RecordLatency(a.route.Name, a.replica.Distance(), now.Sub(a.start))
	}
}
