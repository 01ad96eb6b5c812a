package dispatch_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"crocuswing/internal/config/set"
	"crocuswing/internal/fleet/member"
	"crocuswing/internal/fleet/roster"
	"crocuswing/internal/fleet/view"
	"crocuswing/internal/upstream/directory"
	"crocuswing/internal/upstream/dispatch"
	"crocuswing/internal/upstream/failure"
	"crocuswing/internal/wire/header"
	"crocuswing/internal/wire/order"

	"github.com/stretchr/testify/require"
)

// staticView is a Viewer whose view never changes.
type staticView struct{ view.View }

func (v staticView) Current() view.View { return v.View }

func (v staticView) Fresh(context.Context) (view.View, error) { return v.View, nil }

// TestOrderStart checks that an order that gets no slot within its start limit fails, while the order that occupies the
// slot continues. The upstream must receive the start limit as its deadline, not the longer timeout of the response.
func TestOrderStart(t *testing.T) {
	arrived, release := make(chan string, 1), make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived <- r.Header.Get(header.DeadlineMS)
		<-release
		w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
		_, _ = w.Write([]byte(`{"request-id": "1", "order-id": "o"}`))
	}))
	defer s.Close()
	cfg, err := set.Parse(1, map[string][]byte{
		"in-force": []byte(`{"preset": "p"}`),
		"preset/p": []byte(`{"name": "p", "deadline-ms": 1000, "answer-policy": "coverage", "hedge-quantile": 0.95, "hedge-share": 0, "retry-share": 0}`),
		"service/order-entry": []byte(`{"name": "order-entry", "kind": "order", "contract": {"slots": 1, "connections": 4, "cold-slots": 1, "warm-after": 1},
			"layouts": [{"snapshot": "s1", "shards": [{"name": "0", "replicas": ["a"]}]}]}`),
	})
	require.NoError(t, err)
	v := view.View{}.WithConfig(cfg).WithConfirmation(time.Now()).WithRoster(roster.New(1, []member.Member{
		{Name: "a", Kind: member.KindUpstream, State: member.StateLive, Address: s.Listener.Addr().String()},
		{Name: "south-1", Kind: member.KindInstance, State: member.StateLive, Address: "127.0.0.1:1"},
	}))
	dir := directory.New("south-1")
	dir.Update(v)
	d := dispatch.New("south-1", staticView{v}, dir, nil)
	ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
	defer cancel()

	first := make(chan error)
	go func() {
		_, err := d.Order(ctx, "a", order.Request{RequestID: "1"}.WithStartTimeout(time.Minute))
		first <- err
	}()
	deadlineMS, err := strconv.Atoi(<-arrived)
	require.NoError(t, err)
	require.LessOrEqual(t, deadlineMS, 60_000)
	_, err = d.Order(ctx, "a", order.Request{RequestID: "2"}.WithStartTimeout(time.Millisecond))
	var f *failure.Failure
	require.ErrorAs(t, err, &f)
	require.True(t, f.NotRun)
	close(release)
	require.NoError(t, <-first)
}
