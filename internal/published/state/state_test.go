package state

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/published/change"
	"crocuswing/internal/published/registration"
	"crocuswing/internal/routing/limits"
	"crocuswing/internal/routing/table"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const lapse = 2 * time.Second

func report(name string, incarnation, sequence int64, leaving bool) change.Change {
	r := &registration.Registration{Upstream: name, Service: "s", Address: "a", Incarnation: incarnation, Sequence: sequence, Draining: leaving}
	value := fmt.Sprint(incarnation, sequence, leaving)
	return change.Change{Item: change.Item{Key: "u/" + name, Value: []byte(value)}, Kind: change.KindUpstream, Name: name, Registration: r}
}

func removal(name string) change.Change {
	return change.Change{Item: change.Item{Key: "u/" + name, Removed: true}, Kind: change.KindUpstream, Name: name}
}

func configuration(revision int64) change.Change {
	return change.Change{Item: change.Item{Key: "config", Value: []byte(fmt.Sprint(revision))}, Kind: change.KindTable, Table: table.New(revision, nil, nil, limits.Limits{})}
}

func domain(name string, removed bool) change.Change {
	return change.Change{Item: change.Item{Key: "d/" + name, Removed: removed}, Kind: change.KindDomain, Name: name}
}

func batch(revision int64, changes ...change.Change) change.Batch {
	return change.Batch{Revision: revision, Changes: changes}
}

func TestReports(t *testing.T) {
	now := time.Now()
	b := New(lapse)
	v, refused := b.Apply(batch(1, report("u", 5, 2, false)), now)
	require.Empty(t, refused)
	require.Equal(t, []string{"u"}, v.Changed)
	v, _ = b.Apply(batch(2, report("u", 5, 3, false)), now)
	require.Empty(t, v.Changed, "a heartbeat is no news")
	v, _ = b.Apply(batch(3, report("u", 5, 4, true)), now)
	require.True(t, v.Upstreams["u"].Draining)
	_, refused = b.Apply(batch(4, report("u", 5, 3, false)), now)
	require.Len(t, refused, 1, "a delayed report")
	require.True(t, b.View().Upstreams["u"].Draining)
	v, _ = b.Apply(batch(5, report("u", 6, 1, false)), now)
	require.False(t, v.Upstreams["u"].Draining, "a new start begins anew")
	v, _ = b.Apply(batch(6, removal("u")), now)
	require.NotContains(t, v.Upstreams, "u")
	_, refused = b.Apply(batch(7, report("u", 5, 9, false)), now)
	require.Len(t, refused, 1, "a report from before the removal")
	require.NotContains(t, b.View().Upstreams, "u")
}

func TestUnusableReport(t *testing.T) {
	b := New(lapse)
	b.Apply(batch(1, report("u", 1, 1, false), report("w", 1, 1, false)), time.Now())
	bad := removal("u")
	bad.Removed, bad.Err = false, fmt.Errorf("no service")
	v, refused := b.Apply(batch(2, bad), time.Now())
	require.Len(t, refused, 1)
	require.NotContains(t, v.Upstreams, "u")
	require.Contains(t, v.Upstreams, "w")
}

func TestRevisionNeverReverts(t *testing.T) {
	b := New(lapse)
	b.Apply(batch(1, configuration(7)), time.Now())
	_, refused := b.Apply(batch(2, configuration(6)), time.Now())
	require.Len(t, refused, 1)
	require.EqualValues(t, 7, b.View().Table.Revision())
	b.Apply(change.Batch{Full: true, Revision: 3}, time.Now())
	require.EqualValues(t, 7, b.View().Table.Revision(), "nor does it go")
	_, refused = b.Apply(batch(4, configuration(9)), time.Now())
	require.Empty(t, refused)
	require.EqualValues(t, 9, b.View().Table.Revision())
}

