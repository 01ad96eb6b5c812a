// Package coordinator runs orders under tickets, at most once each.
//
// A ticket names the incarnation of the instance that minted it. Only that incarnation runs its order and
// only that incarnation states that it did not run; the others hand the order on to it and, where they
// cannot, answer that the outcome is unknown.
package coordinator

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"crocuswing/internal/fleet/view"
	"crocuswing/internal/index/shard"
	"crocuswing/internal/order/outcome"
	"crocuswing/internal/order/table"
	"crocuswing/internal/order/ticket"
	"crocuswing/internal/task/pause"
	"crocuswing/internal/wire/order"
)

// Sender chooses upstreams and sends orders to them.
type Sender interface {
	// Choose picks a replica that may get new work, besides those in tried.
	Choose(s shard.Shard, tried []string) (string, bool)
	// Order sends one order. It fails with *failure.Failure, whose NotRun tells whether another try is safe.
	Order(ctx context.Context, upstream string, q order.Request) (order.Reply, error)
}

// Forwarder hands a placement to the instance that owns its ticket.
type Forwarder interface {
	// Forward fails with *UnsentError if no byte of the placement was sent. After any other error
	// the owner may have acted.
	Forward(ctx context.Context, owner string, p Placement) (outcome.Outcome, error)
	// Mint takes a ticket from any other instance that is not stopping.
	Mint(ctx context.Context, c MintRequest) (MintReply, error)
}

// MintRequest asks for a ticket for one order of a caller to a service.
type MintRequest struct {
	Caller  string `msgpack:"c"`
	Service string `msgpack:"s"`
}

// MintReply is a ticket and the time for which it may be used.
type MintReply struct {
	Ticket   string        `msgpack:"t"`
	Lifetime time.Duration `msgpack:"l"`
}

// StoppingError refuses a ticket because the instance stops.
type StoppingError struct{ Instance string }

// Error names the instance.
func (e *StoppingError) Error() string {
	return "instance " + e.Instance + " stops and mints no tickets"
}

// Viewer gives a view that is fresh enough for new work.
type Viewer interface {
	// Fresh refreshes the view if it is too old. It fails if that cannot be done before ctx ends.
	Fresh(ctx context.Context) (view.View, error)
}

// UnsentError tells that no byte of a placement was sent to the owner of its ticket.
type UnsentError struct{ Err error }

// Error gives the cause.
func (e *UnsentError) Error() string { return fmt.Sprintf("placement was not sent: %v", e.Err) }

// Unwrap gives the cause.
func (e *UnsentError) Unwrap() error { return e.Err }

// What a placement does under its ticket.
const (
	ActionPlace    = ""         // runs the order, or joins it
	ActionGet      = "ask"      // asks for the outcome and changes nothing
	ActionWithdraw = "withdraw" // asks for the outcome and forbids an order that was not placed yet
)

// Placement is one order under its ticket. Service, Key and Body are empty unless Action is ActionPlace.
type Placement struct {
	Ticket  string `msgpack:"t"`
	Caller  string `msgpack:"c"`
	Service string `msgpack:"s"`
	Key     string `msgpack:"k"`
	Body    string `msgpack:"b"`
	Action  string `msgpack:"a"`
}

// hash identifies the content of the order. Each field is preceded by its length, so that no two
// orders give the same input.
func (p Placement) hash() table.Hash {
	h := sha256.New()
	for _, field := range []string{p.Service, p.Key, p.Body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:])
		_, _ = h.Write([]byte(field))
	}
	return table.Hash(h.Sum(nil))
}

// Coordinator runs the orders of the tickets that it minted. It is safe for concurrent use.
type Coordinator struct {
	owner       string
	incarnation uint64
	key         []byte
	started     time.Time
	table       *table.Table
	sender      Sender
	forwarder   Forwarder
	viewer      Viewer
	stopping    atomic.Bool
}

