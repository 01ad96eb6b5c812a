package warmup_test

import (
	"fmt"
	"testing"
	"time"

	"crocuswing/internal/upstream/warmup"

	"github.com/stretchr/testify/require"
)

const (
	warmAfter = 3
	baseline  = 10 * time.Millisecond
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ExampleWarmup() {
	now := time.Now()
	w := warmup.New(2)
	fmt.Println(w.Phase(now))
	w = w.WithSuccess(now, warmup.Response{Epoch: w.Epoch(), Incarnation: "a-1", ServiceTime: time.Millisecond})
	fmt.Println(w.Phase(now.Add(time.Hour)))
	w = w.WithSuccess(now, warmup.Response{Epoch: w.Epoch(), Incarnation: "a-1", ServiceTime: time.Millisecond})
	fmt.Println(w.Phase(now))
	fmt.Println(w.Phase(now.Add(time.Minute)))
	// Output:
	// cold
	// cold
	// warm
	// unproven
}

// step is an event that is repeated the given number of times, and the phase that must follow.
type step struct {
	event func(warmup.Warmup, time.Time) warmup.Warmup
	times int
	phase warmup.Phase
}

func success(incarnation string, cold bool, serviceTime time.Duration) func(warmup.Warmup, time.Time) warmup.Warmup {
	return func(w warmup.Warmup, now time.Time) warmup.Warmup {
		return w.WithSuccess(now, warmup.Response{Epoch: w.Epoch(), Incarnation: incarnation, ReportsCold: cold, ServiceTime: serviceTime})
	}
}

func staleSuccess(w warmup.Warmup, now time.Time) warmup.Warmup {
	return w.WithSuccess(now, warmup.Response{Epoch: w.Epoch() - 1, Incarnation: "a-1", ServiceTime: baseline})
}

func connectionError(w warmup.Warmup, _ time.Time) warmup.Warmup {
	return w.WithConnectionError(w.Epoch())
}

func shed(w warmup.Warmup, now time.Time) warmup.Warmup { return w.WithShed(now, w.Epoch(), "a-1") }

func listedCold(w warmup.Warmup, _ time.Time) warmup.Warmup { return w.WithListedCold() }

func peerCold(w warmup.Warmup, _ time.Time) warmup.Warmup { return w.WithPeerCold("a-1") }

func peerWarm(incarnation string) func(warmup.Warmup, time.Time) warmup.Warmup {
	return func(w warmup.Warmup, now time.Time) warmup.Warmup {
		return w.WithPeerWarm(now, warmup.Response{Incarnation: incarnation})
	}
}

// earlierConnectionError is the reset of an attempt that was sent in the previous epoch.
func earlierConnectionError(w warmup.Warmup, _ time.Time) warmup.Warmup {
	return w.WithConnectionError(w.Epoch() - 1)
}

func noResponse(w warmup.Warmup, _ time.Time) warmup.Warmup {
	return w.WithNoResponse(w.Epoch(), 100*baseline)
}

func TestPhases(t *testing.T) {
	good := success("a-1", false, baseline)
	warm := step{good, warmAfter, warmup.Warm}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"successes end the warm-up", []step{{good, warmAfter - 1, warmup.Cold}, {good, 1, warmup.Warm}}},
		{"late responses of an earlier epoch do not count", []step{{good, 1, warmup.Cold}, {staleSuccess, 10, warmup.Cold}}},
		{"a new incarnation restarts the warm-up", []step{warm, {success("a-2", false, baseline), 1, warmup.Cold}, {success("a-2", false, baseline), warmAfter - 1, warmup.Warm}}},
		{"a reset restarts the warm-up", []step{warm, {connectionError, 1, warmup.Cold}, {good, warmAfter - 1, warmup.Cold}, {good, 1, warmup.Warm}}},
		{"a shed during the warm-up restarts it", []step{{good, warmAfter - 1, warmup.Cold}, {shed, 1, warmup.Cold}, {good, warmAfter - 1, warmup.Cold}}},
		{"a shed when warm does not start a warm-up", []step{warm, {shed, 1, warmup.Warm}}},
		{"a jump of service times starts a warm-up", []step{{good, 20, warmup.Warm}, {success("a-1", false, 10*baseline), 5, warmup.Cold}}},
		{"a single slow response does not start a warm-up", []step{{good, 20, warmup.Warm}, {success("a-1", false, 100*baseline), 1, warmup.Warm}, {good, 1, warmup.Warm}}},
		{"missing responses start a warm-up", []step{{good, 20, warmup.Warm}, {noResponse, 5, warmup.Cold}}},
		{"a lasting change of service times causes one warm-up", []step{
			{good, 20, warmup.Warm}, {success("a-1", false, 10*baseline), 4, warmup.Cold}, {success("a-1", false, 10*baseline), 50, warmup.Warm},
		}},
		{"reports of cold require twice the successes, once", []step{
			warm,
			{success("a-1", true, baseline), 1, warmup.Cold},
			{success("a-1", true, baseline), 2*warmAfter - 1, warmup.Cold},
			{success("a-1", true, baseline), 1, warmup.Warm},
			{success("a-1", true, baseline), 50, warmup.Warm},
		}},
		{"membership state cold requires one success, once", []step{warm, {listedCold, 1, warmup.Unproven}, {good, 1, warmup.Warm}, {listedCold, 1, warmup.Warm}}},
		{"cold notice of a peer requires one success", []step{warm, {peerCold, 1, warmup.Unproven}, {staleSuccess, 1, warmup.Unproven}, {good, 1, warmup.Warm}}},
		{"a reset counts also across a cold notice", []step{warm, {peerCold, 1, warmup.Unproven}, {earlierConnectionError, 1, warmup.Cold}, {good, 1, warmup.Cold}}},
		{"the resets of one restart count once", []step{warm, {connectionError, 1, warmup.Cold}, {good, warmAfter - 1, warmup.Cold}, {earlierConnectionError, 5, warmup.Cold}, {good, 1, warmup.Warm}, {earlierConnectionError, 1, warmup.Cold}}},
		{"a cold notice does not restart a warm-up", []step{{good, warmAfter - 1, warmup.Cold}, {peerCold, 1, warmup.Cold}, {good, 1, warmup.Warm}}},
		{"another home reports warm", []step{{peerWarm("a-1"), 1, warmup.Warm}, {good, 1, warmup.Warm}}},
		{"another home reports an earlier incarnation as warm", []step{warm, {success("a-2", false, baseline), 1, warmup.Cold}, {peerWarm("a-1"), 1, warmup.Cold}}},
		{"a slow response proves nothing", []step{{good, 20, warmup.Warm}, {peerCold, 1, warmup.Unproven}, {success("a-1", false, 10*baseline), 1, warmup.Unproven}, {good, 1, warmup.Warm}}},
		{"a response without incarnation proves nothing", []step{{good, 20, warmup.Warm}, {peerCold, 1, warmup.Unproven}, {success("", false, baseline), 1, warmup.Cold}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := warmup.New(warmAfter)
			for n, s := range c.steps {
				for range s.times {
					w = s.event(w, start)
				}
				require.Equal(t, s.phase, w.Phase(start), "step %d", n)
			}
		})
	}
}

// TestRepeatedPeerColdKeepsNewEvidence guards against an upstream that stays unproven because every further cold notice
// invalidates the attempt that could prove it warm.
func TestRepeatedPeerColdKeepsNewEvidence(t *testing.T) {
	w := warmup.New(1)
	w = success("a-1", false, baseline)(w, start)
	w = peerCold(w, start)
	sent := w.Epoch()
	w = peerCold(w, start)
	w = w.WithSuccess(start, warmup.Response{Epoch: sent, Incarnation: "a-1", ServiceTime: baseline})
	require.Equal(t, warmup.Warm, w.Phase(start))
}

func TestTimeOnlyMakesEvidenceStale(t *testing.T) {
	w := success("a-1", false, baseline)(warmup.New(2), start)
	require.Equal(t, warmup.Cold, w.Phase(start.Add(time.Hour)), "a pause must not end a warm-up")
	w = success("a-1", false, baseline)(w, start)
	require.Equal(t, warmup.Warm, w.Phase(start.Add(warmup.MaxEvidenceAge)))
	require.Equal(t, warmup.Unproven, w.Phase(start.Add(warmup.MaxEvidenceAge+1)))
}
