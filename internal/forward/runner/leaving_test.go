package runner

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/published/registration"
	"crocuswing/internal/published/state"
	"crocuswing/internal/standin/replica"

	"github.com/stretchr/testify/require"
)

const timeout = 1500 * time.Millisecond

// publish applies a view with the given registrations to the catalog.
func (h *harness) publish(upstreams map[string]registration.Registration) {
	v := &state.View{Table: h.Published.Table, Upstreams: upstreams, ExcludedDomains: map[string]bool{}}
	for name := range h.Published.Upstreams {
		v.Changed = append(v.Changed, name)
	}
	for name := range upstreams {
		if _, ok := h.Published.Upstreams[name]; !ok {
			v.Changed = append(v.Changed, name)
		}
	}
	h.Published = v
	h.Catalog.Update(v)
}

// lastArrival returns the time of the latest request at the replica.
func lastArrival(p *replica.Replica) time.Time {
	at := p.ArrivalTimes()
	return at[len(at)-1]
}

// TestLeavingUpstream lets one replica announce that it is leaving, in responses of each kind. It must get no request after the first
// of these responses, also when its registration lapses and returns, until a new incarnation registers.
func TestLeavingUpstream(t *testing.T) {
	for _, fault := range []replica.Fault{replica.NoFault, replica.InternalError, replica.Unavailable, replica.Truncated, replica.WrongRequestID} {
		synctest.Test(t, func(t *testing.T) {
			s := orderShape()
			s.Replicas = 2
			s.Bounds.DrainTime = 3 * time.Second
			h := newHarness(t, s)
			defer h.stop()
			leaver := h.AllReplicas()[0]
			leaver.SetLeaving(true)
			leaver.SetFault(func(*rand.Rand) replica.Fault { return fault })
			h.GenerateLoad(20, time.Second, timeout, h.runner.Run)
			require.NotEmpty(t, leaver.ArrivalTimes())
			arrivals := len(leaver.ArrivalTimes())
			require.Less(t, arrivals, 5, "in flight at the first announcement")

			h.GenerateLoad(20, time.Second, timeout, h.runner.Run)
			registered := maps.Clone(h.Published.Upstreams)
			without := maps.Clone(registered)
			delete(without, leaver.ID())
			h.publish(without)
			h.GenerateLoad(20, time.Second, timeout, h.runner.Run)
			again := registered[leaver.ID()]
			again.Sequence++
			registered[leaver.ID()] = again
			h.publish(registered)
			for _, o := range h.GenerateLoad(20, 4*time.Second, timeout, h.runner.Run) {
				require.Equal(t, http.StatusOK, o.Status)
			}
			require.Len(t, leaver.ArrivalTimes(), arrivals)

			leaver.SetLeaving(false)
			leaver.SetFault(func(*rand.Rand) replica.Fault { return replica.NoFault })
			again.Incarnation++
			registered = maps.Clone(registered)
			registered[leaver.ID()] = again
			h.publish(registered)
			h.GenerateLoad(20, time.Second, timeout, h.runner.Run)
			require.Greater(t, len(leaver.ArrivalTimes()), arrivals, "a new incarnation is served")
		})
	}
}

// TestAllLeaving lets all replicas announce that they are leaving. They are the last resort for a part of the drain time; from then on
// requests are refused at once.
func TestAllLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := orderShape()
		s.Bounds.DrainTime = 3 * time.Second
		h := newHarness(t, s)
		defer h.stop()
		for _, p := range h.AllReplicas() {
			p.SetLeaving(true)
		}
		start := time.Now()
		for _, o := range h.GenerateLoad(20, s.Bounds.DrainTime/3, timeout, h.runner.Run) {
			require.Equal(t, http.StatusOK, o.Status)
		}
		h.GenerateLoad(20, s.Bounds.DrainTime, timeout, h.runner.Run)
		for _, p := range h.AllReplicas() {
			require.Less(t, lastArrival(p).Sub(start), s.Bounds.DrainTime)
		}
		for _, o := range h.GenerateLoad(20, time.Second, timeout, h.runner.Run) {
			require.Equal(t, http.StatusServiceUnavailable, o.Status)
			require.Zero(t, o.Latency)
		}
	})
}