// Option changes how a coordinator is made.
type Option func(*Coordinator)

// WithTable uses another table of tickets.
func WithTable(t *table.Table) Option { return func(d *Coordinator) { d.table = t } }

// New makes a coordinator for one incarnation of the instance owner; key signs the tickets.
func New(owner string, incarnation uint64, key []byte, s Sender, f Forwarder, v Viewer, options ...Option) *Coordinator {
	d := &Coordinator{
		owner:       owner,
		incarnation: incarnation,
		key:         key,
		started:     time.Now(),
		sender:      s,
		forwarder:   f,
		viewer:      v,
	}
	for _, o := range options {
		o(d)
	}
	if d.table == nil {
		d.table = table.New()
	}
	return d
}

// StopMinting makes the coordinator take new tickets from other instances, since its own would soon have no owner.
// Orders go on as before.
func (d *Coordinator) StopMinting() { d.stopping.Store(true) }

// Mint gives a new ticket. While the coordinator stops it is one of another instance, if any gives one.
// It fails with *ticket.Error.
func (d *Coordinator) Mint(ctx context.Context, c MintRequest) (MintReply, error) {
	if d.stopping.Load() {
		if g, err := d.forwarder.Mint(ctx, c); err == nil {
			return g, nil
		}
	}
	return d.MintLocal(c)
}

// MintForPeer gives a new ticket to another instance that stops. It fails with *StoppingError or *ticket.Error.
func (d *Coordinator) MintForPeer(c MintRequest) (MintReply, error) {
	if d.stopping.Load() {
		return MintReply{}, &StoppingError{Instance: d.owner}
	}
	return d.MintLocal(c)
}

// MintLocal gives a new ticket that this coordinator owns. It fails with *ticket.Error.
func (d *Coordinator) MintLocal(c MintRequest) (MintReply, error) {
	now := d.now()
	id, end := d.table.Issue(now)
	text, err := ticket.Mint(ticket.Ticket{
		Owner:       d.owner,
		Incarnation: d.incarnation,
		Number:      id,
		ExpiryMS:    end.Milliseconds(),
		Caller:      c.Caller,
		Service:     c.Service,
	}, d.key)
	return MintReply{Ticket: text, Lifetime: end - now}, err
}

// Handle takes a placement from a caller. It forwards the tickets of other instances. The outcome is
// unknown if ctx ends first; the order runs on then, and its ticket can be asked again.
func (d *Coordinator) Handle(ctx context.Context, p Placement) outcome.Outcome {
	t, err := ticket.Verify(p.Ticket, d.key, p.Caller)
	if err != nil {
		return refuseTicket(err)
	}
	if t.Owner != d.owner {
		return d.forward(ctx, t, p).WithReference(t.Reference())
	}
	return d.answer(ctx, t, p).WithReference(t.Reference())
}

// HandleForwarded takes a placement that another instance forwarded. It is never forwarded again.
func (d *Coordinator) HandleForwarded(ctx context.Context, p Placement) outcome.Outcome {
	t, err := ticket.Verify(p.Ticket, d.key, p.Caller)
	if err != nil {
		return refuseTicket(err)
	}
	return d.answer(ctx, t, p).WithReference(t.Reference())
}

// Refuse answers a placement that this instance may not take on now. It settles the ticket if that is
// its own: an order that was placed keeps its outcome, one that was not never will be.
func (d *Coordinator) Refuse(ctx context.Context, p Placement, reason string) outcome.Outcome {
	t, err := ticket.Verify(p.Ticket, d.key, p.Caller)
	if err != nil {
		return refuseTicket(err)
	}
	if !d.owns(t) {
		o := outcome.Refused(outcome.RefusedBusy, outcome.Unknown, reason)
		o.NotForwarded = true
		return o.WithReference(t.Reference())
	}
	e, o := d.table.Withdraw(t.Number, t.Expiry(), d.now())
	if e != nil {
		return wait(ctx, e).WithReference(t.Reference())
	}
	o.Refusal, o.Reason = outcome.RefusedBusy, reason
	return o.WithReference(t.Reference())
}

