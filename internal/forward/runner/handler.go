package runner

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"crocuswing/internal/forward/reply"
	"crocuswing/internal/forward/request"
	"crocuswing/internal/published/state"
	"crocuswing/internal/routing/route"
	"crocuswing/internal/workspace/quota"
	"crocuswing/internal/workspace/workspace"

	"go.uber.org/zap"
)

// handler handles one request under the view that was current when it arrived.
type handler struct {
	*Runner
	request   request.Request
	view      *state.View
	viewAge   time.Duration
	route     *route.Route // as it applies to the workspace; nil if the request has none
	workspace *workspace.Workspace
	permit    *permit              // nil if the request needs no key
	exceeded  *quota.ExceededError // nil unless the request is over the quota
	execution *execution           // nil if the request was not run
}

func (h *handler) run(ctx context.Context) reply.Reply {
	rep, ok := h.lookup()
	if !ok {
		return rep
	}
	return h.admit(ctx)
}

// lookup looks up the route of the request, or returns the reply to a request without one.
func (h *handler) lookup() (reply.Reply, bool) {
	if h.view.Table == nil {
		return reply.Refused("no configuration is known yet", h.untilConfigured()), false
	}
	var ok bool
	h.route, ok = h.view.Table.Lookup(h.request.Host, h.request.Path)
	switch {
	case ok:
		return reply.Reply{}, true
	case h.viewAge > staleViewAge:
		return refused("no route in a view that may be old"), false
	}
	return reply.Failed(http.StatusNotFound, "no route"), false
}

// admit runs a request that has a route, if its caller may send it.
func (h *handler) admit(ctx context.Context) reply.Reply {
	if rep := h.identify(); rep != nil {
		return *rep
	}
	if h.workspace == nil {
		return h.execute(ctx)
	}
	giveBack, rep := h.takeQuota(ctx)
	if rep != nil {
		return *rep
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.permit = h.newPermit(cancel)
	h.request.Permit = h.permit.allow
	result := h.execute(ctx)
	if !h.permit.hasBegun() {
		giveBack()
	}
	if rep := h.permit.refusal(); rep != nil {
		return *rep
	}
	return result
}

// execute reads the body and runs the request.
func (h *handler) execute(ctx context.Context) reply.Reply {
	if err := h.request.Load(); err != nil {
		return rejected(err)
	}
	if h.permit != nil && h.permit.refusal() != nil {
		return reply.Reply{} // replaced by admit
	}
	h.execution = newExecution(h.Runner, h.request, h.route, h.view.Table.Revision())
	return h.execution.run(ctx)
}

// rejected returns the reply to a request whose body cannot be read.
func rejected(err error) reply.Reply {
	var invalid *request.BodyError
	if errors.As(err, &invalid) {
		if invalid.Status == http.StatusServiceUnavailable {
			return reply.Refused(invalid.Reason, invalid.RetryAfter)
		}
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
	if h.workspace != nil {
		fields = append(fields, zap.String("workspace", h.workspace.Name))
		h.meter.Count(`crocuswing_workspace_requests_total{workspace="` + h.label() + `",status="` + strconv.Itoa(rep.Status) + `"}`)
	}
	if x := h.exceeded; x != nil {
		fields = append(fields, zap.Float64("rate", x.Quota.Rate), zap.Float64("burst", x.Quota.Burst), zap.Int("own-reserve", x.Reserve),
			zap.Int("last-grant", x.LastGrant), zap.Bool("lenders-lost", x.IsLenderLost), zap.Duration("retry-after", x.RetryAfter))
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
