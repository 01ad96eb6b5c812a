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

var claim = coordinator.MintRequest{Caller: "tablet", Service: "order-entry"}

// site is a handler over a coordinator whose upstream, view and peers fail as told.
type site struct {
	runner.Sender // never called
	view          view.View
	stale         error
	fails         error
	held          chan struct{} // orders wait until it is closed, if set
	began         chan struct{}
	ran           int
	h             *handler.Handler
	own, other    *coordinator.Coordinator
}

func newSite(t *testing.T, bare string) *site {
	s, err := set.Parse(1, map[string][]byte{
		"in-force":      []byte(`{"preset": "p"}`),
		"preset/p":      []byte(presetText + bare + "}"),
		"class/shop":    []byte(`{"name": "shop", "concurrency": 1, "cost": 100}`),
		"caller/tablet": []byte(`{"name": "tablet", "key": "tablet-key", "class": "shop"}`),
		"service/order-entry": []byte(`{"name": "order-entry", "kind": "order", "contract": {"slots": 2, "connections": 4, "cold-slots": 1, "warm-after": 1},
			"layouts": [{"snapshot": "s1", "shards": [{"name": "0", "replicas": ["a"]}]}]}`),
		"service/stock": []byte(`{"name": "stock", "kind": "search", "contract": {"slots": 2, "connections": 4, "cold-slots": 1, "warm-after": 1},
			"layouts": [{"snapshot": "s1", "shards": [{"name": "0", "replicas": ["a"]}]}]}`),
	})
	require.NoError(t, err)
	x := &site{view: view.View{}.WithConfig(s)}
	key := []byte("0123456789abcdef")
	x.own = coordinator.New("south-1", 1, key, x, x, x)
	x.other = coordinator.New("south-2", 1, key, x, x, x)
	x.h = handler.New(x, runner.New(x), x.own, metric.New(), "south-1")
	return x
}

func (x *site) Fresh(context.Context) (view.View, error) { return x.view, x.stale }

func (x *site) Choose(shard.Shard, []string) (string, bool) { return "a", true }

func (x *site) Order(_ context.Context, _ string, q order.Request) (order.Reply, error) {
	if x.held != nil {
		close(x.began)
		<-x.held
	}
	if x.fails != nil {
		return order.Reply{}, x.fails
	}
	x.ran++
	return order.Reply{RequestID: q.RequestID, OrderID: "o-1"}, nil
}

func (x *site) Forward(context.Context, string, coordinator.Placement) (outcome.Outcome, error) {
	return outcome.Outcome{}, &coordinator.UnsentError{Err: errors.New("the owner is gone")}
}

func (x *site) Mint(context.Context, coordinator.MintRequest) (coordinator.MintReply, error) {
	return coordinator.MintReply{}, errors.New("no other instance")
}

func (x *site) call(method, path, body string) (int, call.Placed) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set(header.CallerKey, "tablet-key")
	w := httptest.NewRecorder()
	x.h.ServeHTTP(w, r)
	var m call.Placed
	_ = json.Unmarshal(w.Body.Bytes(), &m)
	return w.Code, m
}

func body(ticket, service string) string {
	text, _ := json.Marshal(call.Order{Ticket: ticket, Service: service, Key: "k", Body: "b"})
	return string(text)
}

