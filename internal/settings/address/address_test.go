package address

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestInvalidReason(t *testing.T) {
	for value, want := range map[string]string{
		"10.0.0.1:80":    "",
		"[::1]:80":       "",
		"":               "is missing",
		"10.0.0.1:0":     "port 0 is out of range",
		"localhost:80":   "want an IP literal and a port from 1 to 65535, not localhost:80",
		"10.0.0.1":       "want an IP literal and a port from 1 to 65535, not 10.0.0.1",
		"10.0.0.1:70000": "want an IP literal and a port from 1 to 65535, not 10.0.0.1:70000",
	} {
		require.Equal(t, want, InvalidReason(value), value)
	}
}
