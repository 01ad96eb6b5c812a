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
	bounds = contract.Contract{Slots: 8, Connections: 50, ColdSlots: 2, WarmAfter: 4}
	first  = target.Role{IsHome: true, IsFirst: true, MaxInFlight: 5}
	second = target.Role{IsHome: true, MaxInFlight: 5}
)

// warmSlots counts the slots that all histories got from a warm upstream.
var warmSlots int

// model is the naive version: it keeps only what the stated bounds need.
type model struct {
	target      *target.Target
	role        target.Role
	incarnation int // of the upstream
	open        []attempt
	clock       int // counts events

	known     string    // the incarnation that answers named last
	coldAt    int       // the event that last gave a sign of cold
	successes int       // of attempts sent since, answered by known
	provenAt  time.Time // of the last such success
	heldUntil time.Time
}

type attempt struct {
	slot   target.Slot
	sentAt int
	at     time.Time
	from   string // the incarnation that serves it
}

// isProven tells whether the bounds let the upstream count as warm.
func (m *model) isProven() bool {
	return m.successes >= bounds.WarmAfter && time.Since(m.provenAt) <= warmup.MaxEvidenceAge
}

func (m *model) acquire(t *rapid.T) {
	m.clock++
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // do not wait
	s, err := m.target.Acquire(ctx)
	if err != nil {
		return
	}
	if !m.isProven() {
		require.True(t, m.role.IsFirst, "only the first home sends to a cold upstream")
		require.Less(t, len(m.open), bounds.ColdSlots, "cold slots")
		require.True(t, s.MustComplete)
		require.False(t, time.Now().Before(m.heldUntil), "a new first home waits")
	}
	m.open = append(m.open, attempt{slot: s, sentAt: m.clock, at: time.Now(), from: fmt.Sprint("i", m.incarnation)})
	m.checkShare(t)
	if !s.MustComplete {
		warmSlots++
	}
}

// checkShare allows one attempt above the share of a warm upstream while the oldest is overdue.
func (m *model) checkShare(t *rapid.T) {
	share := max(first.MaxInFlight, bounds.ColdSlots)
	oldest := m.open[0].at
	for _, a := range m.open {
		if a.at.Before(oldest) {
			oldest = a.at
		}
	}
	if time.Since(oldest) >= 20*time.Millisecond {
		share++
	}
	require.LessOrEqual(t, len(m.open), share)
}

// take removes one open attempt; there has to be one.
func (m *model) take(t *rapid.T) attempt {
	n := rapid.IntRange(0, len(m.open)-1).Draw(t, "attempt")
	a := m.open[n]
	m.open = append(m.open[:n], m.open[n+1:]...)
	return a
}

func (m *model) cold() {
	m.coldAt, m.successes = m.clock, 0
}

func (m *model) succeed(t *rapid.T) {
	m.clock++
	if len(m.open) == 0 {
		return
	}
	a := m.take(t)
	sig := signal.Signal{Incarnation: a.from, Cold: rapid.Bool().Draw(t, "report"), Load: -1}
	if a.sentAt > m.coldAt {
		if m.known != "" && a.from != m.known {
			m.cold()
		}
		m.known = a.from
		m.successes++
		m.provenAt = time.Now()
	}
	if c := m.target.Finish(a.slot, target.Result{Signal: sig}); c.WarmupStarted && m.successes > 1 {
		m.cold() // because of a report
	}
}

// serve runs some attempts one after the other.
func (m *model) serve(t *rapid.T) {
	for range rapid.IntRange(1, 2*bounds.WarmAfter).Draw(t, "attempts") {
		m.acquire(t)
		time.Sleep(time.Millisecond)
		m.succeed(t)
	}
}

func (m *model) fail(t *rapid.T) {
	m.clock++
	if len(m.open) == 0 {
		return
	}
	a := m.take(t)
	kind := rapid.SampledFrom([]string{failure.KindReset, failure.KindRefused}).Draw(t, "kind")
	if a.sentAt > m.coldAt || m.target.Phase(time.Now()) != warmup.Cold {
		m.cold()
	}
	m.target.Finish(a.slot, target.Result{FailureKind: kind, Signal: signal.Signal{Load: -1}})
}

func (m *model) doubt(*rapid.T) {
	m.clock++
	m.target.ApplyNotice(m.known, false, true)
	if m.successes >= bounds.WarmAfter {
		m.provenAt = time.Time{}
	}
}

func (m *model) restart(*rapid.T) {
	m.clock++
	m.incarnation++
}

func (m *model) change(t *rapid.T) {
	m.clock++
	role := rapid.SampledFrom([]target.Role{first, second}).Draw(t, "role")
	if role.IsFirst && !m.role.IsFirst {
		m.heldUntil = time.Now().Add(target.HandoverDelay)
	}
	m.role = role
	m.target.SetRole(role)
}

func (m *model) pass(t *rapid.T) {
	m.clock++
	time.Sleep(time.Duration(rapid.SampledFrom([]int{1, 10, 300, 4000}).Draw(t, "ms")) * time.Millisecond)
}

// endless hides the deadline of the test, which a bubble of virtual time must not ask for.
type endless struct{ rapid.TB }

// TestBoundsHoldForAllHistories runs random histories against the naive model.
func TestBoundsHoldForAllHistories(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "5"))
	require.NoError(t, flag.Set("rapid.checks", "400"))
	require.NoError(t, flag.Set("rapid.nofailfile", "true"))
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(endless{t}, func(t *rapid.T) {
			m := &model{role: first, target: target.New("a", bounds, home.Location{})}
			m.target.SetRole(first)
			t.Repeat(map[string]func(*rapid.T){
				"acquire": m.acquire, "acquire again": m.acquire, "succeed": m.succeed, "serve": m.serve, "serve again": m.serve,
				"fail": m.fail, "restart": m.restart, "change role": m.change, "pass": m.pass, "doubt": m.doubt,
			})
		})
	})
	require.Greater(t, warmSlots, 100, "the histories must reach warm upstreams")
}

// TestWhatCannotBeAnsweredInTimeIsNotSent holds for a free slot of a warm upstream with a recent answer.
func TestWhatCannotBeAnsweredInTimeIsNotSent(t *testing.T) {
	const service = 10 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		u := target.New("a", bounds, home.Location{})
		u.SetRole(first)
		acquire := func(left time.Duration) (target.Slot, error) {
			ctx, cancel := context.WithTimeout(t.Context(), left)
			defer cancel()
			return u.Acquire(ctx)
		}
		for range bounds.WarmAfter {
			s, err := acquire(service / 2)
			require.NoError(t, err, "a cold upstream is warmed by any attempt")
			time.Sleep(service)
			u.Finish(s, target.Result{Signal: signal.Signal{Incarnation: "a-1", Load: -1}})
		}
		_, err := acquire(service / 2)
		var late *queue.Error
		require.ErrorAs(t, err, &late)
		s, err := acquire(2 * service)
		require.NoError(t, err)
		u.Release(s)
		time.Sleep(2 * time.Second)
		_, err = acquire(service / 2)
		require.NoError(t, err, "an old service time refuses nothing")
	})
}
