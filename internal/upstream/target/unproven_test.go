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

// TestMarkUnproven checks that a lost connection alone makes a warm upstream unproven, and that one success makes
// it warm again.
func TestMarkUnproven(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tgt := New("u", contract.Contract{Slots: 2, Connections: 25, ColdSlots: 1, WarmAfter: 1}, home.Location{})
		tgt.SetRole(Role{IsHome: true, IsFirst: true, MaxInFlight: 2})
		succeed := func() {
			s, err := tgt.Acquire(t.Context())
			require.NoError(t, err)
			time.Sleep(time.Millisecond)
			tgt.Finish(s, Result{Signal: signal.Signal{Incarnation: "u-1", Load: -1}})
		}
		succeed()
		require.Equal(t, warmup.Warm, tgt.Phase(time.Now()))
		tgt.MarkUnproven()
		require.Equal(t, warmup.Unproven, tgt.Phase(time.Now()))
		succeed()
		require.Equal(t, warmup.Warm, tgt.Phase(time.Now()))
	})
}
