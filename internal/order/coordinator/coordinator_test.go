package coordinator_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/order/coordinator"
	"crocuswing/internal/order/outcome"
	"crocuswing/internal/order/table"
	"crocuswing/internal/upstream/failure"
	"crocuswing/internal/wire/order"

	"github.com/stretchr/testify/require"
)

const (
	ordersPerFault = 1_000
	deadline       = time.Second
)

var mintRequest = coordinator.MintRequest{Caller: "tablet", Service: "order-entry"}

var faults = []fault{
	{name: "none"},
	{name: "refused", share: 0.3, upstream: failNotRun(failure.KindRefused)},
	{name: "shed", share: 0.3, upstream: failNotRun(failure.KindShed)},
	{name: "drain", share: 0.9, upstream: failNotRun(failure.KindForbidden)},
	{name: "reset", share: 0.3, upstream: failMaybeRun(failure.KindReset)},
	{name: "crossed", share: 0.3, upstream: failMaybeRun(failure.KindCrossed)},
	{name: "late", share: 0.3, upstream: respondLate},
	{name: "silent", share: 0.3, upstream: neverRespond},
	{name: "call unsent", requestUnsent: 0.5},
	{name: "call lost", requestLost: 0.3},
	{name: "answer lost", replyLost: 0.3},
	{name: "owner paused", pauses: true},
	{name: "owner killed", kills: true},
	{name: "all", share: 0.3, upstream: failMaybeRun(failure.KindReset), requestUnsent: 0.2, requestLost: 0.2, replyLost: 0.2, kills: true, pauses: true},
}

// simulatedCaller is a caller that repeats an order with an unknown outcome through all instances at once.
type simulatedCaller struct {
	*simulation
	n       int
	body    string
	calls   sync.WaitGroup
	mu      sync.Mutex
	replies []callerReply
}

// callerReply is an outcome that the caller got, with the bodies of the orders to which it may apply.
type callerReply struct {
	outcome.Outcome
	bodies []string
}

func (c *simulatedCaller) place(instance, text, body, action string) outcome.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	p := coordinator.Placement{Ticket: text, Caller: "tablet", Action: action}
	bodies := []string{c.body, c.changed()}
	if action == coordinator.ActionPlace {
		p.Service, p.Key, p.Body = "order-entry", body, body
		bodies = []string{body}
	}
	to := c.process(instance)
	if !to.awaitResume(ctx) {
		return outcome.Outcome{State: outcome.Unknown}
	}
	o := to.Handle(ctx, p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replies = append(c.replies, callerReply{Outcome: o, bodies: bodies})
	return o
}

func (c *simulatedCaller) changed() string { return c.body + " changed" }

// order performs all requests of the caller for one order and returns the last outcome.
func (c *simulatedCaller) order(minter *process) outcome.Outcome {
	defer c.calls.Wait()
	reply, err := minter.Mint(context.Background(), mintRequest)
	if err != nil {
		return outcome.Outcome{State: outcome.NotRun}
	}
	text := reply.Ticket
	time.Sleep(time.Duration(c.draw("think", c.n)*500) * time.Millisecond)
	if c.draw("withdraw", c.n) < 0.02 {
		c.calls.Go(func() {
			time.Sleep(time.Millisecond / 2) // before or after the order reaches its owner, never at the same time
			c.place(instances[(c.n+c.n/4%2)%len(instances)], text, c.body, coordinator.ActionWithdraw)
		})
	}
	o := c.place(instances[c.n/4%len(instances)], text, c.body, coordinator.ActionPlace)
	if o.State == outcome.Unknown || c.n%10 == 0 {
		c.placeThroughAll(text)
	}
	if c.n%20 == 0 {
		c.place(instances[0], text, c.changed(), coordinator.ActionPlace)
	}
	for n := 0; n < 3 && o.State == outcome.Unknown; n++ {
		time.Sleep(10 * time.Second)
		o = c.place(instances[(c.n+n)%len(instances)], text, c.body, coordinator.ActionGet)
	}
	if o.State == outcome.NotPlaced {
		o = c.place(instances[c.n%len(instances)], text, c.body, coordinator.ActionWithdraw)
	}
	if c.n%7 == 0 {
		time.Sleep(10 * time.Minute) // beyond the expiry of the ticket and of its entry
		c.place(instances[c.n%len(instances)], text, c.body, coordinator.ActionPlace)
	}
	return o
}

func (c *simulatedCaller) placeThroughAll(text string) {
	var calls sync.WaitGroup
	for _, name := range instances {
		calls.Go(func() { c.place(name, text, c.body, coordinator.ActionPlace) })
	}
	calls.Wait()
}

