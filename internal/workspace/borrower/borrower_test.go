package borrower

import (
	"testing"
	"time"

	"crocuswing/internal/workspace/quota"
	"crocuswing/internal/workspace/roster"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	plan  = quota.Plan{Window: 5 * time.Second, Lenders: 2, Rate: 5, Capacity: 3, Life: time.Second, Reserve: 2}
	one   = roster.Member{Name: "one", Address: "1"}
	two   = roster.Member{Name: "two", Address: "2"}
	fleet = Fleet{Lenders: []roster.Member{one, two}, Reserve: 2}
)

// TestOrder checks that a loan is used before the reserve, that each lender is asked in turn, and that a request is refused when all have
// refused, until one of them expects a permission.
func TestOrder(t *testing.T) {
	b, now := New(), time.Now()
	b.Granted(now, one, 1, plan.Life)
	require.Equal(t, Run, b.Decide(now, plan, fleet, 0).Action)
	require.Equal(t, Run, b.Decide(now, plan, fleet, 0).Action, "reserve")
	require.Equal(t, Run, b.Decide(now, plan, fleet, 0).Action, "reserve")
	d := b.Decide(now, plan, fleet, 3)
	require.Equal(t, Ask, d.Action)
	require.Equal(t, one, d.Lender)
	require.GreaterOrEqual(t, d.Want, 4, "for those that wait too")
	b.Denied(now, one, 200*time.Millisecond)
	require.Equal(t, two, b.Decide(now, plan, fleet, 0).Lender)
	b.Failed(now, two)
	d = b.Decide(now, plan, fleet, 0)
	require.Equal(t, Refuse, d.Action)
	require.Equal(t, 200*time.Millisecond, d.RetryAfter)
	require.False(t, d.IsLenderLost)
	require.Equal(t, 300*time.Millisecond, b.Decide(now, plan, fleet, 0).RetryAfter, "after the one before")
	now = now.Add(200 * time.Millisecond)
	require.Equal(t, one, b.Decide(now, plan, fleet, 0).Lender)
	b.Failed(now, one)
	require.True(t, b.Decide(now, plan, fleet, 0).IsLenderLost)
}

// TestDenialWithoutWait checks that a lender that refuses and expects a permission at once is not asked again at the same time.
func TestDenialWithoutWait(t *testing.T) {
	b, now := New(), time.Now()
	f := Fleet{Lenders: []roster.Member{one}}
	require.Equal(t, Ask, b.Decide(now, plan, f, 0).Action)
	b.Denied(now, one, 0)
	require.Equal(t, Refuse, b.Decide(now, plan, f, 0).Action)
	require.Equal(t, Ask, b.Decide(now.Add(minDenial), plan, f, 0).Action)
}

// TestLoanEnds checks that a loan ends by either clock, counted from when it was asked for, and that it cannot be given back later.
func TestLoanEnds(t *testing.T) {
	now := time.Now()
	for name, later := range map[string]time.Time{"both": now.Add(plan.Life), "wall": now.Round(0).Add(plan.Life)} {
		b := New()
		b.Granted(now, one, 2, plan.Life)
		d := b.Decide(now, plan, Fleet{}, 0)
		require.Equal(t, Run, d.Action)
		b.Return(now, d.Permit)
		require.Equal(t, Run, b.Decide(now, plan, Fleet{}, 0).Action, "given back")
		b.Return(later, d.Permit)
		require.Equal(t, Refuse, b.Decide(later, plan, Fleet{}, 0).Action, name)
	}
}

// TestReserveInAnyWindow checks that no window has more events than the limit, and that the reserve is available again after it.
func TestReserveInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 5).Draw(t, "limit")
		var w window
		var taken []time.Time
		now := time.Now()
		for _, gap := range rapid.SliceOfN(rapid.IntRange(0, 3000), 1, 60).Draw(t, "gaps") {
			now = now.Add(time.Duration(gap) * time.Millisecond)
			if w.take(now, plan.Window, limit) {
				taken = append(taken, now)
			}
		}
		for i := range taken {
			n := 0
			for _, at := range taken[i:] {
				if at.Sub(taken[i]) < plan.Window {
					n++
				}
			}
			require.LessOrEqual(t, n, limit)
		}
		require.Equal(t, limit > 0, w.take(now.Add(2*plan.Window), plan.Window, limit))
	})
}
