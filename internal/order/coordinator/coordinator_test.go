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

var claim = coordinator.MintRequest{Caller: "tablet", Service: "order-entry"}

var faults = []fault{
	{name: "none"},
	{name: "refused", share: 0.3, upstream: notSent(failure.KindRefused)},
	{name: "shed", share: 0.3, upstream: notSent(failure.KindShed)},
	{name: "drain", share: 0.9, upstream: notSent(failure.KindForbidden)},
	{name: "reset", share: 0.3, upstream: broken(failure.KindReset)},
	{name: "crossed", share: 0.3, upstream: broken(failure.KindCrossed)},
	{name: "late", share: 0.3, upstream: late},
	{name: "silent", share: 0.3, upstream: silent},
	{name: "call unsent", unsent: 0.5},
	{name: "call lost", lost: 0.3},
	{name: "answer lost", unheard: 0.3},
	{name: "owner paused", pauses: true},
	{name: "owner killed", kills: true},
	{name: "all", share: 0.3, upstream: broken(failure.KindReset), unsent: 0.2, lost: 0.2, unheard: 0.2, kills: true, pauses: true},
}

// customer is one careless caller: it repeats what it does not know, through all instances at once.
type customer struct {
	*world
	n       int
	body    string
	calls   sync.WaitGroup
	mu      sync.Mutex
	answers []answer
}

// answer is one outcome with the bodies that it may be about.
type answer struct {
	outcome.Outcome
	bodies []string
}

func (c *customer) place(instance, text, body, action string) outcome.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	p := coordinator.Placement{Ticket: text, Caller: "tablet", Action: action}
	bodies := []string{c.body, c.changed()}
	if action == coordinator.ActionPlace {
		p.Service, p.Key, p.Body = "order-entry", body, body
		bodies = []string{body}
	}
	to := c.process(instance)
	if !to.wake(ctx) {
		return outcome.Outcome{State: outcome.Unknown}
	}
	o := to.Handle(ctx, p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, answer{Outcome: o, bodies: bodies})
	return o
}

func (c *customer) changed() string { return c.body + " changed" }

// order is a whole exchange of the customer about one order; it gives the last outcome.
func (c *customer) order(mint *process) outcome.Outcome {
	defer c.calls.Wait()
	g, err := mint.Mint(context.Background(), claim)
	if err != nil {
		return outcome.Outcome{State: outcome.NotRun}
	}
	text := g.Ticket
	time.Sleep(time.Duration(c.roll("think", c.n)*500) * time.Millisecond)
	if c.roll("withdraw", c.n) < 0.02 {
		c.calls.Go(func() {
			time.Sleep(time.Millisecond / 2) // before or after the order reaches its owner, but never with it
			c.place(instances[(c.n+c.n/4%2)%len(instances)], text, c.body, coordinator.ActionWithdraw)
		})
	}
	o := c.place(instances[c.n/4%len(instances)], text, c.body, coordinator.ActionPlace)
	if o.State == outcome.Unknown || c.n%10 == 0 {
		c.everywhere(text)
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
		time.Sleep(10 * time.Minute) // past the end of the ticket and of its record
		c.place(instances[c.n%len(instances)], text, c.body, coordinator.ActionPlace)
	}
	return o
}

func (c *customer) everywhere(text string) {
	var calls sync.WaitGroup
	for _, name := range instances {
		calls.Go(func() { c.place(name, text, c.body, coordinator.ActionPlace) })
	}
	calls.Wait()
}

// verdict counts what the record of the upstreams says about the answers.
type verdict struct {
	done, notRun, unknown, notForwarded int
	doubled, lost, falseNotRun          int
}

func (v *verdict) add(c *customer, last outcome.Outcome) {
	if c.times(c.body)+c.times(c.changed()) > 1 {
		v.doubled++
	}
	for _, o := range c.answers {
		ran := 0
		for _, body := range o.bodies {
			ran += c.times(body)
		}
		if o.State == outcome.Done && ran == 0 {
			v.lost++
		}
		if o.State == outcome.NotRun && ran > 0 {
			v.falseNotRun++
		}
	}
	switch last.State {
	case outcome.Done:
		v.done++
	case outcome.NotRun:
		v.notRun++
	default:
		v.unknown++
		if last.NotForwarded {
			v.notForwarded++
		}
	}
}