// requirePauses checks that no replica got more than two requests between half a second after the refusal at start and the end of
// the pause that it asked for.
func requirePauses(t *testing.T, replicas []*replica.Replica, start time.Time, pause time.Duration) {
	for _, p := range replicas {
		early := slices.DeleteFunc(p.ArrivalTimes(), func(at time.Time) bool {
			return at.Sub(start) < 500*time.Millisecond || at.Sub(start) >= pause
		})
		require.LessOrEqual(t, len(early), 2, "replica %s", p.ID())
	}
}

// TestRequestedPause is the pattern of a retry storm: all replicas refuse requests and ask for a pause, while callers keep sending. The
// replicas must be left alone, and callers be told at once when to return.
func TestRequestedPause(t *testing.T) {
	const pause = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		s := orderShape()
		h := newHarness(t, s)
		defer h.stop()
		for _, p := range h.AllReplicas() {
			p.SetShed(1)
			p.SetRetryAfter(pause)
		}
		start := time.Now()
		h.GenerateLoad(100, 200*time.Millisecond, timeout, h.runner.Run)
		for _, p := range h.AllReplicas() {
			p.SetRetryAfter(0) // a later refusal without a pause does not shorten the earlier one
		}
		for _, o := range h.GenerateLoad(100, pause/2, timeout, h.runner.Run) {
			require.Equal(t, http.StatusServiceUnavailable, o.Status)
			require.Zero(t, o.Latency)
			returns := o.Arrived.Add(o.RetryAfter).Sub(start)
			require.True(t, returns >= pause && returns < pause+time.Second, "returns after %v", returns)
		}
		for _, p := range h.AllReplicas() {
			p.SetShed(0)
		}
		h.GenerateLoad(100, pause, timeout, h.runner.Run)
		requirePauses(t, h.AllReplicas(), start, pause)
		for _, o := range h.GenerateLoad(20, time.Second, timeout, h.runner.Run) {
			require.Equal(t, http.StatusOK, o.Status)
		}
	})
}

// TestPauseOfOneShard lets the replicas of one shard ask for a pause that ends after the objective. Answers must not wait for it.
func TestPauseOfOneShard(t *testing.T) {
	const pause = 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		s := lookupShape()
		h := newHarness(t, s)
		defer h.stop()
		h.GenerateLoad(20, 3*time.Second, 600*time.Millisecond, h.runner.Run)
		for _, p := range h.Replicas["s07"] {
			p.SetShed(1)
			p.SetRetryAfter(pause)
		}
		start := time.Now()
		h.GenerateLoad(20, 500*time.Millisecond, 600*time.Millisecond, h.runner.Run)
		short := 0
		outcomes := h.GenerateLoad(20, 3*time.Second, 600*time.Millisecond, h.runner.Run)
		for _, o := range outcomes {
			require.Equal(t, http.StatusOK, o.Status)
			require.GreaterOrEqual(t, o.Missing, 1)
			if o.Latency < s.Route.Objective {
				short++
			}
		}
		require.Greater(t, float64(short), 0.8*float64(len(outcomes)))
		requirePauses(t, h.Replicas["s07"], start, pause)
	})
}

// TestPauseWhileWaiting lets requests wait for the only connection of the instance to a replica while that asks for a pause. They must
// not be sent.
func TestPauseWhileWaiting(t *testing.T) {
	const pause = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		s := orderShape()
		s.Replicas, s.Slots, s.Queue, s.RTT = 1, 1, 0, 100*time.Millisecond
		s.ServiceTime = func(*rand.Rand) time.Duration { return 300 * time.Millisecond }
		h := newHarness(t, s)
		defer h.stop()
		only := h.AllReplicas()[0]
		h.Catalog.SetInstanceCount(26)
		start := time.Now()
		time.AfterFunc(time.Second, func() {
			only.SetShed(1)
			only.SetRetryAfter(pause)
		})
		h.GenerateLoad(50, 4*time.Second, timeout, h.runner.Run)
		var refusedAt time.Time
		for _, at := range only.ArrivalTimes() {
			if refusedAt.IsZero() && at.Sub(start) > time.Second {
				refusedAt = at
			}
		}
		requirePauses(t, h.AllReplicas(), refusedAt, pause)
	})
}
