package history_test

import (
	"fmt"
	"testing"
	"time"

	"crocuswing/internal/stats/history"

	"github.com/stretchr/testify/require"
)

const (
	ms    = time.Millisecond
	usual = 10 * ms
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestSuspicion(t *testing.T) {
	answered := func(took time.Duration) func(*history.History, time.Time) {
		return func(h *history.History, at time.Time) { h.Answered("u", at, at.Add(took), usual) }
	}
	cut := func(took time.Duration) func(*history.History, time.Time) {
		return func(h *history.History, at time.Time) { h.Canceled("u", at, at.Add(took), usual) }
	}
	failed := func(blame bool) func(*history.History, time.Time) {
		return func(h *history.History, at time.Time) { h.Failed("u", at, at, blame) }
	}
	type ends []func(*history.History, time.Time)
	for _, c := range []struct {
		name             string
		ends             ends
		suspect, failing bool
	}{
		{"quick answers", ends{answered(2 * ms), answered(9 * ms), answered(19 * ms)}, false, false},
		{"a slow answer", ends{answered(2 * ms), answered(20 * ms)}, true, false},
		{"slow answers", ends{answered(20 * ms), answered(30 * ms), answered(20 * ms)}, true, true},
		{"lost against a hedge", ends{cut(12 * ms)}, true, false},
		{"lost against hedges", ends{cut(12 * ms), cut(12 * ms), cut(12 * ms)}, true, true},
		{"cut off early", ends{cut(2 * ms), cut(2 * ms), cut(2 * ms)}, false, false},
		{"a good answer after", ends{cut(12 * ms), cut(12 * ms), cut(12 * ms), answered(2 * ms)}, false, false},
		{"broken", ends{failed(true), failed(true), failed(true)}, true, true},
		{"shedding", ends{failed(false), failed(false), failed(false)}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := history.New()
			for i, end := range c.ends {
				at := start.Add(time.Duration(i) * 100 * ms)
				h.Begin("u", at)
				end(h, at)
			}
			r := h.Get("u", start.Add(time.Second))
			require.Equal(t, c.suspect, r.IsSuspect(usual))
			require.Equal(t, c.failing, r.IsFailing(usual))
			require.Zero(t, r.InFlight)
		})
	}
}

func TestAttemptInFlightIsEvidence(t *testing.T) {
	h := history.New()
	h.Begin("u", start)
	require.False(t, h.Get("u", start.Add(4*usual)).IsSuspect(usual))
	require.True(t, h.Get("u", start.Add(4*usual+1)).IsSuspect(usual))
	h.Begin("u", start.Add(ms))
	h.Answered("u", start, start.Add(ms), usual)
	require.Equal(t, 2*ms, h.Get("u", start.Add(3*ms)).OldestAge)
}

func TestProbesAreRareAndAGoodOneClears(t *testing.T) {
	h := history.New()
	now := start
	for range 3 {
		h.Begin("u", now)
		h.Canceled("u", now, now.Add(20*ms), usual)
	}
	probes := 0
	for range 100 { // a minute and 40 s in steps of a second
		now = now.Add(time.Second)
		if h.TakeProbe("u", now) {
			probes++
			h.Begin("u", now)
			h.Canceled("u", now, now.Add(20*ms), usual)
		}
	}
	require.GreaterOrEqual(t, probes, 5)
	require.LessOrEqual(t, probes, 12)
	h.Begin("u", now)
	h.Answered("u", now, now.Add(2*ms), usual)
	r := h.Get("u", now)
	require.False(t, r.IsSuspect(usual))
	require.Equal(t, 2*ms, r.Latency)
}

func TestUnusedUpstreamsAreForgotten(t *testing.T) {
	h := history.New()
	for n := range 10_000 {
		name, now := fmt.Sprint(n), start.Add(time.Duration(n)*time.Second)
		h.Begin(name, now)
		h.Answered(name, now, now.Add(ms), usual)
	}
	require.Less(t, h.Len(), 2048)
}
