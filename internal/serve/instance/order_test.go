package instance_test

import (
	"syscall"
	"testing"

	"crocuswing/internal/demo/backend"
	"crocuswing/internal/order/ticket"

	"github.com/stretchr/testify/require"
)

// TestMintWhileStopping takes tickets from an instance before and during its planned stop.
func TestMintWhileStopping(t *testing.T) {
	f, all := start(t, 2, longDelayMS)
	require.Equal(t, all[0].name, f.ownerOfTicket(all[0].address))
	all[0].stop()
	f.await(func() bool { return !all[0].Status().Ready })
	require.Equal(t, all[1].name, f.ownerOfTicket(all[0].address))
	all[0].hurry <- syscall.SIGTERM
	require.NoError(t, <-all[0].ended)
}

// ownerOfTicket takes a ticket from the instance at address and names its owner.
func (f *fleet) ownerOfTicket(address string) string {
	got, err := f.caller.Ticket(f.t.Context(), address, backend.OrderService)
	require.NoError(f.t, err)
	t, err := ticket.Verify(got.Ticket, []byte(backend.TicketKey), "demo")
	require.NoError(f.t, err)
	return t.Owner
}
