// Package desk runs orders under tickets, at most once each.
package desk

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"crocuswing/internal/config/service"
	"crocuswing/internal/fleet/view"
	"crocuswing/internal/index/shard"
	"crocuswing/internal/order/outcome"
	"crocuswing/internal/order/table"
	"crocuswing/internal/order/ticket"
	"crocuswing/internal/upstream/failure"
	"crocuswing/internal/wire/order"

	"github.com/cespare/xxhash/v2"
)

const (
	ticketLife  = 2 * time.Minute
	maxTickets  = 100_000
	maxAttempts = 4
)

// Sender chooses upstreams and sends orders to them.
type Sender interface {
	// Choose picks a replica that may get new work, besides those in tried.
	Choose(s shard.Shard, tried []string) (string, bool)
	// Order sends one order. It fails with *failure.Failure.
	Order(ctx context.Context, upstream string, q order.Request) (order.Reply, error)
}

// Forwarder hands an order to the instance that owns its ticket.
type Forwarder interface {
	// Forward fails only if no byte of the order was sent.
	Forward(ctx context.Context, owner string, p Placement) (outcome.Outcome, error)
}

// Placement is one order under its ticket. Ask only asks for the recorded outcome.
type Placement struct {
	Ticket  string `msgpack:"t"`
	Caller  string `msgpack:"c"`
	Service string `msgpack:"s"`
	Key     string `msgpack:"k"`
	Body    string `msgpack:"b"`
	Ask     bool   `msgpack:"a"`
}

// Desk runs the orders of the tickets that it minted. It is safe for concurrent use.
type Desk struct {
	owner       string
	incarnation uint64
	key         []byte
	number      atomic.Uint64
	table       *table.Table
	sender      Sender
	forwarder   Forwarder
	running     sync.WaitGroup
}

// New makes a desk for one incarnation of the instance owner; key signs the tickets.
func New(owner string, incarnation uint64, key []byte, s Sender, f Forwarder) *Desk {
	return &Desk{owner: owner, incarnation: incarnation, key: key, table: table.New(maxTickets), sender: s, forwarder: f}
}

// Mint gives a new ticket for one order of a caller to a service, and its end.
func (d *Desk) Mint(caller, service string, now time.Time) (string, time.Time, error) {
	expires := now.Add(ticketLife)
	text, err := ticket.Mint(ticket.Ticket{
		Owner:       d.owner,
		Incarnation: d.incarnation,
		Number:      d.number.Add(1),
		ExpiresMS:   expires.UnixMilli(),
		Caller:      caller,
		Service:     service,
	}, d.key)
	return text, expires, err
}

// Place runs an order, or gives the outcome that its ticket has already.
// It fails with *ticket.Error or *table.Error; nothing of the order was dispatched then.
func (d *Desk) Place(ctx context.Context, v view.View, p Placement) (outcome.Outcome, error) {
	t, err := ticket.Verify(p.Ticket, d.key, p.Caller)
	if err != nil {
		return outcome.Outcome{}, err
	}
	if t.Service != p.Service && !p.Ask {
		return outcome.Outcome{}, &ticket.Error{Reason: "is for another service"}
	}
	if t.Owner != d.owner {
		return d.forward(ctx, t, p), nil
	}
	if t.Incarnation != d.incarnation {
		return outcome.Outcome{State: outcome.Unknown, Reason: "the ticket's owner was replaced"}, nil
	}
	return d.placeOwn(ctx, v, t, p)
}

// Wait blocks until no order runs any more or ctx ends.
func (d *Desk) Wait(ctx context.Context) {
	finished := make(chan struct{})
	go func() {
		d.running.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-ctx.Done():
	}
}

// Tickets is the number of tickets on record.
func (d *Desk) Tickets() int { return d.table.Len() }

func (d *Desk) forward(ctx context.Context, t ticket.Ticket, p Placement) outcome.Outcome {
	o, err := d.forwarder.Forward(ctx, t.Owner, p)
	if err != nil {
		return outcome.Outcome{State: outcome.Unknown, Reason: fmt.Sprintf("the ticket's owner %s cannot be reached", t.Owner)}
	}
	return o
}

func (d *Desk) placeOwn(ctx context.Context, v view.View, t ticket.Ticket, p Placement) (outcome.Outcome, error) {
	if p.Ask {
		return d.ask(ctx, t), nil
	}
	body := xxhash.Sum64String(p.Service + "\x00" + p.Key + "\x00" + p.Body)
	e, first, err := d.table.Begin(t.ID(), body, time.Now(), time.UnixMilli(t.ExpiresMS))
	if err != nil {
		return outcome.Outcome{}, err
	}
	if first {
		d.running.Go(func() { d.run(context.WithoutCancel(ctx), v, e, t, p) })
	}
	return wait(ctx, e), nil
}

func (d *Desk) ask(ctx context.Context, t ticket.Ticket) outcome.Outcome {
	e, ok := d.table.Find(t.ID())
	if !ok {
		return outcome.Outcome{State: outcome.NotRun, Reason: "no order was placed under this ticket"}
	}
	return wait(ctx, e)
}

func wait(ctx context.Context, e *table.Entry) outcome.Outcome {
	select {
	case <-e.Done():
		return e.Outcome()
	case <-ctx.Done():
		return outcome.Outcome{State: outcome.Unknown, Reason: "the order still runs"}
	}
}

// run sends the order until one attempt may have reached an upstream.
func (d *Desk) run(ctx context.Context, v view.View, e *table.Entry, t ticket.Ticket, p Placement) {
	ctx, cancel := context.WithTimeout(ctx, v.Config().Preset().Deadline())
	defer cancel()
	s, ok := v.Config().Service(p.Service)
	if !ok || s.Kind != service.KindOrder {
		e.Finish(outcome.Outcome{State: outcome.NotRun, Reason: "there is no order service " + p.Service})
		return
	}
	q := order.Request{
		RequestID: fmt.Sprintf("%s/%x/%d", t.Owner, t.Incarnation, t.Number),
		Service:   p.Service,
		Key:       p.Key,
		Body:      p.Body,
	}
	e.Finish(d.send(ctx, s.Current().ShardOf(p.Key), q))
}

func (d *Desk) send(ctx context.Context, s shard.Shard, q order.Request) outcome.Outcome {
	var tried []string
	for range maxAttempts {
		upstream, ok := d.sender.Choose(s, tried)
		if !ok {
			return outcome.Outcome{State: outcome.NotRun, Reason: "no upstream may take the order"}
		}
		reply, err := d.sender.Order(ctx, upstream, q)
		if err == nil {
			return outcome.Outcome{State: outcome.Done, OrderID: reply.OrderID}
		}
		var f *failure.Failure
		if !errors.As(err, &f) || !f.NotRun {
			return outcome.Outcome{State: outcome.Unknown, Reason: err.Error()}
		}
		if ctx.Err() != nil {
			return outcome.Outcome{State: outcome.NotRun, Reason: err.Error()}
		}
		tried = append(tried, upstream)
	}
	return outcome.Outcome{State: outcome.NotRun, Reason: "every upstream refused the order"}
}
