package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMaxSockets guards against an instance that has no limit on connections, or one above what the process may open.
func TestMaxSockets(t *testing.T) {
	for _, c := range []struct{ setting, descriptors, want int }{
		{0, 0, 0},
		{0, 1000, 900},
		{500, 0, 500},
		{500, 1000, 500},
		{5000, 1000, 900},
	} {
		require.Equal(t, c.want, maxSockets(c.setting, c.descriptors), c)
	}
	require.Zero(t, socketShare(0, peerSocketShare), "no limit")
	require.Equal(t, 1, socketShare(1, peerSocketShare))
	require.Less(t, callerSocketShare+peerSocketShare+2*checkSocketShare, 0.85, "sockets are left for upstreams and the store")
}
