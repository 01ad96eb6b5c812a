// Package naive is the baseline of the demonstration: a client that sends each query once to the first replica of every shard,
// waits for all responses, and retries orders regardless of what happened to earlier attempts.
package naive

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"

	"crocuswing/internal/demo/backend"
	"crocuswing/internal/order/outcome"
	"crocuswing/internal/query/answer"
	"crocuswing/internal/query/gatherer"
	"crocuswing/internal/wire/header"
	"crocuswing/internal/wire/order"
	"crocuswing/internal/wire/part"
)

const (
	orderAttempts = 3
	orderShards   = 30 // as in the backend
)

// Naive sends requests directly to the upstreams, without an instance. It is safe for concurrent use.
type Naive struct {
	backend *backend.Backend
	client  *http.Client
}

// New returns a baseline client of the upstreams of b.
func New(b *backend.Backend) *Naive {
	return &Naive{backend: b, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 25}}}
}

// Close closes the idle connections.
func (n *Naive) Close() { n.client.CloseIdleConnections() }

// Search sends the query once to the first replica of each shard and waits for all responses or until ctx is done.
func (n *Naive) Search(ctx context.Context, id, text string) (answer.Answer, error) {
	l := n.backend.SearchLayout()
	requests := make([]part.Request, len(l.Shards))
	replies := make([]part.Reply, len(l.Shards))
	var wg sync.WaitGroup
	for i, s := range l.Shards {
		wg.Go(func() {
			q := part.Request{RequestID: fmt.Sprintf("%s/%d", id, i), Service: backend.SearchService, Shard: s.Name, Snapshot: l.Snapshot, Query: text}
			requests[i] = q
			_ = n.post(ctx, s.Replicas[0], "/v1/part", q.RequestID, q, &replies[i])
		})
	}
	wg.Wait()
	g := gatherer.New(l.Snapshot, l.Shards)
	for i, r := range replies {
		g.Add(i, requests[i], r)
	}
	return answer.Answer{RequestID: id, Snapshot: l.Snapshot, Coverage: g.Coverage(), Rows: g.Rows()}, nil
}

// Order sends an order up to three times, alternating between the replicas of one shard, regardless of what happened to earlier
// attempts. A hash of the body selects the shard.
func (n *Naive) Order(ctx context.Context, body string) (string, error) {
	var shard int
	for _, c := range body {
		shard = (shard*31 + int(c)) % orderShards
	}
	q := order.Request{RequestID: body, Service: backend.OrderService, Key: body, Body: body}
	for attempt := range orderAttempts {
		name := fmt.Sprintf("%s-%d-%c", backend.OrderService, shard, 'a'+attempt%2)
		if n.post(ctx, name, "/v1/order", body, q, &order.Reply{}) == nil {
			return outcome.Done, nil
		}
	}
	return outcome.NotRun, nil
}

func (n *Naive) post(ctx context.Context, upstream, path, id string, message, reply any) error {
	text, err := json.Marshal(message)
	if err != nil {
		return err
	}
	url := "http://" + n.backend.Upstream(upstream).Listener.Addr().String() + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		return err
	}
	req.Header.Set(header.RequestID, id)
	resp, err := n.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("upstream returned status %s", resp.Status)
	}
	return json.Unmarshal(body, reply)
}