// drive places orders through four coordinators under one fault and waits until nothing runs any more.
func drive(f fresh, seed uint64, fl fault) verdict {
	w := newWorld(f, seed, fl)
	customers := make([]*customer, ordersPerFault)
	last := make([]outcome.Outcome, ordersPerFault)
	var work sync.WaitGroup
	for n := range customers {
		c := &customer{world: w, n: n, body: fmt.Sprintf("order-%d", n)}
		customers[n] = c
		mint := w.process(instances[n%len(instances)])
		work.Go(func() { last[n] = c.order(mint) })
		time.Sleep(7 * time.Millisecond)
		name := instances[n/50%len(instances)]
		if fl.kills && n%100 == 99 {
			w.start(name)
		}
		if fl.pauses && n%100 == 49 {
			w.pause(name, time.Duration(w.roll("pause", n)*3000)*time.Millisecond)
		}
	}
	work.Wait()
	var v verdict
	for n, c := range customers {
		v.add(c, last[n])
	}
	return v
}

// TestOrdersUnderFaults places 14,000 orders per seed and judges each by what the upstreams ran.
func TestOrdersUnderFaults(t *testing.T) {
	f := newFresh(t)
	for _, seed := range []uint64{1, 2} {
		for _, fl := range faults {
			t.Run(fmt.Sprintf("%s/seed %d", fl.name, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					v := drive(f, seed, fl)
					t.Logf("done %d, not-run %d, unknown %d (not forwarded %d)", v.done, v.notRun, v.unknown, v.notForwarded)
					require.Zero(t, v.doubled, "doubled")
					require.Zero(t, v.lost, "lost")
					require.Zero(t, v.falseNotRun, "false not-run")
					require.Equal(t, ordersPerFault, v.done+v.notRun+v.unknown)
				})
			})
		}
	}
}

// TestBlindRetryDoubles shows that the rig catches doubled orders: blind retries cause them.
func TestBlindRetryDoubles(t *testing.T) {
	f := newFresh(t)
	for _, fl := range faults {
		if fl.name != "reset" && fl.name != "crossed" {
			continue
		}
		t.Run(fl.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(f, 1, fl)
				p := w.process(instances[0])
				doubled := 0
				for n := range ordersPerFault {
					body := fmt.Sprintf("order-%d", n)
					for try := range 4 {
						q := order.Request{RequestID: fmt.Sprintf("%d/%d", n, try), Body: body}
						if _, err := p.Order(context.Background(), "a", q); err == nil {
							break
						}
					}
					doubled += min(1, max(0, w.times(body)-1))
				}
				t.Logf("doubled %d of %d", doubled, ordersPerFault)
				require.NotZero(t, doubled)
			})
		})
	}
}

// placement gives an order under a new ticket of the process.
func placement(t *testing.T, p *process, body string) coordinator.Placement {
	g, err := p.Mint(t.Context(), claim)
	require.NoError(t, err)
	return coordinator.Placement{Ticket: g.Ticket, Caller: "tablet", Service: "order-entry", Key: body, Body: body}
}

func with(p coordinator.Placement, change func(*coordinator.Placement)) coordinator.Placement {
	change(&p)
	return p
}

// TestAnswers states the answer to each way to use a ticket, at its owner and at another instance.
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
				f := newFresh(t)
				synctest.Test(t, func(t *testing.T) {
					w := newWorld(f, 1, fault{})
					p := placement(t, w.process(instances[0]), "order")
					for _, s := range c.steps {
						o := w.process(through).Handle(t.Context(), with(p, s.change))
						require.Equal(t, [2]string{s.state, s.refusal}, [2]string{o.State, o.Refusal}, o.Reason)
					}
				})
			})
		}
	}
}

// TestExpiry uses a ticket before and after its end and the end of its record.
func TestExpiry(t *testing.T) {
	f := newFresh(t)
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
				w := newWorld(f, 1, fault{})
				owner := w.process(instances[0])
				p := placement(t, owner, "order")
				if c.placed {
					require.Equal(t, outcome.Done, owner.Handle(t.Context(), p).State)
				}
				time.Sleep(c.after)
				require.Equal(t, c.state, w.process(instances[1]).Handle(t.Context(), p).State)
				require.Equal(t, c.placed, w.times("order") == 1)
			})
		})
	}
}

