package target

import (
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/upstream/contract"
	"crocuswing/internal/upstream/home"
	"crocuswing/internal/upstream/signal"
	"crocuswing/internal/upstream/warmup"

	"github.com/stretchr/testify/require"
)

// TestDoubt holds that a lost connection alone makes a warm upstream unproven, and one success warm again.
func TestDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := New("u", contract.Contract{Slots: 2, Connections: 25, ColdSlots: 1, WarmAfter: 1}, home.Location{})
		u.SetRole(Role{IsHome: true, IsFirst: true, MaxInFlight: 2})
		succeed := func() {
			s, err := u.Acquire(t.Context())
			require.NoError(t, err)
			time.Sleep(time.Millisecond)
			u.Finish(s, Result{Signal: signal.Signal{Incarnation: "u-1", Load: -1}})
		}
		succeed()
		require.Equal(t, warmup.Warm, u.Phase(time.Now()))
		u.MarkUnproven()
		require.Equal(t, warmup.Unproven, u.Phase(time.Now()))
		succeed()
		require.Equal(t, warmup.Warm, u.Phase(time.Now()))
	})
}
