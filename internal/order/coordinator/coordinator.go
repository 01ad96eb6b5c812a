// Package coordinator runs orders under tickets, each at most once. It stands between the HTTP handlers, which
// admit the requests of callers, and the dispatcher, which sends orders to upstreams.
//
// A ticket names the incarnation of the instance that minted it, its owner. Only the owner runs the order of a ticket, and only
// the owner may report that the order did not run. Every other instance forwards the order to the owner; if it cannot reach the
// owner, it reports an unknown outcome.
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
	// Choose picks a replica of s that may get new work, other than those in attempted.
	Choose(s shard.Shard, attempted []string) (string, bool)
	// Order sends one order. It fails with *failure.Failure, whose NotRun reports whether another attempt is safe.
	Order(ctx context.Context, upstream string, q order.Request) (order.Reply, error)
}

// Forwarder sends placements and requests for tickets to other instances.
type Forwarder interface {
	// Forward sends a placement to the instance that owns its ticket. It fails with *UnsentError if no byte of
	// the placement was sent. After any other error the owner may have processed it.
	Forward(ctx context.Context, owner string, p Placement) (outcome.Outcome, error)
	// Mint requests a ticket from any other instance that is not stopping.
	Mint(ctx context.Context, req MintRequest) (MintReply, error)
}

// MintRequest requests a ticket for one order of a caller to a service.
type MintRequest struct {
	Caller  string `msgpack:"c"`
	Service string `msgpack:"s"`
}

// MintReply holds a new ticket and the time for which it is valid.
type MintReply struct {
	Ticket   string        `msgpack:"t"`
	Lifetime time.Duration `msgpack:"l"`
}

// StoppingError is returned when an instance mints no tickets because it is stopping.
type StoppingError struct{ Instance string }

func (e *StoppingError) Error() string {
	return "instance " + e.Instance + " stops and mints no tickets"
}

// Viewer provides a view that is recent enough for new work.
type Viewer interface {
	// Fresh returns the view, refreshed if it was too old. It fails if it cannot be refreshed before ctx ends.
	Fresh(ctx context.Context) (view.View, error)
}

// UnsentError reports that no byte of a placement was sent to the owner of its ticket.
type UnsentError struct{ Err error }

