package site

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"crocuswing/internal/demo/backend"
	"crocuswing/internal/query/answer"
	"crocuswing/internal/wire/call"
	"crocuswing/internal/wire/header"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// exchange is a request under the contract with callers and the expected response.
type exchange struct {
	name   string
	path   string
	body   string
	header map[string]string
	status int
	reason string
	total  int // expected number of shards in the answer
}

func exchanges() []exchange {
	return []exchange{
		{name: "search", path: "/v1/search", body: `{"service": "buyer-search", "query": "cotton"}`, status: 200, total: 20},
		{name: "lookup", path: "/v1/lookup", body: `{"service": "buyer-search", "key": "strand-9"}`, status: 200, total: 1},
		{name: "deadline", path: "/v1/search", body: `{"service": "buyer-search", "query": "cotton"}`, header: map[string]string{header.DeadlineMS: "900"}, status: 200, total: 20},
		{name: "bad deadline", path: "/v1/search", body: `{"service": "buyer-search"}`, header: map[string]string{header.DeadlineMS: "soon"}, status: 400, reason: "Crocuswing-Deadline-Ms is not a positive number"},
		{name: "unknown caller", path: "/v1/search", body: `{}`, header: map[string]string{header.CallerKey: "stranger"}, status: 401, reason: "the caller's key is not known"},
		{name: "unknown service", path: "/v1/search", body: `{"service": "absent", "query": "x"}`, status: 404, reason: `there is no search service "absent"`},
		{name: "search of an order service", path: "/v1/search", body: `{"service": "order-entry", "query": "x"}`, status: 404, reason: `there is no search service "order-entry"`},
		{name: "unknown key in the body", path: "/v1/search", body: `{"servise": "buyer-search"}`, status: 400, reason: "servise"},
		{name: "not json", path: "/v1/search", body: `{`, status: 400, reason: "body"},
		{name: "lookup without key", path: "/v1/lookup", body: `{"service": "buyer-search"}`, status: 400, reason: "key is missing"},
	}
}

func TestContractWithCallers(t *testing.T) {
	s, err := Start(zap.NewNop(), 1)
	require.NoError(t, err)
	defer s.Close()
	for _, x := range exchanges() {
		t.Run(x.name, func(t *testing.T) { x.check(t, s.Balancer.Pick()) })
	}
}

func (x exchange) check(t *testing.T, address string) {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+x.path, strings.NewReader(x.body))
	require.NoError(t, err)
	req.Header.Set(header.CallerKey, backend.CallerKey)
	req.Header.Set(header.RequestID, "q-17")
	for name, value := range x.header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, x.status, resp.StatusCode, string(text))
	require.Equal(t, "q-17", resp.Header.Get(header.RequestID))
	require.Equal(t, "application/json", resp.Header.Get("Content-Type"))
	if x.status != http.StatusOK {
		var refusal call.Refusal
		require.NoError(t, json.Unmarshal(text, &refusal))
		require.Equal(t, "q-17", refusal.RequestID)
		require.Equal(t, "not-run", refusal.Outcome)
		require.Contains(t, refusal.Reason, x.reason)
		return
	}
	var a answer.Answer
	require.NoError(t, json.Unmarshal(text, &a))
	require.Equal(t, "q-17", a.RequestID)
	require.Equal(t, uint64(1), a.Revision)
	require.Equal(t, "s1", a.Snapshot)
	require.Equal(t, x.total, a.Coverage.Total)
	require.Equal(t, a.Coverage.Total, a.Coverage.Answered+len(a.Coverage.Missing))
	require.NotNil(t, a.Coverage.Missing)
}
