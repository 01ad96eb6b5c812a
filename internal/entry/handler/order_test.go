package handler_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"crocuswing/internal/config/set"
	"crocuswing/internal/entry/handler"
	"crocuswing/internal/fleet/view"
	"crocuswing/internal/index/shard"
	"crocuswing/internal/operator/metric"
	"crocuswing/internal/order/coordinator"
	"crocuswing/internal/order/outcome"
	"crocuswing/internal/query/runner"
	"crocuswing/internal/upstream/failure"
	"crocuswing/internal/wire/call"
	"crocuswing/internal/wire/header"
	"crocuswing/internal/wire/order"

	"github.com/stretchr/testify/require"
)

const presetText = `{"name": "p", "deadline-ms": 1000, "answer-policy": "coverage", "hedge-quantile": 0.95, "hedge-share": 0, "retry-share": 0, "allow-orders-without-ticket": `

var mintRequest = coordinator.MintRequest{Caller: "tablet", Service: "order-entry"}

// fixture is a handler over a coordinator whose view and upstream fail with the given errors and whose peers always fail.
type fixture struct {
	runner.Sender // never called
	view          view.View
	viewErr       error
	orderErr      error
	release       chan struct{} // if set, orders block until it is closed
	started       chan struct{}
	runs          int
	h             *handler.Handler
	own, other    *coordinator.Coordinator
}

func newFixture(t *testing.T, allowWithoutTicket string) *fixture {
	s, err := set.Parse(1, map[string][]byte{
		"in-force":      []byte(`{"preset": "p"}`),
		"preset/p":      []byte(presetText + allowWithoutTicket + "}"),
		"class/shop":    []byte(`{"name": "shop", "concurrency": 1, "cost": 100}`),
		"caller/tablet": []byte(`{"name": "tablet", "key": "tablet-key", "class": "shop"}`),
		"service/order-entry": []byte(`{"name": "order-entry", "kind": "order", "contract": {"slots": 2, "connections": 4, "cold-slots": 1, "warm-after": 1},
			"layouts": [{"snapshot": "s1", "shards": [{"name": "0", "replicas": ["a"]}]}]}`),
		"service/stock": []byte(`{"name": "stock", "kind": "search", "contract": {"slots": 2, "connections": 4, "cold-slots": 1, "warm-after": 1},
			"layouts": [{"snapshot": "s1", "shards": [{"name": "0", "replicas": ["a"]}]}]}`),
	})
	require.NoError(t, err)
	f := &fixture{view: view.View{}.WithConfig(s)}
	key := []byte("0123456789abcdef")
	f.own = coordinator.New("south-1", 1, key, f, f, f)
	f.other = coordinator.New("south-2", 1, key, f, f, f)
	f.h = handler.New(f, runner.New(f), f.own, metric.New(), "south-1")
	return f
}

func (f *fixture) Fresh(context.Context) (view.View, error) { return f.view, f.viewErr }

func (f *fixture) Choose(shard.Shard, []string) (string, bool) { return "a", true }

func (f *fixture) Order(_ context.Context, _ string, q order.Request) (order.Reply, error) {
	if f.release != nil {
		close(f.started)
		<-f.release
	}
	if f.orderErr != nil {
		return order.Reply{}, f.orderErr
	}
	f.runs++
	return order.Reply{RequestID: q.RequestID, OrderID: "o-1"}, nil
}

func (f *fixture) Forward(context.Context, string, coordinator.Placement) (outcome.Outcome, error) {
	return outcome.Outcome{}, &coordinator.UnsentError{Err: errors.New("the owner is gone")}
}

func (f *fixture) Mint(context.Context, coordinator.MintRequest) (coordinator.MintReply, error) {
	return coordinator.MintReply{}, errors.New("no other instance")
}

func (f *fixture) call(method, path, body string) (int, call.OrderResult) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set(header.CallerKey, "tablet-key")
	w := httptest.NewRecorder()
	f.h.ServeHTTP(w, r)
	var m call.OrderResult
	_ = json.Unmarshal(w.Body.Bytes(), &m)
	return w.Code, m
}

func body(ticket, service string) string {
	text, _ := json.Marshal(call.Order{Ticket: ticket, Service: service, Key: "k", Body: "b"})
	return string(text)
}

