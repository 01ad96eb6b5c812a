package instance_test

import (
	"slices"
	"testing"

	"crocuswing/internal/demo/backend"
	"crocuswing/internal/fleet/member"
	"crocuswing/internal/fleet/peers"
	"crocuswing/internal/order/desk"
	"crocuswing/internal/order/ticket"
	"crocuswing/internal/peer/client"

	"github.com/stretchr/testify/require"
)

// TestMintFor takes a ticket over the framing, as an instance does that stops.
func TestMintFor(t *testing.T) {
	f, all := start(t, 1, 0)
	list, _, err := f.Platform.Listing(t.Context(), 0, 0)
	require.NoError(t, err)
	at := slices.IndexFunc(list.Members, func(m member.Member) bool { return m.Name == all[0].name })
	c := client.New(list.Members[at].Address, func() uint64 { return 0 }, func(uint64) {})
	defer c.Close()
	var g desk.Grant
	require.NoError(t, c.Call(t.Context(), peers.MethodMint, desk.Claim{Caller: "tablet", Service: backend.OrderService}, &g))
	got, err := ticket.Verify(g.Ticket, []byte(backend.TicketKey), "tablet")
	require.NoError(t, err)
	require.Equal(t, all[0].name, got.Owner)
	require.Positive(t, g.Life)
}
