package reader

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"crocuswing/internal/wire/manifest"
	"crocuswing/internal/wire/memberlist"

	"github.com/stretchr/testify/require"
)

// sample is one exchange shown in docs/contracts/platform.md.
type sample struct {
	request string
	status  int
	header  http.Header
	body    string
}

// samples parses the exchanges in the contract document, so that the document and the code cannot diverge.
func samples(t *testing.T) map[string]sample {
	t.Helper()
	text, err := os.ReadFile("../../../docs/contracts/platform.md")
	require.NoError(t, err)
	all := make(map[string]sample)
	for _, block := range strings.Split(string(text), "```http\n")[1:] {
		block, _, _ = strings.Cut(block, "```")
		request, response, ok := strings.Cut(block, "\n\n")
		require.True(t, ok, block)
		head, body, _ := strings.Cut(response, "\n\n")
		lines := strings.Split(strings.TrimSpace(head), "\n")
		s := sample{request: strings.TrimPrefix(request, "GET "), header: make(http.Header), body: strings.TrimSuffix(body, "\n")}
		require.NoError(t, json.Unmarshal([]byte(strings.Fields(lines[0])[1]), &s.status))
		for _, line := range lines[1:] {
			name, value, _ := strings.Cut(line, ": ")
			s.header.Set(name, value)
		}
		all[s.request] = s
	}
	return all
}

func serve(t *testing.T, h http.HandlerFunc) *Reader {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return New(strings.TrimPrefix(server.URL, "http://"))
}

// TestSamples reads from a server that answers with the exchanges of the contract document.
func TestSamples(t *testing.T) {
	all := samples(t)
	require.Len(t, all, 9)
	r := serve(t, func(w http.ResponseWriter, req *http.Request) {
		s, ok := all[req.URL.RequestURI()]
		if !ok {
			http.Error(w, "no sample for "+req.URL.RequestURI(), http.StatusTeapot)
			return
		}
		for name := range s.header {
			w.Header().Set(name, s.header.Get(name))
		}
		w.WriteHeader(s.status)
		_, _ = w.Write([]byte(s.body))
	})
	ctx := context.Background()
	m, changed, err := r.Manifest(ctx, 0, 0)
	require.NoError(t, err)
	require.True(t, changed && m.IsComplete())
	require.Equal(t, digestOf(m), m.Digest)
	complete := m

	m, changed, err = r.Manifest(ctx, 41, time.Second)
	require.NoError(t, err)
	require.True(t, changed)
	require.Equal(t, uint64(41), m.BaseRevision)
	require.Equal(t, []string{"preset/old"}, m.Removed)
	content, err := r.Value(ctx, complete.Entries[1].Hash)
	require.NoError(t, err)
	patched, err := m.Entries[0].Patch.Apply(content)
	require.NoError(t, err)
	require.Equal(t, m.Entries[0].Hash, manifest.Hash(patched))
	require.Equal(t, m.Entries[1].Hash, manifest.Hash([]byte(m.Entries[1].Value)))

	m, changed, err = r.Manifest(ctx, 42, time.Second)
	require.NoError(t, err)
	require.False(t, changed)
	require.Equal(t, uint64(42), m.Revision)

	l, changed, err := r.MemberList(ctx, 0, 0)
	require.NoError(t, err)
	require.True(t, changed && l.IsComplete())
	digest := manifest.Digest(0)
	for _, member := range l.Members {
		digest = digest.With(member.Name, memberlist.Hash(member))
	}
	require.Equal(t, digest.String(), l.Digest)
	l, changed, err = r.MemberList(ctx, 7, time.Second)
	require.NoError(t, err)
	require.True(t, changed && l.BaseVersion == 7)
	l, changed, err = r.MemberList(ctx, 8, time.Second)
	require.NoError(t, err)
	require.False(t, changed)
	require.Equal(t, uint64(8), l.Version)

	var status *StatusError
	_, err = r.Value(ctx, "ffffffffffffffff")
	require.ErrorAs(t, err, &status)
	require.Equal(t, http.StatusNotFound, status.Status)
	_, _, err = r.Manifest(ctx, 43, time.Second)
	require.ErrorAs(t, err, &status)
	require.Equal(t, http.StatusServiceUnavailable, status.Status)
}

func digestOf(m manifest.Manifest) string {
	digest := manifest.Digest(0)
	for _, e := range m.Entries {
		digest = digest.With(e.Name, e.Hash)
	}
	return digest.String()
}

// TestInvalidResponses checks that responses that violate the contract are rejected.
func TestInvalidResponses(t *testing.T) {
	cases := []struct {
		name, number, held, body string
		want                     any
	}{
		{"no number", "", "0", `{"revision":2}`, new(*HeaderError)},
		{"no held time", "2", "", `{"revision":2}`, new(*HeaderError)},
		{"negative held time", "2", "-1", `{"revision":2}`, new(*HeaderError)},
		{"numbers differ", "2", "0", `{"revision":3}`, new(*NumberError)},
		{"half a body", "2", "0", `{"revision":2,`, new(*json.SyntaxError)},
		{"number of the wrong type", "2", "0", `{"revision":"2"}`, new(*json.UnmarshalTypeError)},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(HeaderNumber, tc.number)
				w.Header().Set(HeaderHeldMS, tc.held)
				_, _ = w.Write([]byte(tc.body))
			})
			_, _, err := r.Manifest(context.Background(), 1, 0)
			require.ErrorAs(t, err, tc.want)
		})
	}
	r := serve(t, func(w http.ResponseWriter, req *http.Request) {
		if strings.HasSuffix(req.URL.Path, "long") {
			_, _ = w.Write(make([]byte, maxValueBytes+1))
		}
	})
	var hashErr *HashError
	_, err := r.Value(context.Background(), "0000000000000000")
	require.ErrorAs(t, err, &hashErr)
	var lengthErr *LengthError
	_, err = r.Value(context.Background(), "long")
	require.ErrorAs(t, err, &lengthErr)
}

// TestHeldTimeIsCapped checks that the reported hold time cannot exceed the duration of the request.
func TestHeldTimeIsCapped(t *testing.T) {
	r := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderNumber, "2")
		w.Header().Set(HeaderHeldMS, "3600000")
		w.WriteHeader(http.StatusNoContent)
	})
	start := time.Now()
	m, _, err := r.Manifest(context.Background(), 2, 0)
	require.NoError(t, err)
	require.LessOrEqual(t, m.HoldTime, time.Since(start))
}
