package history_test

import (
	"fmt"
	"testing"
	"time"

	"crocuswing/internal/stats/history"

	"github.com/stretchr/testify/require"
)

const (
	ms          = time.Millisecond
	tailLatency = 10 * ms
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestSuspicion(t *testing.T) {
	answered := func(latency time.Duration) func(*history.History, time.Time) {
		return func(h *history.History, at time.Time) { h.Answered("u", at, at.Add(latency), tailLatency) }
	}
	canceled := func(latency time.Duration) func(*history.History, time.Time) {
		return func(h *history.History, at time.Time) { h.Canceled("u", at, at.Add(latency), tailLatency) }
	}
	failed := func(isUpstreamFault bool) func(*history.History, time.Time) {
		return func(h *history.History, at time.Time) { h.Failed("u", at, at, isUpstreamFault) }
	}
	type outcomes []func(*history.History, time.Time)
	for _, c := range []struct {
		name             string
		outcomes         outcomes
		suspect, failing bool
	}{
		{"fast responses", outcomes{answered(2 * ms), answered(9 * ms), answered(19 * ms)}, false, false},
		{"slow response", outcomes{answered(2 * ms), answered(20 * ms)}, true, false},
		{"consecutive slow responses", outcomes{answered(20 * ms), answered(30 * ms), answered(20 * ms)}, true, true},
		{"canceled after the tail latency", outcomes{canceled(12 * ms)}, true, false},
		{"repeatedly canceled after the tail latency", outcomes{canceled(12 * ms), canceled(12 * ms), canceled(12 * ms)}, true, true},
		{"canceled early", outcomes{canceled(2 * ms), canceled(2 * ms), canceled(2 * ms)}, false, false},
		{"fast response after misses", outcomes{canceled(12 * ms), canceled(12 * ms), canceled(12 * ms), answered(2 * ms)}, false, false},
		{"failures of the upstream", outcomes{failed(true), failed(true), failed(true)}, true, true},
		{"failures without fault of the upstream", outcomes{failed(false), failed(false), failed(false)}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := history.New()
			for i, record := range c.outcomes {
				at := start.Add(time.Duration(i) * 100 * ms)
				h.Begin("u", at)
				record(h, at)
			}
			r := h.Get("u", start.Add(time.Second))
			require.Equal(t, c.suspect, r.IsSuspect(tailLatency))
			require.Equal(t, c.failing, r.IsFailing(tailLatency))
			require.Zero(t, r.InFlight)
		})
	}
}

func TestAttemptInFlightIsEvidence(t *testing.T) {
	h := history.New()
	h.Begin("u", start)
	require.False(t, h.Get("u", start.Add(4*tailLatency)).IsSuspect(tailLatency))
	require.True(t, h.Get("u", start.Add(4*tailLatency+1)).IsSuspect(tailLatency))
	h.Begin("u", start.Add(ms))
	h.Answered("u", start, start.Add(ms), tailLatency)
	require.Equal(t, 2*ms, h.Get("u", start.Add(3*ms)).OldestAge)
}

func TestProbeBackoffAndRecovery(t *testing.T) {
	h := history.New()
	now := start
	for range 3 {
		h.Begin("u", now)
		h.Canceled("u", now, now.Add(20*ms), tailLatency)
	}
	probes := 0
	for range 100 { // 100 s in steps of 1 s
		now = now.Add(time.Second)
		if h.TakeProbe("u", now) {
			probes++
			h.Begin("u", now)
			h.Canceled("u", now, now.Add(20*ms), tailLatency)
		}
	}
	require.GreaterOrEqual(t, probes, 5)
	require.LessOrEqual(t, probes, 12)
	h.Begin("u", now)
	h.Answered("u", now, now.Add(2*ms), tailLatency)
	r := h.Get("u", now)
	require.False(t, r.IsSuspect(tailLatency))
	require.Equal(t, 2*ms, r.Latency)
}

func TestUnusedUpstreamsAreRemoved(t *testing.T) {
	h := history.New()
	for n := range 10_000 {
		name, now := fmt.Sprint(n), start.Add(time.Duration(n)*time.Second)
		h.Begin(name, now)
		h.Answered(name, now, now.Add(ms), tailLatency)
	}
	require.Less(t, h.Len(), 2048)
}