func (e *UnsentError) Error() string {
	return fmt.Sprintf("placement was not sent: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Err }

// Actions of a placement.
const (
	ActionPlace    = ""         // runs the order, or waits for its outcome if it already runs
	ActionGet      = "ask"      // returns the outcome and changes nothing
	ActionWithdraw = "withdraw" // returns the outcome, and prevents an order that was not placed yet
)

// Placement is one request about the order of a ticket. Service, Key and Body are empty unless Action is ActionPlace.
type Placement struct {
	Ticket  string `msgpack:"t"`
	Caller  string `msgpack:"c"`
	Service string `msgpack:"s"`
	Key     string `msgpack:"k"`
	Body    string `msgpack:"b"`
	Action  string `msgpack:"a"`
}

// hash returns a digest that identifies the content of the order. Each field is preceded by its length, so that no
// two orders produce the same input.
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

// Coordinator runs the orders of the tickets that it minted and forwards all others. It is safe for concurrent use.
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

// Option configures a Coordinator.
type Option func(*Coordinator)

// WithTable replaces the default table of tickets.
func WithTable(t *table.Table) Option { return func(c *Coordinator) { c.table = t } }

// New returns a coordinator for one incarnation of the instance named owner; key signs the tickets.
func New(owner string, incarnation uint64, key []byte, sender Sender, forwarder Forwarder, viewer Viewer, options ...Option) *Coordinator {
	c := &Coordinator{
		owner:       owner,
		incarnation: incarnation,
		key:         key,
		started:     time.Now(),
		sender:      sender,
		forwarder:   forwarder,
		viewer:      viewer,
	}
	for _, o := range options {
		o(c)
	}
	if c.table == nil {
		c.table = table.New()
	}
	return c
}

// StopMinting makes Mint request tickets from other instances, since tickets of this instance would soon lose
// their owner. Orders are still accepted.
func (c *Coordinator) StopMinting() { c.stopping.Store(true) }

// Mint returns a new ticket. After StopMinting it requests the ticket from another instance, and mints one of its own
// only if none provides one. It fails with *ticket.Error.
func (c *Coordinator) Mint(ctx context.Context, req MintRequest) (MintReply, error) {
	if c.stopping.Load() {
		if reply, err := c.forwarder.Mint(ctx, req); err == nil {
			return reply, nil
		}
	}
	return c.MintLocal(req)
}

// MintForPeer returns a new ticket for another instance that is stopping. It fails with *StoppingError or *ticket.Error.
func (c *Coordinator) MintForPeer(req MintRequest) (MintReply, error) {
	if c.stopping.Load() {
		return MintReply{}, &StoppingError{Instance: c.owner}
	}
	return c.MintLocal(req)
}

// MintLocal returns a new ticket that this instance owns. It fails with *ticket.Error.
func (c *Coordinator) MintLocal(req MintRequest) (MintReply, error) {
	now := c.now()
	id, expiry := c.table.Issue(now)
	text, err := ticket.Mint(ticket.Ticket{
		Owner:       c.owner,
		Incarnation: c.incarnation,
		Number:      id,
		ExpiryMS:    expiry.Milliseconds(),
		Caller:      req.Caller,
		Service:     req.Service,
	}, c.key)
	return MintReply{Ticket: text, Lifetime: expiry - now}, err
}

// Handle processes a placement from a caller. It forwards the placement if another instance owns the ticket. If ctx
// ends first, the outcome is unknown; the order continues, and ActionGet returns its outcome later.
func (c *Coordinator) Handle(ctx context.Context, p Placement) outcome.Outcome {
	t, err := ticket.Verify(p.Ticket, c.key, p.Caller)
	if err != nil {
		return refuseTicket(err)
	}
	if t.Owner != c.owner {
		return c.forward(ctx, t, p).WithReference(t.Reference())
	}
	return c.handleLocal(ctx, t, p).WithReference(t.Reference())
}

// HandleForwarded processes a placement that another instance forwarded. It never forwards the placement again.
func (c *Coordinator) HandleForwarded(ctx context.Context, p Placement) outcome.Outcome {
	t, err := ticket.Verify(p.Ticket, c.key, p.Caller)
	if err != nil {
		return refuseTicket(err)
	}
	return c.handleLocal(ctx, t, p).WithReference(t.Reference())
}

// Refuse refuses a placement that this instance may not accept now. If it owns the ticket, the refusal is final: an
// order that was placed keeps its outcome, and an order that was not placed can no longer be placed.
func (c *Coordinator) Refuse(ctx context.Context, p Placement, reason string) outcome.Outcome {
	t, err := ticket.Verify(p.Ticket, c.key, p.Caller)
	if err != nil {
		return refuseTicket(err)
	}
	if !c.owns(t) {
		o := outcome.Refused(outcome.RefusedBusy, outcome.Unknown, reason)
		o.NotForwarded = true
		return o.WithReference(t.Reference())
	}
	e, o := c.table.Withdraw(t.Number, t.Expiry(), c.now())
	if e != nil {
		return awaitOutcome(ctx, e).WithReference(t.Reference())
	}
	o.Refusal, o.Reason = outcome.RefusedBusy, reason
	return o.WithReference(t.Reference())
}

// Wait blocks until no order runs or ctx ends, and returns the number of orders that still run. It does not prevent
// new orders.
func (c *Coordinator) Wait(ctx context.Context) int {
	select {
	case <-c.table.Idle():
	case <-ctx.Done():
	}
	return c.table.Stats().Running
}

// Stats returns the statistics of the table of tickets.
func (c *Coordinator) Stats() table.Stats { return c.table.Stats() }

// Running returns the references of the orders that run, including those between two attempts. Their outcomes are
// lost if the instance terminates now.
func (c *Coordinator) Running() []string {
	ids := c.table.Running()
	references := make([]string, 0, len(ids))
	for _, id := range ids {
		t := ticket.Ticket{Owner: c.owner, Incarnation: c.incarnation, Number: id}
		references = append(references, t.Reference())
	}
	return references
}

func (c *Coordinator) now() time.Duration { return time.Since(c.started) }

func (c *Coordinator) owns(t ticket.Ticket) bool {
	return t.Owner == c.owner && t.Incarnation == c.incarnation
}

// handleLocal processes a placement without forwarding it. The outcome is unknown if another incarnation minted the ticket.
func (c *Coordinator) handleLocal(ctx context.Context, t ticket.Ticket, p Placement) outcome.Outcome {
	if !c.owns(t) {
		return outcome.Outcome{State: outcome.Unknown, Reason: "the ticket's owner was replaced"}
	}
	switch p.Action {
	case ActionPlace:
		return c.place(ctx, t, p)
	case ActionWithdraw:
		e, o := c.table.Withdraw(t.Number, t.Expiry(), c.now())
		return entryOutcome(ctx, e, o)
	}
	e, o := c.table.Get(t.Number, t.Expiry(), c.now())
	return entryOutcome(ctx, e, o)
}

// place runs the order unless one was placed under the ticket before, and waits for the outcome. The order continues to run if
// ctx ends first.
func (c *Coordinator) place(ctx context.Context, t ticket.Ticket, p Placement) outcome.Outcome {
	if t.Service != p.Service {
		return outcome.Refused(outcome.RefusedService, outcome.Unknown, "the ticket is for service "+t.Service)
	}
	e, first, o := c.table.Begin(t.Number, t.Expiry(), p.hash(), c.now())
	if e == nil {
		return o
	}
	if first {
		dispatchBy := dispatchDeadline(ctx, time.Now())
		go func() { e.Finish(c.run(context.WithoutCancel(ctx), dispatchBy, t, p)) }()
	}
	return awaitOutcome(ctx, e)
}

func refuseTicket(err error) outcome.Outcome {
	o := outcome.Refused(outcome.RefusedTicket, outcome.Unknown, err.Error())
	o.NotForwarded = true
	return o
}

// entryOutcome waits for the outcome of e and returns it. It returns o if e is nil.
func entryOutcome(ctx context.Context, e *table.Entry, o outcome.Outcome) outcome.Outcome {
	if e == nil {
		return o
	}
	return awaitOutcome(ctx, e)
}

// awaitOutcome returns the outcome of e, or an unknown one if ctx ends first. An outcome that is already known is returned even
// if ctx has ended.
func awaitOutcome(ctx context.Context, e *table.Entry) outcome.Outcome {
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

// forward sends the placement to the owner of its ticket, in up to maxForwardAttempts attempts. NotForwarded is set only if
// nothing of any attempt was sent.
func (c *Coordinator) forward(ctx context.Context, t ticket.Ticket, p Placement) outcome.Outcome {
	unsent := true
	for n := range maxForwardAttempts {
		o, err := c.forwarder.Forward(ctx, t.Owner, p)
		if err == nil {
			return o
		}
		var unsentErr *UnsentError
		unsent = unsent && errors.As(err, &unsentErr)
		if n+1 == maxForwardAttempts || !pause.For(ctx, forwardDelay<<n) {
			break
		}
	}
	return outcome.Outcome{
		State:        outcome.Unknown,
		Reason:       "the ticket's owner " + t.Owner + " cannot be reached",
		NotForwarded: unsent,
	}
}
