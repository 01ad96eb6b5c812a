package drain_test

import (
	"testing"
	"time"

	"crocuswing/internal/upstream/drain"

	"github.com/stretchr/testify/require"
)

func TestIsDraining(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var s drain.State
	require.False(t, s.IsDraining(now))
	s = s.WithSignal(now)
	require.True(t, s.IsDraining(now), "one signal must be enough")
	require.True(t, s.IsDraining(now.Add(drain.InitialHold)))
	require.False(t, s.IsDraining(now.Add(drain.InitialHold+1)))
}

// TestFlappingIsDamped guards against an upstream that gets new work each time its flapping signal pauses.
func TestFlappingIsDamped(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var s drain.State
	returns := 0
	const flaps = 200
	for range flaps { // 6 s with the signal, 6 s without
		for range 6 {
			s = s.WithSignal(now)
			now = now.Add(time.Second)
		}
		for range 6 {
			now = now.Add(time.Second)
			if !s.IsDraining(now) {
				returns++
				break
			}
		}
	}
	require.Equal(t, 1, returns, "only the first return may count")
	require.False(t, s.IsDraining(now.Add(drain.MaxHold+1)))
}
