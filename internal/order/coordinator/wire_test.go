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

// cut is what a raw upstream does with one request.
type cut struct {
	name  string
	read  string // how much of the request it reads: part of the "headers", of the "body", or all of it
	run   bool   // whether it runs the order
	reply func(q order.Request) string
	held  bool // whether it answers only when released
	keep  bool // whether it keeps the connection open after its answer

	states []string // outcomes that are true
}

func answerOf(status, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
}

func success(q order.Request) string {
	body, _ := json.Marshal(order.Reply{RequestID: q.RequestID, OrderID: "order"})
	return answerOf("200 OK", header.RequestID+": "+q.RequestID+"\r\n", string(body))
}

func refusal(headers string) func(order.Request) string {
	return func(q order.Request) string {
		return answerOf("503 Service Unavailable", header.RequestID+": "+q.RequestID+"\r\n"+headers, "")
	}
}

var (
	doneOnly    = []string{outcome.Done}
	unknownOnly = []string{outcome.Unknown}
	either      = []string{outcome.Done, outcome.Unknown}
	proof       = header.NotRun + ": true\r\n"
)

var cuts = []cut{
	{name: "before a byte is read", read: "nothing", states: either},
	{name: "within headers", read: "headers", states: unknownOnly},
	{name: "within body", read: "body", states: unknownOnly},
	{name: "after body, not run", states: unknownOnly},
	{name: "after body, run", run: true, states: unknownOnly},
	{name: "within answer's headers", run: true, states: unknownOnly, reply: func(q order.Request) string { return success(q)[:30] }},
	{name: "within answer's body", run: true, states: unknownOnly, reply: func(q order.Request) string { s := success(q); return s[:len(s)-5] }},
	{name: "after answer", run: true, states: doneOnly, reply: success},
	{name: "late answer", run: true, held: true, keep: true, states: doneOnly, reply: success},
	{name: "crossed answer", run: true, keep: true, states: unknownOnly, reply: func(q order.Request) string { q.RequestID += "x"; return success(q) }},
	{name: "malformed answer", run: true, keep: true, states: unknownOnly, reply: func(q order.Request) string {
		return answerOf("200 OK", header.RequestID+": "+q.RequestID+"\r\n", "{")
	}},
	{name: "redirect", run: true, keep: true, states: unknownOnly, reply: func(q order.Request) string {
		return answerOf("303 See Other", header.RequestID+": "+q.RequestID+"\r\nLocation: /v1/order\r\n", "")
	}},
	{name: "shed with proof", keep: true, states: doneOnly, reply: refusal(proof)},
	{name: "shed without proof", run: true, keep: true, states: unknownOnly, reply: refusal("")},
	{name: "cold refusal", keep: true, states: doneOnly, reply: refusal(proof + header.State + ": cold\r\n")},
	{name: "drain", keep: true, states: doneOnly, reply: refusal(proof + header.State + ": leaving\r\n")},
}

// raw is an upstream that serves healthily until it is told to act out a cut, once.
type raw struct {
	listener net.Listener
	seen     chan struct{} // one for each request that it cut or holds
	release  chan struct{}

	mu     sync.Mutex
	cut    *cut
	starts int // requests of which a byte arrived
	ran    int
}

func newRaw(t *testing.T) *raw {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	u := &raw{listener: l, seen: make(chan struct{}, 1), release: make(chan struct{})}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
			go u.serve(conn)
		}
	}()
	return u
}

// next arms the cut for the next request.
func (u *raw) next(c cut) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cut, u.starts = &c, 0
}

func (u *raw) counts() (starts, ran int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.starts, u.ran
}

// take gives what to do with a request that arrives now.
func (u *raw) take() cut {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.starts++
	c := cut{run: true, keep: true, reply: success}
	if u.cut != nil {
		c, u.cut = *u.cut, nil
	}
	return c
}

func (u *raw) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		c := u.take()
		if c.read == "nothing" {
			return
		}
		if c.read == "headers" {
			_, _ = r.Discard(20)
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if c.read == "body" {
			_, _ = io.CopyN(io.Discard, req.Body, 10)
			return
		}
		if !u.answer(conn, req, c) {
			return
		}
	}
}