// Wait blocks until no order runs or ctx ends, and gives the number of orders that still run.
// Orders may begin meanwhile.
func (d *Coordinator) Wait(ctx context.Context) int {
	select {
	case <-d.table.Idle():
	case <-ctx.Done():
	}
	return d.table.Stats().Running
}

// Stats counts the tickets on record.
func (d *Coordinator) Stats() table.Stats { return d.table.Stats() }

// Running gives the references of the orders that run, also of those between two attempts.
// Nobody learns their outcomes if the instance ends now.
func (d *Coordinator) Running() []string {
	ids := d.table.Running()
	references := make([]string, 0, len(ids))
	for _, id := range ids {
		t := ticket.Ticket{Owner: d.owner, Incarnation: d.incarnation, Number: id}
		references = append(references, t.Reference())
	}
	return references
}

func (d *Coordinator) now() time.Duration { return time.Since(d.started) }

func (d *Coordinator) owns(t ticket.Ticket) bool {
	return t.Owner == d.owner && t.Incarnation == d.incarnation
}

func (d *Coordinator) answer(ctx context.Context, t ticket.Ticket, p Placement) outcome.Outcome {
	if !d.owns(t) {
		return outcome.Outcome{State: outcome.Unknown, Reason: "the ticket's owner was replaced"}
	}
	switch p.Action {
	case ActionPlace:
		return d.place(ctx, t, p)
	case ActionWithdraw:
		e, o := d.table.Withdraw(t.Number, t.Expiry(), d.now())
		return settle(ctx, e, o)
	}
	e, o := d.table.Get(t.Number, t.Expiry(), d.now())
	return settle(ctx, e, o)
}

func (d *Coordinator) place(ctx context.Context, t ticket.Ticket, p Placement) outcome.Outcome {
	if t.Service != p.Service {
		return outcome.Refused(outcome.RefusedService, outcome.Unknown, "the ticket is for service "+t.Service)
	}
	e, first, o := d.table.Begin(t.Number, t.Expiry(), p.hash(), d.now())
	if e == nil {
		return o
	}
	if first {
		start := startBy(ctx, time.Now())
		go func() { e.Finish(d.run(context.WithoutCancel(ctx), start, t, p)) }()
	}
	return wait(ctx, e)
}

func refuseTicket(err error) outcome.Outcome {
	o := outcome.Refused(outcome.RefusedTicket, outcome.Unknown, err.Error())
	o.NotForwarded = true
	return o
}

// settle gives the outcome of an entry, or o without one.
func settle(ctx context.Context, e *table.Entry, o outcome.Outcome) outcome.Outcome {
	if e == nil {
		return o
	}
	return wait(ctx, e)
}

func wait(ctx context.Context, e *table.Entry) outcome.Outcome {
	done := e.Done()
	select {
	case <-done:
		return e.Outcome()
	default:
	}
	select {
	case <-done:
		return e.Outcome()
	case <-ctx.Done():
		return outcome.Outcome{State: outcome.Unknown, Reason: "the order still runs"}
	}
}

func (d *Coordinator) forward(ctx context.Context, t ticket.Ticket, p Placement) outcome.Outcome {
	unsent := true
	for n := range maxForwards {
		o, err := d.forwarder.Forward(ctx, t.Owner, p)
		if err == nil {
			return o
		}
		var u *UnsentError
		unsent = unsent && errors.As(err, &u)
		if n+1 == maxForwards || !pause.For(ctx, forwardPause<<n) {
			break
		}
	}
	return outcome.Outcome{
		State:        outcome.Unknown,
		Reason:       "the ticket's owner " + t.Owner + " cannot be reached",
		NotForwarded: unsent,
	}
}
