package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func members(n int) []Member {
	var all []Member
	for i := range n {
		all = append(all, Member{Name: fmt.Sprint("i-", i), Address: fmt.Sprint(i)})
	}
	return all
}

// settled returns the roster of instance self of n, which all know each other since a while.
func settled(self, n int, now time.Time) *Roster {
	all := members(n)
	r := New(all[self].Name, now)
	r.Update(now, append(all[:self:self], all[self+1:]...))
	for range 10 {
		now = now.Add(time.Second)
		r.Update(now, append(all[:self:self], all[self+1:]...))
	}
	r.Establish(now)
	return r
}

// TestAgreement checks that instances with the same view agree on the lenders, and that the parts of a reserve sum to the reserve.
func TestAgreement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "instances")
		k := rapid.IntRange(1, 5).Draw(t, "lenders")
		total := rapid.IntRange(0, 100).Draw(t, "reserve")
		ws := rapid.Uint64().Draw(t, "workspace")
		now := time.Now()
		lenders, sum := 0, 0
		var first []Member
		for i := range n {
			r := settled(i, n, now)
			if _, ok := r.LendingSince(ws, k); ok {
				lenders++
			}
			sum += r.Reserve(ws, total)
			asked := r.Lenders(ws, k)
			if i == 0 {
				first = asked
			}
			require.ElementsMatch(t, names(first), names(asked))
		}
		require.Equal(t, min(n, k), lenders)
		require.Equal(t, total, sum)
	})
}

func names(all []Member) []string {
	var out []string
	for _, m := range all {
		out = append(out, m.Name)
	}
	return out
}

// TestHandover checks that an instance stops lending at once when one that precedes it appears, and begins only a while after one is gone.
func TestHandover(t *testing.T) {
	now := time.Now()
	ws := Hash("w")
	all := members(3)
	others := all[1:]
	r := New(all[0].Name, now)
	for ; !r.IsSettled(); now = now.Add(300 * time.Millisecond) {
		r.Update(now, nil)
	}
	r.Establish(now)
	_, ok := r.LendingSince(ws, 1)
	require.True(t, ok, "alone")
	preceding := Member{}
	for i := 0; preceding.Name == ""; i++ {
		e := entry{Member: Member{Name: fmt.Sprint("p-", i)}}
		e.hash = Hash(e.Name)
		if e.precedes(&r.self, ws) {
			preceding = e.Member
		}
	}
	r.Heard(now, preceding)
	_, ok = r.LendingSince(ws, 1)
	require.False(t, ok, "another one precedes it")
	require.InDelta(t, 0.5, r.Share(now), 0, "the new one does not count yet")
	r.Update(now.Add(time.Second), others)
	for range 40 {
		now = now.Add(time.Second)
		r.Update(now, others)
	}
	since, ok := r.LendingSince(ws, 3)
	require.True(t, ok)
	require.False(t, since.After(now), "it was among three all the time")
	_, isGone := r.others[preceding.Name]
	require.True(t, isGone, "remembered")
	require.InDelta(t, 0.75, r.Share(now), 0.0001)
	for range int(memory/time.Second) + 1 {
		now = now.Add(time.Second)
		r.Update(now, others)
	}
	require.InDelta(t, 1, r.Share(now), 0)
}

// TestAlone checks that an instance that reaches nobody counts as the whole fleet only if no others are expected.
func TestAlone(t *testing.T) {
	for _, expects := range []bool{false, true} {
		now := time.Now()
		r := New("i-0", now)
		if expects {
			r.ExpectOthers()
		}
		for range 20 {
			now = now.Add(time.Second)
			r.Update(now, nil)
		}
		require.Equal(t, !expects, r.IsSettled())
	}
}

// TestGainedSlot checks that the place of an instance that is gone is taken Handover after it was missed.
func TestGainedSlot(t *testing.T) {
	start := time.Now()
	ws := Hash("w")
	for self := range 2 {
		r := settled(self, 2, start)
		now := start.Add(10 * time.Second)
		if _, ok := r.LendingSince(ws, 1); ok {
			continue
		}
		gone := now.Add(time.Second)
		r.Update(gone, nil)
		since, ok := r.LendingSince(ws, 1)
		require.True(t, ok)
		require.Equal(t, gone.Add(Handover), since)
		require.InDelta(t, 0.5, r.Share(gone), 0, "the other one may be cut off")
		return
	}
	t.Fatal("both are the lender")
}

// TestSuspension checks that a suspended instance knows no fleet, by either clock.
func TestSuspension(t *testing.T) {
	now := time.Now()
	for name, later := range map[string]time.Time{"both": now.Add(10*time.Second + maxGap + 1), "wall": now.Round(0).Add(10*time.Second + maxGap + 1)} {
		r := settled(0, 3, now)
		require.False(t, r.CheckSuspension(now.Add(10*time.Second+maxGap)))
		require.True(t, r.CheckSuspension(later), name)
		require.False(t, r.IsSettled())
		require.False(t, r.IsEstablished())
		require.Zero(t, r.Reserve(1, 100))
		_, ok := r.LendingSince(1, 3)
		require.False(t, ok)
	}
}

func BenchmarkLenders(b *testing.B) {
	for _, n := range []int{32, 300, 2800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := settled(0, n, time.Now())
			for i := 0; b.Loop(); i++ {
				r.Lenders(uint64(i), 5)
			}
		})
	}
}
