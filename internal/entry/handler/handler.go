// Package handler serves the HTTP API for callers.
//
// It identifies the caller, pins the view of the configuration, asks for admission, and passes queries to the query runner
// and orders to the order coordinator.
package handler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"crocuswing/internal/config/caller"
	"crocuswing/internal/config/class"
	"crocuswing/internal/entry/admission"
	"crocuswing/internal/fleet/view"
	"crocuswing/internal/operator/metric"
	"crocuswing/internal/order/coordinator"
	"crocuswing/internal/order/outcome"
	"crocuswing/internal/query/answer"
	"crocuswing/internal/query/coalescer"
	"crocuswing/internal/query/plan"
	"crocuswing/internal/query/runner"
	"crocuswing/internal/wire/call"
	"crocuswing/internal/wire/header"
)

const maxBodyBytes = 1 << 20

// Viewer provides a view that is recent enough for new work.
type Viewer interface {
	// Fresh returns the view, refreshed if it was too old. It fails if it cannot be refreshed before ctx ends.
	Fresh(ctx context.Context) (view.View, error)
}

// Handler answers the requests of callers.
type Handler struct {
	viewer       Viewer
	admission    *admission.Admission
	runner       *runner.Runner
	coalescer    *coalescer.Coalescer
	coordinator  *coordinator.Coordinator
	metrics      *metric.Metrics
	prefix       string
	requestCount atomic.Uint64
	mux          *http.ServeMux
}

