package target_test

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/upstream/contract"
	"crocuswing/internal/upstream/failure"
	"crocuswing/internal/upstream/home"
	"crocuswing/internal/upstream/queue"
	"crocuswing/internal/upstream/signal"
	"crocuswing/internal/upstream/target"
	"crocuswing/internal/upstream/warmup"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	testContract = contract.Contract{Slots: 8, Connections: 50, ColdSlots: 2, WarmAfter: 4}
	firstHome    = target.Role{IsHome: true, IsFirst: true, MaxInFlight: 5}
	otherHome    = target.Role{IsHome: true, MaxInFlight: 5}
)

// warmSlots counts the slots that were acquired from a warm upstream in all histories.
var warmSlots int

// model is a simplified reference model that keeps only the state needed to check the limits of the contract.
type model struct {
	target      *target.Target
	role        target.Role
	incarnation int // current incarnation of the upstream
	inFlight    []attempt
	events      int // number of events so far

	lastIncarnation string    // incarnation named in the latest response
	lastColdEvent   int       // last event that indicated a cold upstream
	successes       int       // of lastIncarnation, for attempts sent after lastColdEvent
	lastSuccess     time.Time // zero after a notice that the upstream may be cold
	blockedUntil    time.Time
}

type attempt struct {
	slot        target.Slot
	sentEvent   int
	sentAt      time.Time
	incarnation string // incarnation that serves the attempt
}

// isProven reports whether the upstream may count as warm.
func (m *model) isProven() bool {
	return m.successes >= testContract.WarmAfter && time.Since(m.lastSuccess) <= warmup.MaxEvidenceAge
}

func (m *model) acquire(t *rapid.T) {
	m.events++
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // return without waiting in the queue
	slot, err := m.target.Acquire(ctx)
	if err != nil {
		return
	}
	if !m.isProven() {
		require.True(t, m.role.IsFirst, "only the first home may send to a cold upstream")
		require.Less(t, len(m.inFlight), testContract.ColdSlots, "attempts in flight to a cold upstream")
		require.True(t, slot.MustComplete)
		require.False(t, time.Now().Before(m.blockedUntil), "a new first home must wait for HandoverDelay")
	}
	m.inFlight = append(m.inFlight, attempt{slot: slot, sentEvent: m.events, sentAt: time.Now(), incarnation: fmt.Sprint("i", m.incarnation)})
	m.checkInFlight(t)
	if !slot.MustComplete {
		warmSlots++
	}
}

// checkInFlight checks the attempts in flight against the limit of this home, which is one higher while the oldest
// attempt is overdue.
func (m *model) checkInFlight(t *rapid.T) {
	allowed := max(firstHome.MaxInFlight, testContract.ColdSlots)
	oldest := m.inFlight[0].sentAt
	for _, a := range m.inFlight {
		if a.sentAt.Before(oldest) {
			oldest = a.sentAt
		}
	}
	if time.Since(oldest) >= 20*time.Millisecond {
		allowed++
	}
	require.LessOrEqual(t, len(m.inFlight), allowed)
}

// removeAttempt removes a random attempt in flight. There must be at least one.
func (m *model) removeAttempt(t *rapid.T) attempt {
	n := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "attempt")
	a := m.inFlight[n]
	m.inFlight = append(m.inFlight[:n], m.inFlight[n+1:]...)
	return a
}

func (m *model) markCold() {
	m.lastColdEvent, m.successes = m.events, 0
}

func (m *model) succeed(t *rapid.T) {
	m.events++
	if len(m.inFlight) == 0 {
		return
	}
	a := m.removeAttempt(t)
	sig := signal.Signal{Incarnation: a.incarnation, Cold: rapid.Bool().Draw(t, "report"), Load: -1}
	if a.sentEvent > m.lastColdEvent {
		if m.lastIncarnation != "" && a.incarnation != m.lastIncarnation {
			m.markCold()
		}
		m.lastIncarnation = a.incarnation
		m.successes++
		m.lastSuccess = time.Now()
	}
	if c := m.target.Finish(a.slot, target.Result{Signal: sig}); c.WarmupStarted && m.successes > 1 {
		m.markCold() // the response reported the upstream as cold
	}
}

// runAttempts runs several attempts one after another.
func (m *model) runAttempts(t *rapid.T) {
	for range rapid.IntRange(1, 2*testContract.WarmAfter).Draw(t, "attempts") {
		m.acquire(t)
		time.Sleep(time.Millisecond)
		m.succeed(t)
	}
}

func (m *model) fail(t *rapid.T) {
	m.events++
	if len(m.inFlight) == 0 {
		return
	}
	a := m.removeAttempt(t)
	kind := rapid.SampledFrom([]string{failure.KindReset, failure.KindRefused}).Draw(t, "kind")
	if a.sentEvent > m.lastColdEvent || m.target.Phase(time.Now()) != warmup.Cold {
		m.markCold()
	}
	m.target.Finish(a.slot, target.Result{FailureKind: kind, Signal: signal.Signal{Load: -1}})
}

