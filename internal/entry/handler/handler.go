// Package handler serves the contract with callers over HTTP.
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

// Viewer gives a view that is fresh enough for new work.
type Viewer interface {
	// Fresh refreshes the view if it is too old. It fails if that cannot be done before ctx ends.
	Fresh(ctx context.Context) (view.View, error)
}

// Handler answers callers.
type Handler struct {
	viewer      Viewer
	admission   *admission.Admission
	runner      *runner.Runner
	flight      *coalescer.Coalescer
	coordinator *coordinator.Coordinator
	metrics     *metric.Metrics
	prefix      string
	number      atomic.Uint64
	mux         *http.ServeMux
}

// New makes a handler; prefix begins the identifiers of requests that bring none.
func New(v Viewer, r *runner.Runner, d *coordinator.Coordinator, m *metric.Metrics, prefix string) *Handler {
	h := &Handler{
		viewer:      v,
		admission:   admission.New(admission.WithObserver(countAdmissions(m))),
		runner:      r,
		flight:      coalescer.New(),
		coordinator: d,
		metrics:     m,
		prefix:      prefix,
		mux:         http.NewServeMux(),
	}
	m.Gauge("crocuswing_reads_joined", func() float64 { return float64(h.flight.Joined()) })
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

// request is one admitted request of a caller.
type request struct {
	*http.Request
	id     string
	caller caller.Caller
	class  class.Class
	view   view.View
}

// refusal is an answer that states that nothing was run.
type refusal struct {
	status int
	reason string
}

func (e *refusal) Error() string { return e.reason }

// serve answers with JSON. A refusal states that nothing was run.
func (h *Handler) serve(kind string, answer func(request) (any, error)) http.HandlerFunc {
	return h.serveRefusing(outcome.NotRun, kind, answer)
}

// serveRefusing identifies the caller, pins the view and answers with JSON. A refusal that
// brings no outcome of its own states the given one.
func (h *Handler) serveRefusing(state, kind string, answer func(request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		id := r.Header.Get(header.RequestID)
		if id == "" {
			id = fmt.Sprintf("%s-%d", h.prefix, h.number.Add(1))
		}
		w.Header().Set(header.RequestID, id)
		ctx, cancel, err := withDeadline(r)
		if err != nil {
			h.refuse(w, id, state, err)
			return
		}
		defer cancel()
		q, err := h.identify(r.WithContext(ctx), id)
		if err != nil {
			h.refuse(w, id, state, err)
			return
		}
		value, err := answer(q)
		h.metrics.Observe(q.caller.Name, q.class.Name, kind, time.Since(start), err == nil)
		if err != nil {
			h.refuse(w, id, state, err)
			return
		}
		writeJSON(w, http.StatusOK, value)
	}
}

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

func (h *Handler) search(q request) (any, error) {
	var m call.Search
	if err := readJSON(q.Request, &m); err != nil {
		return nil, err
	}
	return h.query(q, runner.Query{RequestID: q.id, Service: m.Service, Query: m.Query})
}

func (h *Handler) lookup(q request) (any, error) {
	var m call.Lookup
	if err := readJSON(q.Request, &m); err != nil {
		return nil, err
	}
	if m.Key == "" {
		return nil, &refusal{status: http.StatusBadRequest, reason: "key is missing"}
	}
	return h.query(q, runner.Query{RequestID: q.id, Service: m.Service, Key: m.Key})
}

func (h *Handler) query(q request, rq runner.Query) (any, error) {
	cost := 1
	if s, ok := q.view.Config().Service(rq.Service); ok && rq.Key == "" {
		cost = len(s.Current().Shards)
	}
	grant, err := h.admit(q, cost, keyOf(rq))
	if err != nil {
		return nil, err
	}
	whole := false
	defer func() { grant.Release(whole) }()
	k := coalescer.Key{
		Caller:   q.caller.Name,
		Revision: q.view.Config().Revision(),
		Service:  rq.Service,
		Query:    rq.Query,
		Key:      rq.Key,
	}
	a, err := h.flight.Do(q.Context(), k, q.view.Config().Preset().Deadline(), func(ctx context.Context) (answer.Answer, error) {
		return h.runner.Run(ctx, q.view, rq)
	})
	whole = err == nil && a.Coverage.Answered == a.Coverage.Total
	a.RequestID = q.id
	return a, err
}

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

// withDeadline applies the time left that the caller states in a header.
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
