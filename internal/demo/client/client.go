// Package client sends the demonstration's requests through the instances behind a load balancer, as a caller does.
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

// Client sends each request to the instance that the balancer picks. It is safe for concurrent use.
type Client struct {
	balancer *balancer.Balancer
	caller   *caller.Caller
}

// New returns a client of the instances behind b.
func New(b *balancer.Balancer) *Client {
	return &Client{balancer: b, caller: caller.New(backend.CallerKey)}
}

// Close closes the idle connections.
func (c *Client) Close() { c.caller.Close() }

// Search sends a query to one instance. The error is a *caller.StatusError if the instance refused it.
func (c *Client) Search(ctx context.Context, id, text string) (answer.Answer, error) {
	return c.caller.Search(ctx, c.balancer.Pick(), id, call.Search{Service: backend.SearchService, Query: text})
}

// Order requests a ticket from one instance, places the order through the next and returns the state of its outcome.
// The error is a *caller.StatusError if an instance refused.
func (c *Client) Order(ctx context.Context, body string) (string, error) {
	ticket, err := c.caller.Ticket(ctx, c.balancer.Pick(), backend.OrderService)
	if err != nil {
		return outcome.NotRun, err
	}
	m := call.Order{Ticket: ticket.Ticket, Service: backend.OrderService, Key: body, Body: body}
	o, err := c.caller.Order(ctx, c.balancer.Pick(), m)
	var refused *caller.StatusError
	if errors.As(err, &refused) {
		return refused.Refusal.Outcome, err
	}
	if err != nil {
		return outcome.Unknown, err
	}
	return o.State, nil
}