// TestRefuse settles an own ticket and says nothing about that of another instance.
func TestRefuse(t *testing.T) {
	f := newFresh(t)
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(f, 1, fault{})
		owner, other := w.process(instances[0]), w.process(instances[1])
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

// TestLateOutcome hangs up and times out during the order; its ticket then gives the outcome.
func TestLateOutcome(t *testing.T) {
	f := newFresh(t)
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(f, 1, fault{name: "late", share: 1, upstream: late})
		p := placement(t, w.process(instances[0]), "order")
		ctx, cancel := context.WithTimeout(t.Context(), deadline)
		defer cancel()
		require.Equal(t, outcome.Unknown, w.process(instances[1]).Handle(ctx, p).State)
		hungUp, hangUp := context.WithCancel(t.Context())
		hangUp()
		require.Equal(t, outcome.Unknown, w.process(instances[0]).Handle(hungUp, p).State)
		time.Sleep(5 * time.Second)
		o := w.process(instances[2]).Handle(t.Context(), with(p, func(p *coordinator.Placement) { p.Action = coordinator.ActionGet }))
		require.Equal(t, outcome.Done, o.State)
		require.Equal(t, 1, w.times("order"))
	})
}

// TestForwardOnce hands a placement to a process that is not its owner: it is not handed on.
func TestForwardOnce(t *testing.T) {
	f := newFresh(t)
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(f, 1, fault{})
		p := placement(t, w.process(instances[0]), "order")
		require.Equal(t, outcome.Unknown, w.process(instances[1]).HandleForwarded(t.Context(), p).State)
		w.start(instances[0])
		require.Equal(t, outcome.Unknown, w.process(instances[0]).HandleForwarded(t.Context(), p).State)
		require.Zero(t, w.times("order"))
	})
}

// TestFullDesk refuses a second order before anything is dispatched, and for good.
func TestFullDesk(t *testing.T) {
	f := newFresh(t)
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(f, 1, fault{})
		sender := w.process(instances[0])
		d := coordinator.New("south-1", 9, key, sender, minter{sender}, f, coordinator.WithTable(table.New(table.WithMaxTickets(1))))
		p := &process{Coordinator: d}
		require.Equal(t, outcome.Done, d.Handle(t.Context(), placement(t, p, "order")).State)
		second := placement(t, p, "order-2")
		o := d.Handle(t.Context(), second)
		require.Equal(t, [2]string{outcome.NotRun, outcome.RefusedFull}, [2]string{o.State, o.Refusal})
		time.Sleep(time.Hour)
		require.Equal(t, outcome.NotRun, d.Handle(t.Context(), second).State)
		require.Zero(t, w.times("order-2"))
	})
}

// TestPlannedStop lets an order finish, reports one that does not, and mints at another instance meanwhile.
func TestPlannedStop(t *testing.T) {
	f := newFresh(t)
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
				w := newWorld(f, 1, fault{name: "late", share: 1, upstream: late})
				owner, other := w.process(instances[0]), w.process(instances[1])
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
				w.start(instances[0])
				require.Equal(t, outcome.Unknown, other.Handle(t.Context(), p).State)
				require.Equal(t, outcome.Done, other.Handle(t.Context(), later).State)
				require.Equal(t, 1, w.times("order"))
				if c.left > 0 {
					<-answered
				}
			})
		})
	}
}

// TestForwardCost counts the calls between instances of an order without faults.
func TestForwardCost(t *testing.T) {
	f := newFresh(t)
	for n, want := range []int{0, 1, 1, 1} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(f, 1, fault{})
			p := placement(t, w.process(instances[0]), "order")
			require.Equal(t, outcome.Done, w.process(instances[n]).Handle(t.Context(), p).State)
			require.Equal(t, want, w.forwards)
		})
	}
}

// instant is a Sender that answers at once.
type instant struct{ pair }

func (instant) Order(_ context.Context, _ string, q order.Request) (order.Reply, error) {
	return order.Reply{RequestID: q.RequestID, OrderID: "order"}, nil
}

func BenchmarkMintAndPlace(b *testing.B) {
	d := coordinator.New("south-1", 1, key, instant{}, nil, newFresh(b),
		coordinator.WithTable(table.New(table.WithLifetime(time.Second/10), table.WithRetention(0))))
	b.ReportAllocs()
	for b.Loop() {
		g, _ := d.MintLocal(claim)
		p := coordinator.Placement{Ticket: g.Ticket, Caller: "tablet", Service: "order-entry", Key: "k", Body: "b"}
		if o := d.Handle(context.Background(), p); o.State != outcome.Done {
			b.Fatal(o.Reason)
		}
	}
}