// results counts the orders by their last outcome, and the replies that contradict what the upstreams ran.
type results struct {
	done, notRun, unknown, notForwarded int
	doubled, lost, falseNotRun          int
}

func (r *results) add(c *simulatedCaller, last outcome.Outcome) {
	if c.executions(c.body)+c.executions(c.changed()) > 1 {
		r.doubled++
	}
	for _, o := range c.replies {
		ran := 0
		for _, body := range o.bodies {
			ran += c.executions(body)
		}
		if o.State == outcome.Done && ran == 0 {
			r.lost++
		}
		if o.State == outcome.NotRun && ran > 0 {
			r.falseNotRun++
		}
	}
	switch last.State {
	case outcome.Done:
		r.done++
	case outcome.NotRun:
		r.notRun++
	default:
		r.unknown++
		if last.NotForwarded {
			r.notForwarded++
		}
	}
}

// simulate places orders through four instances under one fault and waits until all callers have finished.
func simulate(viewer staticViewer, seed uint64, fl fault) results {
	sim := newSimulation(viewer, seed, fl)
	callers := make([]*simulatedCaller, ordersPerFault)
	last := make([]outcome.Outcome, ordersPerFault)
	var running sync.WaitGroup
	for n := range callers {
		c := &simulatedCaller{simulation: sim, n: n, body: fmt.Sprintf("order-%d", n)}
		callers[n] = c
		minter := sim.process(instances[n%len(instances)])
		running.Go(func() { last[n] = c.order(minter) })
		time.Sleep(7 * time.Millisecond)
		name := instances[n/50%len(instances)]
		if fl.kills && n%100 == 99 {
			sim.start(name)
		}
		if fl.pauses && n%100 == 49 {
			sim.pause(name, time.Duration(sim.draw("pause", n)*3000)*time.Millisecond)
		}
	}
	running.Wait()
	var res results
	for n, c := range callers {
		res.add(c, last[n])
	}
	return res
}

// TestOrdersUnderFaults places 14,000 orders per seed, 1,000 under each fault. No order may run twice, and each reply has to agree
// with what the upstreams ran.
func TestOrdersUnderFaults(t *testing.T) {
	viewer := newStaticViewer(t)
	for _, seed := range []uint64{1, 2} {
		for _, fl := range faults {
			t.Run(fmt.Sprintf("%s/seed %d", fl.name, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					res := simulate(viewer, seed, fl)
					t.Logf("done %d, not-run %d, unknown %d (not forwarded %d)", res.done, res.notRun, res.unknown, res.notForwarded)
					require.Zero(t, res.doubled, "doubled")
					require.Zero(t, res.lost, "lost")
					require.Zero(t, res.falseNotRun, "false not-run")
					require.Equal(t, ordersPerFault, res.done+res.notRun+res.unknown)
				})
			})
		}
	}
}

// TestBlindRetryDoubles checks the simulation itself: it has to detect orders that run twice because attempts are repeated
// without proof that they did not run.
func TestBlindRetryDoubles(t *testing.T) {
	viewer := newStaticViewer(t)
	for _, fl := range faults {
		if fl.name != "reset" && fl.name != "crossed" {
			continue
		}
		t.Run(fl.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := newSimulation(viewer, 1, fl)
				p := sim.process(instances[0])
				doubled := 0
				for n := range ordersPerFault {
					body := fmt.Sprintf("order-%d", n)
					for attempt := range 4 {
						q := order.Request{RequestID: fmt.Sprintf("%d/%d", n, attempt), Body: body}
						if _, err := p.Order(context.Background(), "a", q); err == nil {
							break
						}
					}
					doubled += min(1, max(0, sim.executions(body)-1))
				}
				t.Logf("doubled %d of %d", doubled, ordersPerFault)
				require.NotZero(t, doubled)
			})
		})
	}
}

// placement returns a placement of an order under a new ticket from p.
func placement(t *testing.T, p *process, body string) coordinator.Placement {
	reply, err := p.Mint(t.Context(), mintRequest)
	require.NoError(t, err)
	return coordinator.Placement{Ticket: reply.Ticket, Caller: "tablet", Service: "order-entry", Key: body, Body: body}
}

func with(p coordinator.Placement, change func(*coordinator.Placement)) coordinator.Placement {
	change(&p)
	return p
}

