package upstream

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"crocuswing/internal/upstream/failure"
	"crocuswing/internal/upstream/link"
	"crocuswing/internal/wire/header"
	"crocuswing/internal/wire/part"

	"github.com/stretchr/testify/require"
)

var sample = part.Request{RequestID: "q-17/0/3/0", Service: "buyer-search", Shard: "buyer-search-3", Snapshot: "s42", Query: "cotton-17"}

func newLink(t *testing.T, h http.Handler) *link.Link {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return link.New("u", server.Listener.Addr().String(), 2)
}

// TestContractPart checks that the link and the simulated upstream agree with the contract's sample exchange.
func TestContractPart(t *testing.T) {
	u := New("u", testContract, time.Microsecond, 1)
	u.SetSnapshots("s42")
	l := newLink(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		require.Equal(t, "/v1/part", r.URL.Path)
		require.Equal(t, sample.RequestID, r.Header.Get(header.RequestID))
		require.Equal(t, "application/json", r.Header.Get("Content-Type"))
		u.ServeHTTP(w, r)
	}))
	reply, sig, err := l.Part(t.Context(), sample)
	require.NoError(t, err)
	require.Equal(t, RowsPerPart, reply.Count)
	require.Equal(t, "u-1", sig.Incarnation)
	require.True(t, sig.Cold)
	require.InDelta(t, 0.5, sig.Load, 0.001)
}

// TestContractResponses checks that the link maps each status and header of a response to the failure that the contract defines.
func TestContractResponses(t *testing.T) {
	cases := []struct {
		name   string
		status int
		header map[string]string
		body   string
		want   failure.Failure
	}{
		{"snapshot gone", 410, nil, "", failure.Failure{Kind: failure.KindSnapshotGone}},
		{"shed", 503, nil, "", failure.Failure{Kind: failure.KindShed}},
		{"shed and not run", 503, map[string]string{header.NotRun: "true", header.RetryAfterMS: "50"}, "", failure.Failure{Kind: failure.KindShed, NotRun: true, RetryAfter: 50 * time.Millisecond}},
		{"shed in seconds", 429, map[string]string{"Retry-After": "2"}, "", failure.Failure{Kind: failure.KindShed, RetryAfter: 2 * time.Second}},
		{"other status", 500, nil, "", failure.Failure{Kind: failure.KindStatus}},
		{"crossed header", 200, map[string]string{header.RequestID: "q-18"}, "{}", failure.Failure{Kind: failure.KindCrossed}},
		{"crossed body", 200, nil, `{"request-id": "q-18"}`, failure.Failure{Kind: failure.KindCrossed}},
		{"other shard", 200, nil, `{"request-id":"q-17/0/3/0","service":"buyer-search","shard":"buyer-search-4","snapshot":"s42"}`, failure.Failure{Kind: failure.KindCrossed}},
		{"too few rows", 200, nil, `{"request-id":"q-17/0/3/0","service":"buyer-search","shard":"buyer-search-3","snapshot":"s42","count":2,"rows":["a"]}`, failure.Failure{Kind: failure.KindIncomplete}},
		{"not json", 200, nil, `{`, failure.Failure{Kind: failure.KindIncomplete}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l := newLink(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
				for name, value := range tc.header {
					w.Header().Set(name, value)
				}
				w.WriteHeader(tc.status)
				_, _ = w.Write([]byte(tc.body))
			}))
			_, _, err := l.Part(t.Context(), sample)
			var f *failure.Failure
			require.ErrorAs(t, err, &f)
			require.Equal(t, tc.want.Kind, f.Kind)
			require.Equal(t, tc.want.NotRun, f.NotRun)
			require.Equal(t, tc.want.RetryAfter, f.RetryAfter)
		})
	}
}
