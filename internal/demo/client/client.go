// Package client sends the demonstration's requests through the instances, as a caller would.
package client

import (
	"context"
	"errors"

	"crocuswing/internal/demo/backend"
	"crocuswing/internal/order/outcome"
	"crocuswing/internal/query/answer"
	"crocuswing/internal/standin/balancer"
	"crocuswing/internal/standin/caller"
	"crocuswing/internal/wire/call"
)

// Client uses the instances behind a balancer. It is safe for concurrent use.
type Client struct {
	balancer *balancer.Balancer
	caller   *caller.Caller
}

// New makes a tier.
func New(b *balancer.Balancer) *Client {
	return &Client{balancer: b, caller: caller.New(backend.CallerKey)}
}

// Close closes the idle connections.
func (t *Client) Close() { t.caller.Close() }

// Search asks one instance. It fails with *caller.StatusError if the instance refused.
func (t *Client) Search(ctx context.Context, id, text string) (answer.Answer, error) {
	return t.caller.Search(ctx, t.balancer.Pick(), id, call.Search{Service: backend.SearchService, Query: text})
}

// Order takes a ticket from one instance, places the order through another and gives its outcome.
// It fails with *caller.StatusError if an instance refused.
func (t *Client) Order(ctx context.Context, body string) (string, error) {
	ticket, err := t.caller.Ticket(ctx, t.balancer.Pick(), backend.OrderService)
	if err != nil {
		return outcome.NotRun, err
	}
	m := call.Order{Ticket: ticket.Ticket, Service: backend.OrderService, Key: body, Body: body}
	o, err := t.caller.Order(ctx, t.balancer.Pick(), m)
	var refused *caller.StatusError
	if errors.As(err, &refused) {
		return refused.Refusal.Outcome, err
	}
	if err != nil {
		return outcome.Unknown, err
	}
	return o.State, nil
}