// TestAnswers checks the outcome of each sequence of actions on a ticket, at its owner and at another instance.
func TestAnswers(t *testing.T) {
	action := func(a string) func(*coordinator.Placement) { return func(p *coordinator.Placement) { p.Action = a } }
	type step struct {
		change         func(*coordinator.Placement)
		state, refusal string
	}
	place, ask, withdraw := func(*coordinator.Placement) {}, action(coordinator.ActionGet), action(coordinator.ActionWithdraw)
	moved := func(p *coordinator.Placement) { p.Key, p.Body = p.Key[:1], p.Key[1:]+p.Body }
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"repeat", []step{{place, outcome.Done, ""}, {place, outcome.Done, ""}, {ask, outcome.Done, ""}}},
		{"ask first", []step{{ask, outcome.NotPlaced, ""}, {place, outcome.Done, ""}}},
		{"withdraw first", []step{{withdraw, outcome.NotRun, ""}, {place, outcome.NotRun, outcome.RefusedExpired}}},
		{"withdraw late", []step{{place, outcome.Done, ""}, {withdraw, outcome.Done, ""}}},
		{"another body", []step{{place, outcome.Done, ""}, {func(p *coordinator.Placement) { p.Body += "x" }, outcome.Unknown, outcome.RefusedConflict}}},
		{"moved bytes", []step{{place, outcome.Done, ""}, {moved, outcome.Unknown, outcome.RefusedConflict}}},
		{"another service", []step{{func(p *coordinator.Placement) { p.Service = "other" }, outcome.Unknown, outcome.RefusedService}, {ask, outcome.NotPlaced, ""}}},
		{"another caller", []step{{func(p *coordinator.Placement) { p.Caller = "other" }, outcome.Unknown, outcome.RefusedTicket}, {ask, outcome.NotPlaced, ""}}},
	} {
		for _, through := range instances[:2] {
			t.Run(c.name+" through "+through, func(t *testing.T) {
				viewer := newStaticViewer(t)
				synctest.Test(t, func(t *testing.T) {
					sim := newSimulation(viewer, 1, fault{})
					p := placement(t, sim.process(instances[0]), "order")
					for _, s := range c.steps {
						o := sim.process(through).Handle(t.Context(), with(p, s.change))
						require.Equal(t, [2]string{s.state, s.refusal}, [2]string{o.State, o.Refusal}, o.Reason)
					}
				})
			})
		}
	}
}

// TestExpiry uses tickets after they expire, while their entry is still in the table and after it was dropped.
func TestExpiry(t *testing.T) {
	viewer := newStaticViewer(t)
	for _, c := range []struct {
		name   string
		placed bool
		after  time.Duration
		state  string
	}{
		{"unused", false, 2 * time.Minute, outcome.NotRun},
		{"unused for long", false, time.Hour, outcome.NotRun},
		{"on record", true, 4 * time.Minute, outcome.Done},
		{"off record", true, time.Hour, outcome.Unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := newSimulation(viewer, 1, fault{})
				owner := sim.process(instances[0])
				p := placement(t, owner, "order")
				if c.placed {
					require.Equal(t, outcome.Done, owner.Handle(t.Context(), p).State)
				}
				time.Sleep(c.after)
				require.Equal(t, c.state, sim.process(instances[1]).Handle(t.Context(), p).State)
				require.Equal(t, c.placed, sim.executions("order") == 1)
			})
		})
	}
}

// TestRefuse checks that a refusal by the owner of the ticket is final, and that another instance reports an unknown outcome.
func TestRefuse(t *testing.T) {
	viewer := newStaticViewer(t)
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(viewer, 1, fault{})
		owner, other := sim.process(instances[0]), sim.process(instances[1])
		p := placement(t, owner, "order")
		o := other.Refuse(t.Context(), p, "busy")
		require.Equal(t, outcome.Unknown, o.State)
		require.True(t, o.NotForwarded)
		require.Equal(t, outcome.NotRun, owner.Refuse(t.Context(), p, "busy").State)
		require.Equal(t, outcome.NotRun, other.Handle(t.Context(), p).State, "not-run is final")
		ran := placement(t, owner, "order-2")
		require.Equal(t, outcome.Done, owner.Handle(t.Context(), ran).State)
		require.Equal(t, outcome.Done, owner.Refuse(t.Context(), ran, "busy").State)
	})
}

// TestLateOutcome lets the caller time out and disconnect while the order runs. The outcome is available later.
func TestLateOutcome(t *testing.T) {
	viewer := newStaticViewer(t)
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(viewer, 1, fault{name: "late", share: 1, upstream: respondLate})
		p := placement(t, sim.process(instances[0]), "order")
		ctx, cancel := context.WithTimeout(t.Context(), deadline)
		defer cancel()
		require.Equal(t, outcome.Unknown, sim.process(instances[1]).Handle(ctx, p).State)
		canceled, cancelCall := context.WithCancel(t.Context())
		cancelCall()
		require.Equal(t, outcome.Unknown, sim.process(instances[0]).Handle(canceled, p).State)
		time.Sleep(5 * time.Second)
		o := sim.process(instances[2]).Handle(t.Context(), with(p, func(p *coordinator.Placement) { p.Action = coordinator.ActionGet }))
		require.Equal(t, outcome.Done, o.State)
		require.Equal(t, 1, sim.executions("order"))
	})
}