// TestOrderAnswers states the HTTP status and the outcome of each answer about orders.
func TestOrderAnswers(t *testing.T) {
	broken := &failure.Failure{Upstream: "a", Kind: failure.KindReset}
	unsent := &failure.Failure{Upstream: "a", Kind: failure.KindRefused, NotRun: true}
	own := func(x *site) string { g, _ := x.own.MintLocal(claim); return g.Ticket }
	other := func(x *site) string { g, _ := x.other.MintLocal(claim); return g.Ticket }
	bare := func(*site) string { return "" }
	for _, c := range []struct {
		name         string
		bare         string
		stale, fails error
		ticket       func(*site) string
		service      string
		status       int
		state        string
		ran          int
	}{
		{"done", "false", nil, nil, own, "order-entry", 200, outcome.Done, 1},
		{"not run", "false", nil, unsent, own, "order-entry", 200, outcome.NotRun, 0},
		{"unknown", "false", nil, broken, own, "order-entry", 200, outcome.Unknown, 0},
		{"owner gone", "false", nil, nil, other, "order-entry", 200, outcome.Unknown, 0},
		{"not ready", "false", errors.New("stale"), nil, own, "order-entry", 503, outcome.Unknown, 0},
		{"wrong service", "false", nil, nil, own, "stock", 409, outcome.Unknown, 0},
		{"forged", "false", nil, nil, func(*site) string { return "forged" }, "order-entry", 403, outcome.Unknown, 0},
		{"bare", "true", nil, nil, bare, "order-entry", 200, outcome.Done, 1},
		{"bare, unknown", "true", nil, broken, bare, "order-entry", 200, outcome.Unknown, 0},
		{"bare, forbidden", "false", nil, nil, bare, "order-entry", 403, outcome.NotRun, 0},
		{"bare, not ready", "true", errors.New("stale"), nil, bare, "order-entry", 503, outcome.NotRun, 0},
		{"bare, for a search service", "true", nil, nil, bare, "stock", 404, outcome.NotRun, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newSite(t, c.bare)
			x.stale, x.fails = c.stale, c.fails
			status, m := x.call(http.MethodPost, "/v1/orders", body(c.ticket(x), c.service))
			require.Equal(t, c.status, status, m.Reason)
			require.Equal(t, c.state, m.State, m.Reason)
			require.Equal(t, c.ran, x.ran)
			require.Equal(t, c.status == 200 && c.ticket(x) == "", m.Ticket != "", "a bare order tells its ticket")
		})
	}
}

// TestTicketEndpoints asks and withdraws, and refuses tickets and queries for the wrong kind of service.
func TestTicketEndpoints(t *testing.T) {
	x := newSite(t, "false")
	g, err := x.own.MintLocal(claim)
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
		status, m := x.call(c.method, c.path, c.body)
		require.Equal(t, c.status, status, "%s %s: %s", c.method, c.path, m.Reason)
		require.Equal(t, c.state, m.State, "%s %s", c.method, c.path)
	}
	require.Zero(t, x.ran)
}

// TestOverload refuses orders of a caller that has too many requests in flight.
func TestOverload(t *testing.T) {
	x := newSite(t, "true")
	x.held, x.began = make(chan struct{}), make(chan struct{})
	running := make(chan call.Placed)
	go func() {
		_, m := x.call(http.MethodPost, "/v1/orders", body("", "order-entry"))
		running <- m
	}()
	<-x.began
	ownGrant, _ := x.own.MintLocal(claim)
	otherGrant, _ := x.other.MintLocal(claim)
	own, other := ownGrant.Ticket, otherGrant.Ticket
	for _, c := range []struct{ ticket, state string }{
		{"", outcome.NotRun},
		{own, outcome.NotRun},
		{other, outcome.Unknown},
	} {
		status, m := x.call(http.MethodPost, "/v1/orders", body(c.ticket, "order-entry"))
		require.Equal(t, http.StatusTooManyRequests, status)
		require.Equal(t, c.state, m.State)
	}
	for _, method := range []string{http.MethodGet, http.MethodDelete} {
		status, m := x.call(method, "/v1/orders/"+other, "")
		require.Equal(t, http.StatusTooManyRequests, status)
		require.Equal(t, outcome.Unknown, m.State)
	}
	close(x.held)
	require.Equal(t, outcome.Done, (<-running).State)
	status, m := x.call(http.MethodPost, "/v1/orders", body(own, "order-entry"))
	require.Equal(t, http.StatusGone, status)
	require.Equal(t, outcome.NotRun, m.State, "not-run is final")
	require.Equal(t, 1, x.ran)
}
