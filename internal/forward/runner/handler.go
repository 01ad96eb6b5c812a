package runner

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"crocuswing/internal/forward/reply"
	"crocuswing/internal/forward/request"
	"crocuswing/internal/published/state"
	"crocuswing/internal/routing/route"

	"go.uber.org/zap"
)

// handler handles one request under the view that was current when it arrived.
type handler struct {
	*Runner
	request   request.Request
	view      *state.View
	viewAge   time.Duration
	execution *execution // nil if the request has no route
}

func (h *handler) run(ctx context.Context) reply.Reply {
	rt, rep, ok := h.lookup()
	if !ok {
		return rep
	}
	if err := h.request.Load(); err != nil {
		return rejected(err)
	}
	h.execution = newExecution(h.Runner, h.request, rt, h.view.Table.Revision())
	return h.execution.run(ctx)
}

// lookup returns the route of the request, or the reply to a request without one.
func (h *handler) lookup() (*route.Route, reply.Reply, bool) {
	if h.view.Table == nil {
		return nil, reply.Refused("no configuration is known yet", h.untilConfigured()), false
	}
	rt, ok := h.view.Table.Lookup(h.request.Host, h.request.Path)
	switch {
	case ok:
		return rt, reply.Reply{}, true
	case h.viewAge > staleViewAge:
		return nil, refused("no route in a view that may be old"), false
	}
	return nil, reply.Failed(http.StatusNotFound, "no route"), false
}

// rejected returns the reply to a request whose body cannot be read.
func rejected(err error) reply.Reply {
	var invalid *request.BodyError
	if errors.As(err, &invalid) {
		return reply.Failed(invalid.Status, invalid.Reason)
	}
	return reply.Failed(http.StatusBadRequest, err.Error())
}

// report logs the outcome and records it in the metrics.
func (h *handler) report(rep reply.Reply) {
	took := time.Since(h.request.Arrived)
	fields := []zap.Field{
		zap.String("request-id", h.request.ID), zap.Int("status", rep.Status), zap.Duration("took", took),
		zap.Int64("store-revision", h.view.Revision), zap.Duration("view-age", h.viewAge),
	}
	if rep.Reason != "" {
		fields = append(fields, zap.String("reason", rep.Reason))
	}
	name := "none"
	if x := h.execution; x != nil {
		name = x.route.Name
		fields = append(fields, zap.String("route", name), zap.Int64("revision", h.view.Table.Revision()),
			zap.Int("missing", rep.Missing), zap.Durations("hedge-after", x.plan.HedgeDelays[:]),
			zap.Duration("time-left", h.request.Timeout), zap.String("attempts", x.describe()))
	} else {
		fields = append(fields, zap.String("host", h.request.Host), zap.String("path", h.request.Path))
	}
	h.meter.Observe("any", name, strings.ToLower(http.StatusText(rep.Status)), took, rep.Reason == "")
	h.log.Info("request", fields...)
}