func (m *model) markUnproven(*rapid.T) {
	m.events++
	m.target.ApplyNotice(m.lastIncarnation, false, true)
	if m.successes >= testContract.WarmAfter {
		m.lastSuccess = time.Time{}
	}
}

func (m *model) restart(*rapid.T) {
	m.events++
	m.incarnation++
}

func (m *model) changeRole(t *rapid.T) {
	m.events++
	role := rapid.SampledFrom([]target.Role{firstHome, otherHome}).Draw(t, "role")
	if role.IsFirst && !m.role.IsFirst {
		m.blockedUntil = time.Now().Add(target.HandoverDelay)
	}
	m.role = role
	m.target.SetRole(role)
}

func (m *model) advance(t *rapid.T) {
	m.events++
	time.Sleep(time.Duration(rapid.SampledFrom([]int{1, 10, 300, 4000}).Draw(t, "ms")) * time.Millisecond)
}

// noDeadlineTB hides the Deadline method of the test, which must not be called inside a synctest bubble.
type noDeadlineTB struct{ rapid.TB }

// TestBoundsHoldForAllHistories compares random histories with the reference model, which checks that the limits of
// the contract hold after every step.
func TestBoundsHoldForAllHistories(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "5"))
	require.NoError(t, flag.Set("rapid.checks", "400"))
	require.NoError(t, flag.Set("rapid.nofailfile", "true"))
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadlineTB{t}, func(t *rapid.T) {
			m := &model{role: firstHome, target: target.New("a", testContract, home.Location{})}
			m.target.SetRole(firstHome)
			// Rapid picks actions by their position in the sorted names, so the order of names determines the histories.
			t.Repeat(map[string]func(*rapid.T){
				"acquire": m.acquire, "acquire again": m.acquire, "change role": m.changeRole, "cold notice": m.markUnproven,
				"fail": m.fail, "pass time": m.advance, "restart": m.restart, "run attempts": m.runAttempts,
				"run attempts again": m.runAttempts, "succeed": m.succeed,
			})
		})
	})
	require.Greater(t, warmSlots, 100, "the histories must reach warm upstreams")
}

// TestAcquireRefusesUnreachableDeadline checks that an attempt that cannot be answered before its deadline is refused
// even if a slot is free, but only if the upstream is warm and has responded recently.
func TestAcquireRefusesUnreachableDeadline(t *testing.T) {
	const serviceTime = 10 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		tgt := target.New("a", testContract, home.Location{})
		tgt.SetRole(firstHome)
		acquire := func(timeout time.Duration) (target.Slot, error) {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			return tgt.Acquire(ctx)
		}
		for range testContract.WarmAfter {
			s, err := acquire(serviceTime / 2)
			require.NoError(t, err, "a cold upstream gets every attempt, whatever its deadline")
			time.Sleep(serviceTime)
			tgt.Finish(s, target.Result{Signal: signal.Signal{Incarnation: "a-1", Load: -1}})
		}
		_, err := acquire(serviceTime / 2)
		var queueErr *queue.Error
		require.ErrorAs(t, err, &queueErr)
		s, err := acquire(2 * serviceTime)
		require.NoError(t, err)
		tgt.Release(s)
		time.Sleep(2 * time.Second)
		_, err = acquire(serviceTime / 2)
		require.NoError(t, err, "an old service time must not cause a refusal")
	})
}

// TestHandoverToNewHome checks that an instance that becomes a home and the first home at once sends nothing to a cold upstream
// before the attempts of the previous first home can have finished.
func TestHandoverToNewHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tgt := target.New("a", testContract, home.Location{})
		tgt.SetRole(target.Role{})
		tgt.SetRole(firstHome)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := tgt.Acquire(ctx)
		var queueErr *queue.Error
		require.ErrorAs(t, err, &queueErr)
		time.Sleep(target.HandoverDelay)
		s, err := tgt.Acquire(ctx)
		require.NoError(t, err)
		tgt.Release(s)
	})
}

// TestPauseIsNotShortened checks that a pause that the upstream requested ends at the latest of the requested times, whatever the
// responses of other attempts request.
func TestPauseIsNotShortened(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tgt := target.New("a", testContract, home.Location{})
		tgt.SetRole(firstHome)
		var slots []target.Slot
		for range testContract.ColdSlots {
			s, err := tgt.Acquire(t.Context())
			require.NoError(t, err)
			slots = append(slots, s)
		}
		start := time.Now()
		tgt.Finish(slots[0], target.Result{FailureKind: failure.KindShed, Signal: signal.Signal{Shed: true, RetryAfter: 30 * time.Second, Load: -1}})
		tgt.Finish(slots[1], target.Result{FailureKind: failure.KindShed, Signal: signal.Signal{Shed: true, Load: -1}})
		for !tgt.IsAvailable(time.Now()) {
			time.Sleep(100 * time.Millisecond)
		}
		require.Equal(t, 30*time.Second, time.Since(start))
	})
}
