package peers_test

import (
	"context"
	"net"
	"testing"

	"crocuswing/internal/fleet/detector"
	"crocuswing/internal/fleet/member"
	"crocuswing/internal/fleet/peers"
	"crocuswing/internal/fleet/roster"
	"crocuswing/internal/fleet/view"
	"crocuswing/internal/order/coordinator"
	"crocuswing/internal/order/outcome"
	"crocuswing/internal/peer/server"

	"github.com/stretchr/testify/require"
)

// TestForward checks that a placement that was not sent is distinguished from one that the owner may have executed.
func TestForward(t *testing.T) {
	answer := func(context.Context, []byte) (any, error) {
		return outcome.Outcome{State: outcome.Done, Refusal: "r", NotForwarded: true}, nil
	}
	refuse := func(context.Context, []byte) (any, error) { return nil, context.DeadlineExceeded }
	for _, c := range []struct {
		name    string
		owner   string
		serve   bool
		handler server.Handler
		unsent  bool
		outcome outcome.Outcome
	}{
		{"answered", "south-2", true, answer, false, outcome.Outcome{State: outcome.Done, Refusal: "r", NotForwarded: true}},
		{"not listed", "south-3", true, answer, true, outcome.Outcome{}},
		{"no listener", "south-2", false, answer, true, outcome.Outcome{}},
		{"refused", "south-2", true, refuse, false, outcome.Outcome{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			zero := func() uint64 { return 0 }
			s := server.New(map[string]server.Handler{peers.MethodOrder: c.handler}, zero, func(uint64) {})
			if c.serve {
				go func() { _ = s.Serve(l) }()
			} else {
				require.NoError(t, l.Close())
			}
			p := peers.New("south-1", nil, detector.New(), zero, func(string, uint64) {})
			p.Update(view.View{}.WithRoster(roster.New(1, []member.Member{
				{Name: "south-2", Kind: member.KindInstance, Address: l.Addr().String()},
			})))
			o, err := p.Forward(t.Context(), c.owner, coordinator.Placement{})
			var unsent *coordinator.UnsentError
			if c.unsent {
				require.ErrorAs(t, err, &unsent)
			} else {
				require.NotErrorAs(t, err, &unsent)
			}
			require.Equal(t, c.outcome, o)
			require.Equal(t, c.outcome.State != "", err == nil)
			p.Close()
			s.Shutdown(t.Context())
		})
	}
}

// TestMint checks that a peer that refuses is skipped and the ticket of another one is returned.
func TestMint(t *testing.T) {
	zero := func() uint64 { return 0 }
	var members []member.Member
	for name, err := range map[string]error{"south-2": &coordinator.StoppingError{Instance: "south-2"}, "south-3": nil} {
		l, listenErr := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, listenErr)
		s := server.New(map[string]server.Handler{peers.MethodMint: func(context.Context, []byte) (any, error) {
			return coordinator.MintReply{Ticket: "of " + name}, err
		}}, zero, func(uint64) {})
		go func() { _ = s.Serve(l) }()
		defer s.Shutdown(context.Background())
		members = append(members, member.Member{Name: name, Kind: member.KindInstance, Address: l.Addr().String()})
	}
	p := peers.New("south-1", nil, detector.New(), zero, func(string, uint64) {})
	defer p.Close()
	_, err := p.Mint(t.Context(), coordinator.MintRequest{})
	require.Error(t, err)
	p.Update(view.View{}.WithRoster(roster.New(1, members)))
	g, err := p.Mint(t.Context(), coordinator.MintRequest{})
	require.NoError(t, err)
	require.Equal(t, "of south-3", g.Ticket)
}