// TestOrderAnswers checks the HTTP status and the outcome of each kind of reply to an order.
func TestOrderAnswers(t *testing.T) {
	broken := &failure.Failure{Upstream: "a", Kind: failure.KindReset}
	unsent := &failure.Failure{Upstream: "a", Kind: failure.KindRefused, NotRun: true}
	own := func(f *fixture) string { g, _ := f.own.MintLocal(mintRequest); return g.Ticket }
	other := func(f *fixture) string { g, _ := f.other.MintLocal(mintRequest); return g.Ticket }
	noTicket := func(*fixture) string { return "" }
	for _, c := range []struct {
		name              string
		allowed           string // value of allow-orders-without-ticket
		viewErr, orderErr error
		ticket            func(*fixture) string
		service           string
		status            int
		state             string
		runs              int
	}{
		{"done", "false", nil, nil, own, "order-entry", 200, outcome.Done, 1},
		{"not run", "false", nil, unsent, own, "order-entry", 200, outcome.NotRun, 0},
		{"unknown", "false", nil, broken, own, "order-entry", 200, outcome.Unknown, 0},
		{"owner gone", "false", nil, nil, other, "order-entry", 200, outcome.Unknown, 0},
		{"not ready", "false", errors.New("stale"), nil, own, "order-entry", 503, outcome.Unknown, 0},
		{"wrong service", "false", nil, nil, own, "stock", 409, outcome.Unknown, 0},
		{"forged", "false", nil, nil, func(*fixture) string { return "forged" }, "order-entry", 403, outcome.Unknown, 0},
		{"without ticket", "true", nil, nil, noTicket, "order-entry", 200, outcome.Done, 1},
		{"without ticket, unknown", "true", nil, broken, noTicket, "order-entry", 200, outcome.Unknown, 0},
		{"without ticket, forbidden", "false", nil, nil, noTicket, "order-entry", 403, outcome.NotRun, 0},
		{"without ticket, not ready", "true", errors.New("stale"), nil, noTicket, "order-entry", 503, outcome.NotRun, 0},
		{"without ticket, for a search service", "true", nil, nil, noTicket, "stock", 404, outcome.NotRun, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, c.allowed)
			f.viewErr, f.orderErr = c.viewErr, c.orderErr
			status, m := f.call(http.MethodPost, "/v1/orders", body(c.ticket(f), c.service))
			require.Equal(t, c.status, status, m.Reason)
			require.Equal(t, c.state, m.State, m.Reason)
			require.Equal(t, c.runs, f.runs)
			require.Equal(t, c.status == 200 && c.ticket(f) == "", m.Ticket != "", "the answer to an order without a ticket states the minted one")
		})
	}
}

// TestTicketEndpoints asks for outcomes, withdraws tickets, and checks that tickets and queries for the wrong kind of service
// are refused.
func TestTicketEndpoints(t *testing.T) {
	f := newFixture(t, "false")
	g, err := f.own.MintLocal(mintRequest)
	require.NoError(t, err)
	text := g.Ticket
	for _, c := range []struct {
		method, path, body string
		status             int
		state              string
	}{
		{http.MethodGet, "/v1/orders/" + text, "", 200, outcome.NotPlaced},
		{http.MethodDelete, "/v1/orders/" + text, "", 200, outcome.NotRun},
		{http.MethodGet, "/v1/orders/" + text, "", 410, outcome.NotRun},
		{http.MethodPost, "/v1/orders", body(text, "order-entry"), 410, outcome.NotRun},
		{http.MethodGet, "/v1/orders/forged", "", 403, outcome.Unknown},
		{http.MethodPost, "/v1/orders", `{"ticket": "t", "extra": 1}`, 400, outcome.Unknown},
		{http.MethodPost, "/v1/orders", "{", 400, outcome.NotRun},
		{http.MethodPost, "/v1/tickets", `{"service": "stock"}`, 404, outcome.NotRun},
		{http.MethodPost, "/v1/tickets", `{"service": "order-entry"}`, 200, ""},
		{http.MethodPost, "/v1/search", `{"service": "order-entry", "query": "q"}`, 404, outcome.NotRun},
	} {
		status, m := f.call(c.method, c.path, c.body)
		require.Equal(t, c.status, status, "%s %s: %s", c.method, c.path, m.Reason)
		require.Equal(t, c.state, m.State, "%s %s", c.method, c.path)
	}
	require.Zero(t, f.runs)
}

// TestOverload checks that orders of a caller with too many requests in flight are refused. The refusal of a ticket of this
// instance is final; the outcome of another instance's ticket stays unknown.
func TestOverload(t *testing.T) {
	f := newFixture(t, "true")
	f.release, f.started = make(chan struct{}), make(chan struct{})
	running := make(chan call.OrderResult)
	go func() {
		_, m := f.call(http.MethodPost, "/v1/orders", body("", "order-entry"))
		running <- m
	}()
	<-f.started
	ownGrant, _ := f.own.MintLocal(mintRequest)
	otherGrant, _ := f.other.MintLocal(mintRequest)
	own, other := ownGrant.Ticket, otherGrant.Ticket
	for _, c := range []struct{ ticket, state string }{
		{"", outcome.NotRun},
		{own, outcome.NotRun},
		{other, outcome.Unknown},
	} {
		status, m := f.call(http.MethodPost, "/v1/orders", body(c.ticket, "order-entry"))
		require.Equal(t, http.StatusTooManyRequests, status)
		require.Equal(t, c.state, m.State)
	}
	for _, method := range []string{http.MethodGet, http.MethodDelete} {
		status, m := f.call(method, "/v1/orders/"+other, "")
		require.Equal(t, http.StatusTooManyRequests, status)
		require.Equal(t, outcome.Unknown, m.State)
	}
	close(f.release)
	require.Equal(t, outcome.Done, (<-running).State)
	status, m := f.call(http.MethodPost, "/v1/orders", body(own, "order-entry"))
	require.Equal(t, http.StatusGone, status)
	require.Equal(t, outcome.NotRun, m.State, "not-run is final")
	require.Equal(t, 1, f.runs)
}
