// Package caller is a client of the query tier's HTTP interface for tests, the demonstration and the load command.
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

// Caller sends requests to any instance with one caller key. It is safe for concurrent use.
type Caller struct {
	key    string
	client *http.Client
}

// StatusError is a response with a status other than 200, by which the tier refuses a request. Its Refusal is empty if the body
// does not contain one.
type StatusError struct {
	Status  int
	Refusal call.Refusal
}

// Error returns the status and the reason of the refusal.
func (e *StatusError) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Refusal.Reason) }

// New returns a caller with the given key.
func New(key string) *Caller {
	return &Caller{key: key, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
}

// Close closes the idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Search sends a search to the instance at address. The error is a *StatusError if the tier refused the request.
func (c *Caller) Search(ctx context.Context, address, id string, m call.Search) (answer.Answer, error) {
	var a answer.Answer
	err := c.post(ctx, address, "/v1/search", id, m, &a)
	return a, err
}

// Ticket requests a ticket for an order. The error is a *StatusError if the tier refused the request.
func (c *Caller) Ticket(ctx context.Context, address, service string) (call.Ticket, error) {
	var t call.Ticket
	err := c.post(ctx, address, "/v1/tickets", "", call.TicketRequest{Service: service}, &t)
	return t, err
}

// Order places an order and returns its outcome. The error is a *StatusError if the tier refused the request.
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