// TestForwardOnce checks that an instance does not forward a placement again if it does not own the ticket.
func TestForwardOnce(t *testing.T) {
	viewer := newStaticViewer(t)
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(viewer, 1, fault{})
		p := placement(t, sim.process(instances[0]), "order")
		require.Equal(t, outcome.Unknown, sim.process(instances[1]).HandleForwarded(t.Context(), p).State)
		sim.start(instances[0])
		require.Equal(t, outcome.Unknown, sim.process(instances[0]).HandleForwarded(t.Context(), p).State)
		require.Zero(t, sim.executions("order"))
	})
}

// TestFullTicketTable checks that an order is refused permanently, and not dispatched, if the table of tickets is full.
func TestFullTicketTable(t *testing.T) {
	viewer := newStaticViewer(t)
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(viewer, 1, fault{})
		sender := sim.process(instances[0])
		c := coordinator.New("south-1", 9, key, sender, peerMinter{sender}, viewer, coordinator.WithTable(table.New(table.WithMaxTickets(1))))
		p := &process{Coordinator: c}
		require.Equal(t, outcome.Done, c.Handle(t.Context(), placement(t, p, "order")).State)
		second := placement(t, p, "order-2")
		o := c.Handle(t.Context(), second)
		require.Equal(t, [2]string{outcome.NotRun, outcome.RefusedFull}, [2]string{o.State, o.Refusal})
		time.Sleep(time.Hour)
		require.Equal(t, outcome.NotRun, c.Handle(t.Context(), second).State)
		require.Zero(t, sim.executions("order-2"))
	})
}

// TestPlannedStop stops an instance while an order runs: Wait returns when the order finishes, or reports that it still
// runs. Tickets requested during the stop belong to another instance.
func TestPlannedStop(t *testing.T) {
	viewer := newStaticViewer(t)
	for _, c := range []struct {
		name string
		wait time.Duration
		left int
	}{
		{"finishes", 10 * time.Second, 0},
		{"hurried", 2 * time.Second, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := newSimulation(viewer, 1, fault{name: "late", share: 1, upstream: respondLate})
				owner, other := sim.process(instances[0]), sim.process(instances[1])
				p := placement(t, owner, "order")
				answered := make(chan outcome.Outcome)
				go func() { answered <- owner.Handle(t.Context(), p) }()
				time.Sleep(time.Second)
				owner.StopMinting()
				later := placement(t, owner, "order-2")
				ctx, cancel := context.WithTimeout(t.Context(), c.wait)
				defer cancel()
				require.Equal(t, c.left, owner.Wait(ctx))
				require.Equal(t, c.left > 0, ctx.Err() != nil)
				if c.left == 0 {
					require.Equal(t, outcome.Done, (<-answered).State)
				}
				sim.start(instances[0])
				require.Equal(t, outcome.Unknown, other.Handle(t.Context(), p).State)
				require.Equal(t, outcome.Done, other.Handle(t.Context(), later).State)
				require.Equal(t, 1, sim.executions("order"))
				if c.left > 0 {
					<-answered
				}
			})
		})
	}
}

// TestForwardCost counts the calls between instances for one order without faults.
func TestForwardCost(t *testing.T) {
	viewer := newStaticViewer(t)
	for n, want := range []int{0, 1, 1, 1} {
		synctest.Test(t, func(t *testing.T) {
			sim := newSimulation(viewer, 1, fault{})
			p := placement(t, sim.process(instances[0]), "order")
			require.Equal(t, outcome.Done, sim.process(instances[n]).Handle(t.Context(), p).State)
			require.Equal(t, want, sim.forwards)
		})
	}
}

// instantSender is a Sender whose orders succeed at once.
type instantSender struct{ linkSender }

func (instantSender) Order(_ context.Context, _ string, q order.Request) (order.Reply, error) {
	return order.Reply{RequestID: q.RequestID, OrderID: "order"}, nil
}

func BenchmarkMintAndPlace(b *testing.B) {
	c := coordinator.New("south-1", 1, key, instantSender{}, nil, newStaticViewer(b),
		coordinator.WithTable(table.New(table.WithLifetime(time.Second/10), table.WithRetention(0))))
	b.ReportAllocs()
	for b.Loop() {
		reply, _ := c.MintLocal(mintRequest)
		p := coordinator.Placement{Ticket: reply.Ticket, Caller: "tablet", Service: "order-entry", Key: "k", Body: "b"}
		if o := c.Handle(context.Background(), p); o.State != outcome.Done {
			b.Fatal(o.Reason)
		}
	}
}