func (u *raw) answer(conn net.Conn, req *http.Request, c cut) (keep bool) {
	var q order.Request
	_ = json.NewDecoder(req.Body).Decode(&q)
	if c.run {
		u.mu.Lock()
		u.ran++
		u.mu.Unlock()
	}
	if c.held {
		u.seen <- struct{}{}
		<-u.release
	}
	if c.reply != nil {
		_, _ = io.WriteString(conn, c.reply(q))
	}
	return c.keep
}

// pair sends orders to the first replica that was not tried, over real connections.
type pair map[string]*link.Link

func (p pair) Choose(s shard.Shard, tried []string) (string, bool) {
	return (&process{}).Choose(s, tried)
}

func (p pair) Order(ctx context.Context, upstream string, q order.Request) (order.Reply, error) {
	reply, _, err := p[upstream].Order(ctx, q)
	return reply, err
}

// deskOver gives a coordinator with one connection to each of two upstreams.
func deskOver(t *testing.T, f fresh, a, b *raw) *process {
	senders := pair{}
	for name, u := range map[string]*raw{"a": a, "b": b} {
		senders[name] = link.New(name, u.listener.Addr().String(), 1)
		t.Cleanup(senders[name].Close)
	}
	return &process{Coordinator: coordinator.New("south-1", 1, key, senders, nil, f)}
}

// TestCutLinks cuts the connection to an upstream at each point, on a fresh and on a reused connection.
// The verdict comes from what the two upstreams ran. A request that started at the first upstream must
// not start there again: neither net/http.Transport nor the coordinator may repeat it.
func TestCutLinks(t *testing.T) {
	f := newFresh(t)
	for _, c := range cuts {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reused %t", c.name, reused), func(t *testing.T) {
				a, b := newRaw(t), newRaw(t)
				p := deskOver(t, f, a, b)
				before := 0
				if reused {
					require.Equal(t, outcome.Done, p.Handle(t.Context(), placement(t, p, "healthy")).State)
					before = 1
				}
				a.next(c)
				o := orderThrough(t, p.Coordinator, placement(t, p, "order"), a, c)
				starts, ran := a.counts()
				_, ranB := b.counts()
				ran += ranB - before
				require.Contains(t, c.states, o.State, o.Reason)
				require.LessOrEqual(t, ran, 1, "doubled")
				require.False(t, o.State == outcome.Done && ran != 1, "lost")
				require.False(t, o.State == outcome.NotRun && ran != 0, "false not-run")
				if c.read != "nothing" {
					require.Equal(t, 1, starts, "the request was sent again")
				}
			})
		}
	}
}

// orderThrough places an order, hangs up while the upstream holds it, and asks for what became of it.
func orderThrough(t *testing.T, d *coordinator.Coordinator, q coordinator.Placement, a *raw, c cut) outcome.Outcome {
	if !c.held {
		return d.Handle(t.Context(), q)
	}
	ctx, hangUp := context.WithCancel(t.Context())
	go func() {
		<-a.seen
		hangUp()
	}()
	require.Equal(t, outcome.Unknown, d.Handle(ctx, q).State)
	close(a.release)
	return d.Handle(t.Context(), with(q, func(p *coordinator.Placement) { p.Action = coordinator.ActionGet }))
}

// TestClosedConnections lets the upstream close the connection after each answer. Whether the next order meets
// the closed connection before or after a byte was written, it runs at most once and its outcome is true.
func TestClosedConnections(t *testing.T) {
	f := newFresh(t)
	a, b := newRaw(t), newRaw(t)
	p := deskOver(t, f, a, b)
	for n := range 200 {
		a.next(cut{run: true, reply: success})
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

// TestNoConnection refuses the connection to the first replica: the order goes to the second one.
func TestNoConnection(t *testing.T) {
	a, b := newRaw(t), newRaw(t)
	require.NoError(t, a.listener.Close())
	p := deskOver(t, newFresh(t), a, b)
	require.Equal(t, outcome.Done, p.Handle(t.Context(), placement(t, p, "order")).State)
	_, ran := b.counts()
	require.Equal(t, 1, ran)
}

// TestContractOrder holds the link to the sample exchange of the contract.
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
