package warmup_test

import (
	"fmt"
	"testing"
	"time"

	"crocuswing/internal/upstream/warmup"

	"github.com/stretchr/testify/require"
)

const (
	needed = 3
	usual  = 10 * time.Millisecond
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

// step is one event and the phase that has to follow.
type step struct {
	event func(warmup.Warmup, time.Time) warmup.Warmup
	times int
	phase warmup.Phase
}

func answer(incarnation string, cold bool, took time.Duration) func(warmup.Warmup, time.Time) warmup.Warmup {
	return func(w warmup.Warmup, now time.Time) warmup.Warmup {
		return w.WithSuccess(now, warmup.Response{Epoch: w.Epoch(), Incarnation: incarnation, ReportsCold: cold, ServiceTime: took})
	}
}

func stale(w warmup.Warmup, now time.Time) warmup.Warmup {
	return w.WithSuccess(now, warmup.Response{Epoch: w.Epoch() - 1, Incarnation: "a-1", ServiceTime: usual})
}

func broken(w warmup.Warmup, _ time.Time) warmup.Warmup { return w.WithConnectionError(w.Epoch()) }

func shed(w warmup.Warmup, now time.Time) warmup.Warmup { return w.WithShed(now, w.Epoch(), "a-1") }

func listed(w warmup.Warmup, _ time.Time) warmup.Warmup { return w.WithListedCold() }

func doubted(w warmup.Warmup, _ time.Time) warmup.Warmup { return w.WithPeerCold("a-1") }

func toldWarm(incarnation string) func(warmup.Warmup, time.Time) warmup.Warmup {
	return func(w warmup.Warmup, now time.Time) warmup.Warmup {
		return w.WithPeerWarm(now, warmup.Response{Incarnation: incarnation})
	}
}

// brokenBefore is the reset of an attempt that was sent before the last doubt.
func brokenBefore(w warmup.Warmup, _ time.Time) warmup.Warmup {
	return w.WithConnectionError(w.Epoch() - 1)
}

func unanswered(w warmup.Warmup, _ time.Time) warmup.Warmup {
	return w.WithNoResponse(w.Epoch(), 100*usual)
}

func TestPhases(t *testing.T) {
	good := answer("a-1", false, usual)
	warm := step{good, needed, warmup.Warm}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"successes warm it", []step{{good, needed - 1, warmup.Cold}, {good, 1, warmup.Warm}}},
		{"late answers of a former epoch do not count", []step{{good, 1, warmup.Cold}, {stale, 10, warmup.Cold}}},
		{"a fresh incarnation starts anew", []step{warm, {answer("a-2", false, usual), 1, warmup.Cold}, {answer("a-2", false, usual), needed - 1, warmup.Warm}}},
		{"a reset starts anew", []step{warm, {broken, 1, warmup.Cold}, {good, needed - 1, warmup.Cold}, {good, 1, warmup.Warm}}},
		{"a shed in the warm-up starts anew", []step{{good, needed - 1, warmup.Cold}, {shed, 1, warmup.Cold}, {good, needed - 1, warmup.Cold}}},
		{"a shed when warm does not", []step{warm, {shed, 1, warmup.Warm}}},
		{"a jump of service times starts anew", []step{{good, 20, warmup.Warm}, {answer("a-1", false, 10*usual), 5, warmup.Cold}}},
		{"one straggler does not", []step{{good, 20, warmup.Warm}, {answer("a-1", false, 100*usual), 1, warmup.Warm}, {good, 1, warmup.Warm}}},
		{"missing answers start anew", []step{{good, 20, warmup.Warm}, {unanswered, 5, warmup.Cold}}},
		{"a lasting change of service times costs one warm-up", []step{
			{good, 20, warmup.Warm}, {answer("a-1", false, 10*usual), 4, warmup.Cold}, {answer("a-1", false, 10*usual), 50, warmup.Warm},
		}},
		{"reports of cold take twice the successes, once", []step{
			warm,
			{answer("a-1", true, usual), 1, warmup.Cold},
			{answer("a-1", true, usual), 2*needed - 1, warmup.Cold},
			{answer("a-1", true, usual), 1, warmup.Warm},
			{answer("a-1", true, usual), 50, warmup.Warm},
		}},
		{"the list's cold asks for one success, once", []step{warm, {listed, 1, warmup.Unproven}, {good, 1, warmup.Warm}, {listed, 1, warmup.Warm}}},
		{"a doubt asks for one success", []step{warm, {doubted, 1, warmup.Unproven}, {stale, 1, warmup.Unproven}, {good, 1, warmup.Warm}}},
		{"a reset counts also across a doubt", []step{warm, {doubted, 1, warmup.Unproven}, {brokenBefore, 1, warmup.Cold}, {good, 1, warmup.Cold}}},
		{"the resets of one restart count once", []step{warm, {broken, 1, warmup.Cold}, {good, needed - 1, warmup.Cold}, {brokenBefore, 5, warmup.Cold}, {good, 1, warmup.Warm}, {brokenBefore, 1, warmup.Cold}}},
		{"a doubt does not undo a warm-up", []step{{good, needed - 1, warmup.Cold}, {doubted, 1, warmup.Cold}, {good, 1, warmup.Warm}}},
		{"told warm by another home", []step{{toldWarm("a-1"), 1, warmup.Warm}, {good, 1, warmup.Warm}}},
		{"told warm of a former incarnation", []step{warm, {answer("a-2", false, usual), 1, warmup.Cold}, {toldWarm("a-1"), 1, warmup.Cold}}},
		{"a slow answer proves nothing", []step{{good, 20, warmup.Warm}, {doubted, 1, warmup.Unproven}, {answer("a-1", false, 10*usual), 1, warmup.Unproven}, {good, 1, warmup.Warm}}},
		{"no incarnation proves nothing", []step{{good, 20, warmup.Warm}, {doubted, 1, warmup.Unproven}, {answer("", false, usual), 1, warmup.Cold}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := warmup.New(needed)
			for n, s := range c.steps {
				for range s.times {
					w = s.event(w, start)
				}
				require.Equal(t, s.phase, w.Phase(start), "step %d", n)
			}
		})
	}
}

func TestDoubtsDoNotDiscardNewEvidence(t *testing.T) {
	w := warmup.New(1)
	w = answer("a-1", false, usual)(w, start)
	w = doubted(w, start)
	sent := w.Epoch()
	w = doubted(w, start)
	w = w.WithSuccess(start, warmup.Response{Epoch: sent, Incarnation: "a-1", ServiceTime: usual})
	require.Equal(t, warmup.Warm, w.Phase(start))
}

func TestTimeOnlyMakesEvidenceStale(t *testing.T) {
	w := answer("a-1", false, usual)(warmup.New(2), start)
	require.Equal(t, warmup.Cold, w.Phase(start.Add(time.Hour)), "a pause must not end a warm-up")
	w = answer("a-1", false, usual)(w, start)
	require.Equal(t, warmup.Warm, w.Phase(start.Add(warmup.MaxEvidenceAge)))
	require.Equal(t, warmup.Unproven, w.Phase(start.Add(warmup.MaxEvidenceAge+1)))
}
