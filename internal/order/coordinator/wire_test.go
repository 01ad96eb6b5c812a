package coordinator_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"crocuswing/internal/index/shard"
	"crocuswing/internal/order/coordinator"
	"crocuswing/internal/order/outcome"
	"crocuswing/internal/upstream/link"
	"crocuswing/internal/wire/header"
	"crocuswing/internal/wire/order"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// behavior describes how a rawUpstream processes one request.
type behavior struct {
	name      string
	read      string // how much it reads: "nothing", part of the "headers", part of the "body", or all if empty
	runs      bool   // whether it runs the order
	response  func(q order.Request) string
	hold      bool // whether it waits for release before it responds
	keepAlive bool // whether it keeps the connection open after the response

	validStates []string // outcomes that the caller may get
}

func response(status, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
}

func success(q order.Request) string {
	body, _ := json.Marshal(order.Reply{RequestID: q.RequestID, OrderID: "order"})
	return response("200 OK", header.RequestID+": "+q.RequestID+"\r\n", string(body))
}

func refusal(headers string) func(order.Request) string {
	return func(q order.Request) string {
		return response("503 Service Unavailable", header.RequestID+": "+q.RequestID+"\r\n"+headers, "")
	}
}

var (
	doneOnly     = []string{outcome.Done}
	unknownOnly  = []string{outcome.Unknown}
	either       = []string{outcome.Done, outcome.Unknown}
	notRunHeader = header.NotRun + ": true\r\n"
)

var behaviors = []behavior{
	{name: "before a byte is read", read: "nothing", validStates: either},
	{name: "within headers", read: "headers", validStates: unknownOnly},
	{name: "within body", read: "body", validStates: unknownOnly},
	{name: "after body, not run", validStates: unknownOnly},
	{name: "after body, run", runs: true, validStates: unknownOnly},
	{name: "within answer's headers", runs: true, validStates: unknownOnly, response: func(q order.Request) string { return success(q)[:30] }},
	{name: "within answer's body", runs: true, validStates: unknownOnly, response: func(q order.Request) string { s := success(q); return s[:len(s)-5] }},
	{name: "after answer", runs: true, validStates: doneOnly, response: success},
	{name: "late answer", runs: true, hold: true, keepAlive: true, validStates: doneOnly, response: success},
	{name: "crossed answer", runs: true, keepAlive: true, validStates: unknownOnly, response: func(q order.Request) string { q.RequestID += "x"; return success(q) }},
	{name: "malformed answer", runs: true, keepAlive: true, validStates: unknownOnly, response: func(q order.Request) string {
		return response("200 OK", header.RequestID+": "+q.RequestID+"\r\n", "{")
	}},
	{name: "redirect", runs: true, keepAlive: true, validStates: unknownOnly, response: func(q order.Request) string {
		return response("303 See Other", header.RequestID+": "+q.RequestID+"\r\nLocation: /v1/order\r\n", "")
	}},
	{name: "shed with proof", keepAlive: true, validStates: doneOnly, response: refusal(notRunHeader)},
	{name: "shed without proof", runs: true, keepAlive: true, validStates: unknownOnly, response: refusal("")},
	{name: "cold refusal", keepAlive: true, validStates: doneOnly, response: refusal(notRunHeader + header.State + ": cold\r\n")},
	{name: "drain", keepAlive: true, validStates: doneOnly, response: refusal(notRunHeader + header.State + ": leaving\r\n")},
}

// rawUpstream is an upstream that runs orders without faults, except for one request after each call of setNext.
type rawUpstream struct {
	listener net.Listener
	held     chan struct{} // receives a value for each request that waits for release
	release  chan struct{}

	mu      sync.Mutex
	next    *behavior
	started int // requests of which at least one byte arrived
	ran     int
}

func newRawUpstream(t *testing.T) *rawUpstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	u := &rawUpstream{listener: l, held: make(chan struct{}, 1), release: make(chan struct{})}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
			go u.serve(conn)
		}
	}()
	return u
}

// setNext sets the behavior for the next request only.
func (u *rawUpstream) setNext(b behavior) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.next, u.started = &b, 0
}

func (u *rawUpstream) counts() (started, ran int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.started, u.ran
}

// takeBehavior returns the behavior for a request that arrives now.
func (u *rawUpstream) takeBehavior() behavior {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.started++
	b := behavior{runs: true, keepAlive: true, response: success}
	if u.next != nil {
		b, u.next = *u.next, nil
	}
	return b
}

func (u *rawUpstream) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		b := u.takeBehavior()
		if b.read == "nothing" {
			return
		}
		if b.read == "headers" {
			_, _ = r.Discard(20)
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if b.read == "body" {
			_, _ = io.CopyN(io.Discard, req.Body, 10)
			return
		}
		if !u.respond(conn, req, b) {
			return
		}
	}
}

func (u *rawUpstream) respond(conn net.Conn, req *http.Request, b behavior) (keepAlive bool) {
	var q order.Request
	_ = json.NewDecoder(req.Body).Decode(&q)
	if b.runs {
		u.mu.Lock()
		u.ran++
		u.mu.Unlock()
	}
	if b.hold {
		u.held <- struct{}{}
		<-u.release
	}
	if b.response != nil {
		_, _ = io.WriteString(conn, b.response(q))
	}
	return b.keepAlive
}

// linkSender sends orders over TCP connections to the first replica that was not attempted yet.
type linkSender map[string]*link.Link