// New returns a Handler. The identifiers that it assigns to requests without one start with prefix.
func New(v Viewer, r *runner.Runner, c *coordinator.Coordinator, m *metric.Metrics, prefix string) *Handler {
	h := &Handler{
		viewer:      v,
		admission:   admission.New(admission.WithObserver(countAdmissions(m))),
		runner:      r,
		coalescer:   coalescer.New(),
		coordinator: c,
		metrics:     m,
		prefix:      prefix,
		mux:         http.NewServeMux(),
	}
	m.Gauge("crocuswing_reads_joined", func() float64 { return float64(h.coalescer.Joined()) })
	h.mux.HandleFunc("POST /v1/search", h.serve("search", h.search))
	h.mux.HandleFunc("POST /v1/lookup", h.serve("lookup", h.lookup))
	h.mux.HandleFunc("POST /v1/tickets", h.serve("ticket", h.mint))
	h.mux.HandleFunc("POST /v1/orders", h.placeOrder)
	h.mux.HandleFunc("GET /v1/orders/{ticket}", h.serveTicket("ask", h.ask))
	h.mux.HandleFunc("DELETE /v1/orders/{ticket}", h.serveTicket("withdraw", h.withdraw))
	return h
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// request is one request of an identified caller, with the view that applies to it.
type request struct {
	*http.Request
	id     string
	caller caller.Caller
	class  class.Class
	view   view.View
}

// refusal is the error of a request that this instance did not run.
type refusal struct {
	status int
	reason string
}

func (e *refusal) Error() string { return e.reason }

// serve returns a handler like serveWithOutcome whose refusals state that nothing was run.
func (h *Handler) serve(kind string, answer func(request) (any, error)) http.HandlerFunc {
	return h.serveWithOutcome(outcome.NotRun, kind, answer)
}

// serveWithOutcome returns a handler that identifies the caller, pins the view, and replies with the value of answer as JSON. A
// refusal without an outcome of its own states the given one.
func (h *Handler) serveWithOutcome(state, kind string, answer func(request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		id := r.Header.Get(header.RequestID)
		if id == "" {
			id = fmt.Sprintf("%s-%d", h.prefix, h.requestCount.Add(1))
		}
		w.Header().Set(header.RequestID, id)
		ctx, cancel, err := withDeadline(r)
		if err != nil {
			h.refuse(w, id, state, err)
			return
		}
		defer cancel()
		req, err := h.identify(r.WithContext(ctx), id)
		if err != nil {
			h.refuse(w, id, state, err)
			return
		}
		value, err := answer(req)
		h.metrics.Observe(req.caller.Name, req.class.Name, kind, time.Since(start), err == nil)
		if err != nil {
			h.refuse(w, id, state, err)
			return
		}
		writeJSON(w, http.StatusOK, value)
	}
}

// identify returns the request with its caller and a view that is recent enough.
func (h *Handler) identify(r *http.Request, id string) (request, error) {
	v, err := h.viewer.Fresh(r.Context())
	if err != nil {
		return request{}, &refusal{status: http.StatusServiceUnavailable, reason: err.Error()}
	}
	c, cl, ok := v.Config().CallerByKey(r.Header.Get(header.CallerKey))
	if !ok {
		return request{}, &refusal{status: http.StatusUnauthorized, reason: "the caller's key is not known"}
	}
	return request{Request: r, id: id, caller: c, class: cl, view: v}, nil
}

func (h *Handler) search(req request) (any, error) {
	var m call.Search
	if err := readJSON(req.Request, &m); err != nil {
		return nil, err
	}
	return h.query(req, runner.Query{RequestID: req.id, Service: m.Service, Query: m.Query})
}

func (h *Handler) lookup(req request) (any, error) {
	var m call.Lookup
	if err := readJSON(req.Request, &m); err != nil {
		return nil, err
	}
	if m.Key == "" {
		return nil, &refusal{status: http.StatusBadRequest, reason: "key is missing"}
	}
	return h.query(req, runner.Query{RequestID: req.id, Service: m.Service, Key: m.Key})
}

// query runs a query. Identical queries of a caller share one execution.
func (h *Handler) query(req request, q runner.Query) (any, error) {
	cost := 1
	if s, ok := req.view.Config().Service(q.Service); ok && q.Key == "" {
		cost = len(s.Current().Shards)
	}
	grant, err := h.admit(req, cost, repeatKey(q))
	if err != nil {
		return nil, err
	}
	complete := false
	defer func() { grant.Release(complete) }()
	key := coalescer.Key{
		Caller:   req.caller.Name,
		Revision: req.view.Config().Revision(),
		Service:  q.Service,
		Query:    q.Query,
		Key:      q.Key,
	}
	a, err := h.coalescer.Do(req.Context(), key, req.view.Config().Preset().Deadline(), func(ctx context.Context) (answer.Answer, error) {
		return h.runner.Run(ctx, req.view, q)
	})
	complete = err == nil && a.Coverage.Answered == a.Coverage.Total
	a.RequestID = req.id
	return a, err
}

// refuse writes the refusal for err. It states the outcome of err if err is an *orderRefusal, otherwise the given one. If the
// given one is unknown, the refusal also states that the request was not forwarded to the owner of the ticket.
func (h *Handler) refuse(w http.ResponseWriter, id, state string, err error) {
	status := statusOf(err)
	setRetryAfter(w.Header(), status, err)
	m := call.Refusal{RequestID: id, Outcome: state, Reason: err.Error(), NotForwarded: state == outcome.Unknown}
	var refused *orderRefusal
	if errors.As(err, &refused) {
		m.Outcome = refused.State
		m.Reference = refused.Reference
		m.NotForwarded = refused.NotForwarded
	}
	writeJSON(w, status, m)
}

func statusOf(err error) int {
	var r *refusal
	var overload *admission.Error
	var order *orderRefusal
	var noService *plan.UnknownServiceError
	switch {
	case errors.As(err, &r):
		return r.status
	case errors.As(err, &overload):
		return http.StatusTooManyRequests
	case errors.As(err, &order):
		return order.status()
	case errors.As(err, &noService):
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable
}

// withDeadline returns the context of a request, which ends after the remaining time that the caller states in a header, if any.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc, error) {
	text := r.Header.Get(header.DeadlineMS)
	if text == "" {
		ctx, cancel := context.WithCancel(r.Context())
		return ctx, cancel, nil
	}
	left, err := strconv.Atoi(text)
	if err != nil || left < 1 {
		return nil, nil, &refusal{status: http.StatusBadRequest, reason: header.DeadlineMS + " is not a positive number"}
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(left)*time.Millisecond)
	return ctx, cancel, nil
}

func readJSON(r *http.Request, v any) error {
	dec := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return &refusal{status: http.StatusBadRequest, reason: "body: " + err.Error()}
	}
	return nil
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
