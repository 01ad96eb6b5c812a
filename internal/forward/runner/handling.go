package runner

import (
	"context"
	"net/http"
	"strings"
	"time"

	"crocuswing/internal/forward/reply"
	"crocuswing/internal/forward/request"
	"crocuswing/internal/published/board"

	"go.uber.org/zap"
)

// handling is one request with the view that decides it.
type handling struct {
	*Runner
	request   request.Request
	view      *board.View
	age       time.Duration
	execution *execution // nil where the request was not begun
}

func (h *handling) run(ctx context.Context) reply.Reply {
	if h.view.Table == nil {
		return reply.Refused("no configuration is known yet", h.untilKnown())
	}
	on, ok := h.view.Table.Lookup(h.request.Host, h.request.Path)
	switch {
	case ok:
		h.execution = newExecution(h.Runner, h.request, on)
		return h.execution.run(ctx)
	case h.age > staleAfter:
		return refuse("no route in a view that may be old")
	}
	return reply.Failed(http.StatusNotFound, "no route")
}

// report logs and counts the outcome.
func (h *handling) report(a reply.Reply) {
	took := time.Since(h.request.Arrived)
	fields := []zap.Field{
		zap.String("request-id", h.request.ID), zap.Int("status", a.Status), zap.Duration("took", took),
		zap.Int64("store-revision", h.view.Revision), zap.Duration("view-age", h.age),
	}
	if a.Reason != "" {
		fields = append(fields, zap.String("reason", a.Reason))
	}
	name := "none"
	if x := h.execution; x != nil {
		name = x.route.Name
		fields = append(fields, zap.String("route", name), zap.Int64("revision", h.view.Table.Revision()),
			zap.Int("missing", a.Missing), zap.Durations("hedge-after", x.pace.HedgeDelays[:]),
			zap.Duration("time-left", h.request.Timeout), zap.String("attempts", x.describe()))
	} else {
		fields = append(fields, zap.String("host", h.request.Host), zap.String("path", h.request.Path))
	}
	h.meter.Observe("any", name, strings.ToLower(http.StatusText(a.Status)), took, a.Reason == "")
	h.log.Info("request", fields...)
}