func (p linkSender) Choose(s shard.Shard, attempted []string) (string, bool) {
	return (&process{}).Choose(s, attempted)
}

func (p linkSender) Order(ctx context.Context, upstream string, q order.Request) (order.Reply, error) {
	reply, _, err := p[upstream].Order(ctx, q)
	return reply, err
}

// newCoordinator returns a coordinator with one connection to each of two upstreams.
func newCoordinator(t *testing.T, viewer staticViewer, a, b *rawUpstream) *process {
	senders := linkSender{}
	for name, u := range map[string]*rawUpstream{"a": a, "b": b} {
		senders[name] = link.New(name, u.listener.Addr().String(), 1)
		t.Cleanup(senders[name].Close)
	}
	return &process{Coordinator: coordinator.New("south-1", 1, key, senders, nil, viewer)}
}

// TestBrokenConnections breaks the connection to an upstream at each point of the exchange, on a new and on a reused
// connection, and compares the outcome with what the two upstreams ran. A request of which a byte reached the first
// upstream must not be sent there again, neither by net/http.Transport nor by the coordinator.
func TestBrokenConnections(t *testing.T) {
	viewer := newStaticViewer(t)
	for _, c := range behaviors {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reused %t", c.name, reused), func(t *testing.T) {
				a, b := newRawUpstream(t), newRawUpstream(t)
				p := newCoordinator(t, viewer, a, b)
				before := 0
				if reused {
					require.Equal(t, outcome.Done, p.Handle(t.Context(), placement(t, p, "healthy")).State)
					before = 1
				}
				a.setNext(c)
				o := placeOrder(t, p.Coordinator, placement(t, p, "order"), a, c)
				started, ran := a.counts()
				_, ranB := b.counts()
				ran += ranB - before
				require.Contains(t, c.validStates, o.State, o.Reason)
				require.LessOrEqual(t, ran, 1, "doubled")
				require.False(t, o.State == outcome.Done && ran != 1, "lost")
				require.False(t, o.State == outcome.NotRun && ran != 0, "false not-run")
				if c.read != "nothing" {
					require.Equal(t, 1, started, "the request was sent again")
				}
			})
		}
	}
}

// placeOrder places an order and returns its outcome. If the upstream holds the request, the caller disconnects first
// and gets the outcome by its ticket.
func placeOrder(t *testing.T, coord *coordinator.Coordinator, q coordinator.Placement, a *rawUpstream, b behavior) outcome.Outcome {
	if !b.hold {
		return coord.Handle(t.Context(), q)
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-a.held
		cancel()
	}()
	require.Equal(t, outcome.Unknown, coord.Handle(ctx, q).State)
	close(a.release)
	return coord.Handle(t.Context(), with(q, func(p *coordinator.Placement) { p.Action = coordinator.ActionGet }))
}

// TestClosedConnections lets the upstream close the connection after each response. The next order may notice that before
// or after it wrote a byte; either way it must run at most once and its outcome must be correct.
func TestClosedConnections(t *testing.T) {
	viewer := newStaticViewer(t)
	a, b := newRawUpstream(t), newRawUpstream(t)
	p := newCoordinator(t, viewer, a, b)
	for n := range 200 {
		a.setNext(behavior{runs: true, response: success})
		_, ranBefore := a.counts()
		_, ranBeforeB := b.counts()
		o := p.Handle(t.Context(), placement(t, p, fmt.Sprintf("order-%d", n)))
		_, ran := a.counts()
		_, ranB := b.counts()
		ran += ranB - ranBefore - ranBeforeB
		require.LessOrEqual(t, ran, 1, "doubled")
		require.False(t, o.State == outcome.Done && ran != 1, "lost")
		require.False(t, o.State == outcome.NotRun && ran != 0, "false not-run")
	}
}

// TestNoConnection checks that an order goes to the second replica if the first one refuses the connection.
func TestNoConnection(t *testing.T) {
	a, b := newRawUpstream(t), newRawUpstream(t)
	require.NoError(t, a.listener.Close())
	p := newCoordinator(t, newStaticViewer(t), a, b)
	require.Equal(t, outcome.Done, p.Handle(t.Context(), placement(t, p, "order")).State)
	_, ran := b.counts()
	require.Equal(t, 1, ran)
}

// TestContractOrder checks the messages of a link against the sample exchange in the contract with upstreams.
func TestContractOrder(t *testing.T) {
	const request = `{"request-id": "instance-0/18a3f0c2/42/0", "reference": "instance-0/18a3f0c2/42",
		"service": "order-entry", "key": "mattress-17", "body": "two, queen size"}`
	const reply = `{"request-id": "instance-0/18a3f0c2/42/0", "order-id": "order-entry-3-a/17"}`
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got, _ := io.ReadAll(r.Body)
		assert.JSONEq(t, request, string(got))
		assert.Equal(t, "POST /v1/order", r.Method+" "+r.URL.Path)
		assert.Equal(t, "application/json", r.Header.Get("Content-Type"))
		assert.NotEmpty(t, r.Header.Get(header.DeadlineMS))
		w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
		_, _ = io.WriteString(w, reply)
	}))
	defer s.Close()
	l := link.New("a", s.Listener.Addr().String(), 1)
	defer l.Close()
	var q order.Request
	require.NoError(t, json.Unmarshal([]byte(request), &q))
	ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
	defer cancel()
	got, _, err := l.Order(ctx, q)
	require.NoError(t, err)
	require.Equal(t, order.Reply{RequestID: q.RequestID, OrderID: "order-entry-3-a/17"}, got)
}
