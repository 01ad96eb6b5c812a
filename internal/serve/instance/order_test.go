package instance_test

import (
	"syscall"
	"testing"

	"crocuswing/internal/demo/backend"
	"crocuswing/internal/order/ticket"

	"github.com/stretchr/testify/require"
)

// TestMintWhileStopping checks that an instance owns the tickets that it returns, except during its planned stop, when another
// instance owns them.
func TestMintWhileStopping(t *testing.T) {
	f, all := start(t, 2, longDelayMS)
	require.Equal(t, all[0].name, f.ownerOfTicket(all[0].address))
	all[0].stop()
	f.await(func() bool { return !all[0].Status().Ready })
	require.Equal(t, all[1].name, f.ownerOfTicket(all[0].address))
	all[0].forceStop <- syscall.SIGTERM
	require.NoError(t, <-all[0].stopped)
}

// ownerOfTicket requests a ticket from the instance at address and returns the owner of the ticket.
func (f *fleet) ownerOfTicket(address string) string {
	got, err := f.caller.Ticket(f.t.Context(), address, backend.OrderService)
	require.NoError(f.t, err)
	t, err := ticket.Verify(got.Ticket, []byte(backend.TicketKey), "demo")
	require.NoError(f.t, err)
	return t.Owner
}
