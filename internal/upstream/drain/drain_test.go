package drain_test

import (
	"testing"
	"time"

	"crocuswing/internal/upstream/drain"

	"github.com/stretchr/testify/require"
)

func TestDeparture(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var d drain.State
	require.False(t, d.IsDraining(now))
	d = d.WithSignal(now)
	require.True(t, d.IsDraining(now), "at the first signal")
	require.True(t, d.IsDraining(now.Add(drain.InitialHold)))
	require.False(t, d.IsDraining(now.Add(drain.InitialHold+1)))
}

func TestFlappingIsDamped(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var d drain.State
	returns := 0
	const flaps = 200
	for range flaps { // 6 s leaving, 6 s not
		for range 6 {
			d = d.WithSignal(now)
			now = now.Add(time.Second)
		}
		for range 6 {
			now = now.Add(time.Second)
			if !d.IsDraining(now) {
				returns++
				break
			}
		}
	}
	require.Equal(t, 1, returns, "only the first return may be believed")
	require.False(t, d.IsDraining(now.Add(drain.MaxHold+1)))
}
