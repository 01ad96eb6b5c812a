package handler_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/config/set"
	"crocuswing/internal/entry/handler"
	"crocuswing/internal/fleet/view"
	"crocuswing/internal/index/shard"
	"crocuswing/internal/operator/metric"
	"crocuswing/internal/query/answer"
	"crocuswing/internal/query/balancer"
	"crocuswing/internal/query/runner"
	"crocuswing/internal/wire/header"
	"crocuswing/internal/wire/part"

	"github.com/stretchr/testify/require"
)

// slowSender is a sender whose only upstream takes 50 ms.
type slowSender struct {
	view view.View
	mu   sync.Mutex
	sent int
}

func (s *slowSender) Fresh(context.Context) (view.View, error) { return s.view, nil }

func (s *slowSender) Candidates(buf []balancer.Candidate, _ shard.Shard) []balancer.Candidate {
	return append(buf, balancer.Candidate{Upstream: "a", Load: -1})
}

func (s *slowSender) Part(_ context.Context, _ string, q part.Request) (part.Reply, error) {
	s.mu.Lock()
	s.sent++
	s.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	return part.Reply{RequestID: q.RequestID, Service: q.Service, Shard: q.Shard, Snapshot: q.Snapshot, Count: 1, Rows: []string{q.Query}}, nil
}

// TestIdenticalSearches sends searches concurrently. Identical searches of one caller must share an execution, and each
// answer must carry the identifier of its own request.
func TestIdenticalSearches(t *testing.T) {
	type search struct{ id, key, query string }
	for _, c := range []struct {
		name     string
		searches []search
		sent     int
	}{
		{"one caller", []search{{"1", "tablet-key", "cotton"}, {"2", "tablet-key", "cotton"}, {"3", "tablet-key", "cotton"}}, 1},
		{"two callers", []search{{"1", "tablet-key", "cotton"}, {"2", "buyer-key", "cotton"}}, 2},
		{"two queries", []search{{"1", "tablet-key", "cotton"}, {"2", "tablet-key", "linen"}}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg, err := set.Parse(1, map[string][]byte{
					"in-force":      []byte(`{"preset": "p"}`),
					"preset/p":      []byte(presetText + "false}"),
					"class/shop":    []byte(`{"name": "shop", "concurrency": 9, "cost": 100}`),
					"caller/tablet": []byte(`{"name": "tablet", "key": "tablet-key", "class": "shop"}`),
					"caller/buyer":  []byte(`{"name": "buyer", "key": "buyer-key", "class": "shop"}`),
					"service/stock": []byte(`{"name": "stock", "kind": "search", "contract": {"slots": 2, "connections": 4, "cold-slots": 1, "warm-after": 1},
						"layouts": [{"snapshot": "s1", "shards": [{"name": "0", "replicas": ["a"]}]}]}`),
				})
				require.NoError(t, err)
				s := &slowSender{view: view.View{}.WithConfig(cfg)}
				h := handler.New(s, runner.New(s), nil, metric.New(), "south-1")
				var group sync.WaitGroup
				answers := make([]answer.Answer, len(c.searches))
				for i, q := range c.searches {
					group.Go(func() {
						r := httptest.NewRequest(http.MethodPost, "/v1/search", strings.NewReader(`{"service": "stock", "query": "`+q.query+`"}`))
						r.Header.Set(header.CallerKey, q.key)
						r.Header.Set(header.RequestID, q.id)
						w := httptest.NewRecorder()
						h.ServeHTTP(w, r)
						_ = json.Unmarshal(w.Body.Bytes(), &answers[i])
					})
				}
				group.Wait()
				require.Equal(t, c.sent, s.sent)
				for i, q := range c.searches {
					require.Equal(t, q.id, answers[i].RequestID)
					require.Equal(t, []string{q.query}, answers[i].Rows)
				}
			})
		})
	}
}
