package peers

import (
	"context"
	"net"
	"testing"

	"crocuswing/internal/fleet/detector"
	"crocuswing/internal/fleet/member"
	"crocuswing/internal/fleet/roster"
	"crocuswing/internal/fleet/view"
	"crocuswing/internal/peer/server"
	"crocuswing/internal/wire/gossip"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// awaitRevisionFrom waits for a frame from the peer. It skips those of other peers, since a call may yield several frames.
func awaitRevisionFrom(revisions <-chan string, peer string) {
	for name := range revisions {
		if name == peer {
			return
		}
	}
}

// TestCalls calls a listed peer, a seed, a peer that does not listen and one that is not listed.
func TestCalls(t *testing.T) {
	leaving := make(chan string, 1)
	s := server.New(map[string]server.Handler{
		gossip.MethodSync: func(context.Context, []byte) (any, error) { return gossip.SyncReply{Revision: 7}, nil },
		gossip.MethodLeave: func(_ context.Context, body []byte) (any, error) {
			var m gossip.Leave
			err := msgpack.Unmarshal(body, &m)
			leaving <- m.From
			return true, err
		},
	}, func() uint64 { return 7 }, func(uint64) {})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	defer s.Shutdown(t.Context())

	revisions := make(chan string, 64)
	d := detector.New()
	address := l.Addr().String()
	p := New("self", []string{address}, d, func() uint64 { return 1 }, func(peer string, _ uint64) { revisions <- peer })
	defer p.Close()
	r, err := p.Sync(t.Context(), address, gossip.SyncRequest{})
	require.NoError(t, err)
	require.Equal(t, uint64(7), r.Revision)
	awaitRevisionFrom(revisions, address)

	instance := func(name, address string) member.Member {
		return member.Member{Name: name, Kind: member.KindInstance, Address: address, State: member.StateLive}
	}
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, gone.Close())
	p.Update(view.View{}.WithRoster(roster.New(1, []member.Member{instance("a", address), instance("b", gone.Addr().String())})))
	_, err = p.Sync(t.Context(), "a", gossip.SyncRequest{})
	require.NoError(t, err)
	awaitRevisionFrom(revisions, "a")
	p.AnnounceLeaving(t.Context(), []string{"a", "self", "unlisted"})
	require.Len(t, leaving, 1)
	require.Equal(t, "self", <-leaving)
	for range 2 {
		_, err = p.Value(t.Context(), "b", gossip.ValueRequest{})
		require.Error(t, err)
	}
	require.Equal(t, []string{"b"}, d.Avoided())
	p.Update(view.View{}.WithRoster(roster.New(2, nil)))
	_, err = p.Sync(t.Context(), "a", gossip.SyncRequest{})
	require.ErrorIs(t, err, errUnknownPeer)
}
