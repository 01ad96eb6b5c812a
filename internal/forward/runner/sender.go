package runner

import (
	"context"
	"errors"
	"net/http"
	"time"

	"crocuswing/internal/forward/merge"
	"crocuswing/internal/forward/request"
	"crocuswing/internal/routing/route"
	"crocuswing/internal/upstream/cluster"
	"crocuswing/internal/upstream/connection"
	"crocuswing/internal/upstream/failure"
	"crocuswing/internal/upstream/link"

	"go.uber.org/zap"
)

// sender sends one attempt of a request to a replica.
type sender struct {
	*Runner
	request    request.Request
	route      *route.Route
	cluster    *cluster.Cluster
	replica    *cluster.Replica
	gate       *sendGate
	start      time.Time
	deadline   time.Time
	hedgeDelay time.Duration
}

func (s *sender) run(ctx context.Context) result {
	var res result
	signals := cluster.Signals{Load: -1}
	out := link.Request{
		ID:            s.request.ID,
		Method:        s.request.Method,
		Target:        s.request.Target,
		Host:          s.request.Host,
		Header:        func() http.Header { return s.protocol.Header(s.request, s.replica.Name(), time.Until(s.deadline)) },
		Body:          s.request.Body,
		NonIdempotent: s.route.NonIdempotent,
		BeforeSend:    func() bool { return s.cluster.MaySend(s.replica) && s.request.MaySend() && s.gate.allowSend() },
		CheckResponse: func(status int, h http.Header) (err error) {
			signals, err = s.protocol.Signals(s.request, status, h)
			return err
		},
	}
	res.response, res.err = s.replica.Link().Forward(ctx, out)
	res.signals = signals
	if s.route.IsGather() {
		s.reducePart(&res.response)
	}
	if res.err == nil {
		s.reportChange(s.cluster.RecordSignals(s.replica, signals))
	} else {
		s.reportChange(s.cluster.RecordDeparture(s.replica, signals))
	}
	s.record(res)
	return res
}

// reportChange logs and counts what a response changed in the state of its upstream.
func (s *sender) reportChange(c cluster.Change) {
	fields := []zap.Field{zap.String("upstream", s.replica.Name()), zap.String("service", s.cluster.Name()), zap.String("request-id", s.request.ID)}
	if c.IsLeaving {
		s.meter.Count("crocuswing_upstream_departures_total")
		s.log.Info("upstream announces that it leaves", fields...)
	}
	if c.Pause > 0 {
		s.meter.Count("crocuswing_upstream_pauses_total")
		s.log.Info("upstream asks for a pause", append(fields, zap.Duration("pause", c.Pause))...)
	}
}

// reducePart replaces a large body by the records of it that an answer may contain, so that its memory is not held until the answer
// is complete.
func (s *sender) reducePart(r *connection.Response) {
	if !r.IsLarge() {
		return
	}
	m := merge.New(s.route.TopK)
	m.Add(r.Body)
	records := m.Bytes()
	r.Free()
	*r = connection.Response{Status: r.Status, Header: r.Header, Body: records, Close: r.Close, Connection: r.Connection}
}

// reportUnusable logs and counts a response that exceeds a limit or belongs to another request.
func (s *sender) reportUnusable(f *failure.Failure) {
	fields := []zap.Field{zap.String("upstream", s.replica.Name()), zap.String("request-id", s.request.ID), zap.Uint64("connection", f.Connection)}
	var limit *connection.LimitError
	switch {
	case errors.As(f, &limit):
		s.meter.Count("crocuswing_upstream_oversized_responses_total")
		s.log.Warn("response of an upstream exceeds a limit", append(fields, zap.Error(limit))...)
	case f.Kind == failure.KindCrossed:
		s.meter.Count("crocuswing_upstream_crossed_responses_total")
		s.log.Warn("response of an upstream belongs to another request", append(fields, zap.Error(f.Err))...)
	}
}

// record records the outcome of the attempt in the history, the cluster and the planner.
func (s *sender) record(res result) {
	now := time.Now()
	name := s.replica.Name()
	var f *failure.Failure
	errors.As(res.err, &f)
	if f != nil {
		s.reportUnusable(f)
	}
	switch {
	case f != nil && (f.Kind == failure.KindCanceled || f.Kind == failure.KindTimeout):
		s.history.Canceled(name, s.start, now, s.hedgeDelay)
	case f != nil && f.Kind == failure.KindRefused:
		s.history.Failed(name, s.start, now, true)
		s.cluster.RecordOutcome(s.replica, cluster.Unreachable)
	case res.err != nil:
		s.history.Failed(name, s.start, now, true)
		s.cluster.RecordOutcome(s.replica, cluster.Failed)
	case res.signals.NotRun || res.signals.IsMisdirected:
		s.history.Failed(name, s.start, now, false)
		s.cluster.RecordOutcome(s.replica, cluster.Failed)
	case res.response.Status >= http.StatusInternalServerError || res.signals.Proof == "":
		s.history.Failed(name, s.start, now, true)
		s.cluster.RecordOutcome(s.replica, cluster.Failed)
	default:
		s.history.Answered(name, s.start, now, s.hedgeDelay)
		s.cluster.RecordOutcome(s.replica, cluster.Succeeded)
		s.planner.RecordLatency(s.route.Name, s.replica.Distance(), now.Sub(s.start))
	}
}