// TestLapse keeps upstreams that the store forgot while it was away, as long as they may register again.
func TestLapse(t *testing.T) {
	now := time.Now()
	b := New(lapse)
	b.Apply(batch(1, report("back", 1, 1, false), report("gone", 1, 1, false), report("leaving", 1, 1, true)), now)
	b.StoreRecovered(now)
	v, _ := b.Apply(change.Batch{Full: true, Revision: 5}, now)
	require.Contains(t, v.Upstreams, "back")
	require.Contains(t, v.Upstreams, "gone")
	require.NotContains(t, v.Upstreams, "leaving")
	b.Apply(batch(6, report("back", 1, 2, false)), now.Add(lapse/2))
	require.Nil(t, b.RemoveExpired(now.Add(lapse-1)))
	v = b.RemoveExpired(now.Add(lapse))
	require.Contains(t, v.Upstreams, "back")
	require.NotContains(t, v.Upstreams, "gone")
	v, _ = b.Apply(batch(7, removal("back")), now.Add(2*lapse))
	require.NotContains(t, v.Upstreams, "back", "later a removal counts at once")
}

func TestDomains(t *testing.T) {
	b := New(lapse)
	v, _ := b.Apply(batch(1, domain("a", false), domain("b", false)), time.Now())
	require.Len(t, v.ExcludedDomains, 2)
	v, _ = b.Apply(batch(2, domain("a", true)), time.Now())
	require.Equal(t, map[string]bool{"b": true}, v.ExcludedDomains)
	v, _ = b.Apply(change.Batch{Full: true, Revision: 3}, time.Now())
	require.Empty(t, v.ExcludedDomains)
}

func TestAwait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(lapse)
		b.Apply(batch(1, report("u", 1, 1, false)), time.Now())
		go func() {
			time.Sleep(time.Second)
			b.Apply(batch(2, report("u", 1, 2, false)), time.Now()) // no news
			time.Sleep(time.Second)
			b.Apply(batch(3, removal("u")), time.Now())
		}()
		start := time.Now()
		n := b.Await(t.Context(), 1)
		require.Equal(t, 2*time.Second, time.Since(start))
		require.Equal(t, []change.Item{{Key: "u/u", Removed: true}}, n.Items)
		require.EqualValues(t, 3, n.Revision)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.Empty(t, b.Await(ctx, 3).Items)
	})
}

// TestChain passes random histories on from state to state, with batches lost in between, and expects the last one to know
// what the first one knows, and no revision ever to revert on the way.
func TestChain(t *testing.T) {
	names := rapid.SampledFrom([]string{"u", "v", "w"})
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		first, last := New(lapse), New(lapse)
		items := make(map[string]change.Change)
		sequence := make(map[string]int64)
		pass := func() {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			n := first.Await(ctx, last.View().Revision)
			got := change.Batch{Full: n.Full, Revision: n.Revision}
			for _, i := range n.Items {
				c := items[i.Key+string(i.Value)]
				c.Item = i
				got.Changes = append(got.Changes, c)
			}
			before := last.View()
			last.Apply(got, now)
			if before.Table != nil {
				require.GreaterOrEqual(t, last.View().Table.Revision(), before.Table.Revision())
			}
		}
		for revision := int64(1); revision <= 40; revision++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
			var c change.Change
			name := names.Draw(t, "name")
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				c = removal(name)
			case 1:
				c = configuration(revision)
			case 2:
				c = domain(name, rapid.Bool().Draw(t, "back"))
			default:
				sequence[name]++
				c = report(name, 1, sequence[name], rapid.Bool().Draw(t, "leaving"))
			}
			items[c.Key+string(c.Value)] = c
			first.Apply(batch(revision, c), now)
			if rapid.IntRange(0, 3).Draw(t, "pass") == 0 {
				pass()
			}
		}
		pass()
		a, z := first.View(), last.View()
		require.Equal(t, a.ExcludedDomains, z.ExcludedDomains)
		require.Equal(t, a.Table, z.Table)
		require.Equal(t, len(a.Upstreams), len(z.Upstreams))
		for name, r := range a.Upstreams {
			require.Equal(t, r.Draining, z.Upstreams[name].Draining)
		}
	})
}
