// Package caller is a stand-in for a caller: it sends requests and tells what came back.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"crocuswing/internal/order/outcome"
	"crocuswing/internal/query/answer"
	"crocuswing/internal/wire/call"
	"crocuswing/internal/wire/header"
)

// Caller uses one key towards any instance. It is safe for concurrent use.
type Caller struct {
	key    string
	client *http.Client
}

// StatusError is a refusal by the tier.
type StatusError struct {
	Status  int
	Refusal call.Refusal
}

// Error gives status and reason.
func (e *StatusError) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Refusal.Reason) }

// New makes a caller with the given key.
func New(key string) *Caller {
	return &Caller{key: key, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
}

// Close closes the idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Search asks an instance; it fails with *StatusError if the tier refused.
func (c *Caller) Search(ctx context.Context, address, id string, m call.Search) (answer.Answer, error) {
	var a answer.Answer
	err := c.post(ctx, address, "/v1/search", id, m, &a)
	return a, err
}

// Ticket takes a ticket.
func (c *Caller) Ticket(ctx context.Context, address, service string) (call.Ticket, error) {
	var t call.Ticket
	err := c.post(ctx, address, "/v1/tickets", "", call.TicketRequest{Service: service}, &t)
	return t, err
}

// Order places an order; it fails with *StatusError if the tier refused.
func (c *Caller) Order(ctx context.Context, address string, m call.Order) (outcome.Outcome, error) {
	var o outcome.Outcome
	err := c.post(ctx, address, "/v1/orders", "", m, &o)
	return o, err
}

func (c *Caller) post(ctx context.Context, address, path, id string, message, reply any) error {
	text, err := json.Marshal(message)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(text))
	if err != nil {
		return err
	}
	req.Header.Set(header.CallerKey, c.key)
	if id != "" {
		req.Header.Set(header.RequestID, id)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		refused := &StatusError{Status: resp.StatusCode}
		_ = json.Unmarshal(body, &refused.Refusal)
		return refused
	}
	return json.Unmarshal(body, reply)
}
