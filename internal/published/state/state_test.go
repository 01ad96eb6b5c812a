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

const testGracePeriod = 2 * time.Second

func report(name string, incarnation, sequence int64, draining bool) change.Change {
	r := &registration.Registration{Upstream: name, Service: "s", Address: "a", Incarnation: incarnation, Sequence: sequence, Draining: draining}
	value := fmt.Sprint(incarnation, sequence, draining)
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

// at returns a position in the first era.
func at(revision int64) change.Position { return change.Position{Era: 1, Revision: revision} }

func batch(revision int64, changes ...change.Change) change.Batch {
	return change.Batch{Position: at(revision), Changes: changes}
}

func TestReports(t *testing.T) {
	now := time.Now()
	s := New(testGracePeriod)
	v, rejected := s.Apply(batch(1, report("u", 5, 2, false)), now)
	require.Empty(t, rejected)
	require.Equal(t, []string{"u"}, v.Changed)
	v, _ = s.Apply(batch(2, report("u", 5, 3, false)), now)
	require.Empty(t, v.Changed, "a heartbeat does not change the view")
	v, _ = s.Apply(batch(3, report("u", 5, 4, true)), now)
	require.True(t, v.Upstreams["u"].Draining)
	_, rejected = s.Apply(batch(4, report("u", 5, 3, false)), now)
	require.Len(t, rejected, 1, "a delayed report is rejected")
	require.True(t, s.View().Upstreams["u"].Draining)
	v, _ = s.Apply(batch(5, report("u", 6, 1, false)), now)
	require.False(t, v.Upstreams["u"].Draining, "a new incarnation is not draining")
	v, _ = s.Apply(batch(6, removal("u")), now)
	require.NotContains(t, v.Upstreams, "u")
	_, rejected = s.Apply(batch(7, report("u", 5, 9, false)), now)
	require.Len(t, rejected, 1, "a report older than the removal is rejected")
	require.NotContains(t, s.View().Upstreams, "u")
}

func TestUnusableReport(t *testing.T) {
	s := New(testGracePeriod)
	s.Apply(batch(1, report("u", 1, 1, false), report("w", 1, 1, false)), time.Now())
	bad := removal("u")
	bad.Removed, bad.Err = false, fmt.Errorf("no service")
	v, rejected := s.Apply(batch(2, bad), time.Now())
	require.Len(t, rejected, 1)
	require.NotContains(t, v.Upstreams, "u")
	require.Contains(t, v.Upstreams, "w")
}

func TestRevisionNeverReverts(t *testing.T) {
	s := New(testGracePeriod)
	s.Apply(batch(1, configuration(7)), time.Now())
	_, rejected := s.Apply(batch(2, configuration(6)), time.Now())
	require.Len(t, rejected, 1)
	require.EqualValues(t, 7, s.View().Table.Revision())
	s.Apply(change.Batch{Full: true, Position: at(3)}, time.Now())
	require.EqualValues(t, 7, s.View().Table.Revision(), "a full batch does not remove the table")
	_, rejected = s.Apply(batch(4, configuration(9)), time.Now())
	require.Empty(t, rejected)
	require.EqualValues(t, 9, s.View().Table.Revision())
}

// TestGracePeriod checks that upstreams missing from the store after an outage are kept until the grace period ends, except
// draining ones.
func TestGracePeriod(t *testing.T) {
	now := time.Now()
	s := New(testGracePeriod)
	s.Apply(batch(1, report("back", 1, 1, false), report("gone", 1, 1, false), report("leaving", 1, 1, true)), now)
	s.StartGracePeriod(now)
	v, _ := s.Apply(change.Batch{Full: true, Position: at(5)}, now)
	require.Contains(t, v.Upstreams, "back")
	require.Contains(t, v.Upstreams, "gone")
	require.NotContains(t, v.Upstreams, "leaving")
	s.Apply(batch(6, report("back", 1, 2, false)), now.Add(testGracePeriod/2))
	require.Nil(t, s.RemoveExpired(now.Add(testGracePeriod-1)))
	v = s.RemoveExpired(now.Add(testGracePeriod))
	require.Contains(t, v.Upstreams, "back")
	require.NotContains(t, v.Upstreams, "gone")
	v, _ = s.Apply(batch(7, removal("back")), now.Add(2*testGracePeriod))
	require.NotContains(t, v.Upstreams, "back", "after the grace period a removal takes effect at once")
}

func TestDomains(t *testing.T) {
	s := New(testGracePeriod)
	v, _ := s.Apply(batch(1, domain("a", false), domain("b", false)), time.Now())
	require.Len(t, v.ExcludedDomains, 2)
	v, _ = s.Apply(batch(2, domain("a", true)), time.Now())
	require.Equal(t, map[string]bool{"b": true}, v.ExcludedDomains)
	v, _ = s.Apply(change.Batch{Full: true, Position: at(3)}, time.Now())
	require.Empty(t, v.ExcludedDomains)
}

func TestAwait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(testGracePeriod)
		s.Apply(batch(1, report("u", 1, 1, false)), time.Now())
		go func() {
			time.Sleep(time.Second)
			s.Apply(batch(2, report("u", 1, 2, false)), time.Now()) // heartbeat without a change
			time.Sleep(time.Second)
			s.Apply(batch(3, removal("u")), time.Now())
		}()
		start := time.Now()
		u := s.Await(t.Context(), at(1))
		require.Equal(t, 2*time.Second, time.Since(start))
		require.Equal(t, []change.Item{{Key: "u/u", Removed: true}}, u.Items)
		require.EqualValues(t, 3, u.Revision)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.Empty(t, s.Await(ctx, at(3)).Items)
	})
}

// TestRelayedHistory relays random histories from one State to another, skipping updates in between. The second State must end up
// with the content of the first, and its configuration revision must never decrease.
func TestRelayedHistory(t *testing.T) {
	names := rapid.SampledFrom([]string{"u", "v", "w"})
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		first, last := New(testGracePeriod), New(testGracePeriod)
		items := make(map[string]change.Change)
		sequence := make(map[string]int64)
		relay := func() {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			u := first.Await(ctx, last.View().Position)
			got := change.Batch{Full: u.Full, Position: u.Position}
			for _, i := range u.Items {
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
				relay()
			}
		}
		relay()
		a, b := first.View(), last.View()
		require.Equal(t, a.ExcludedDomains, b.ExcludedDomains)
		require.Equal(t, a.Table, b.Table)
		require.Equal(t, len(a.Upstreams), len(b.Upstreams))
		for name, r := range a.Upstreams {
			require.Equal(t, r.Draining, b.Upstreams[name].Draining)
		}
	})
}

// update returns what an instance with the state of an earlier revision gets.
func update(s *State, revision int64) Update {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return s.Await(ctx, at(revision))
}

// relayed returns the batch of an update. changes are those that have been written so far.
func relayed(u Update, changes ...change.Change) change.Batch {
	b := change.Batch{Full: u.Full, Position: u.Position, Relayed: true}
	for _, i := range u.Items {
		for _, c := range changes {
			if c.Key == i.Key && string(c.Value) == string(i.Value) && c.Removed == i.Removed {
				b.Changes = append(b.Changes, c)
			}
		}
	}
	return b
}

// TestSourceThatMissedItems guards against an upstream that stays in use after it has left, or stays out of use after its return: an instance
// that has read the store at a revision between two reads of another one gets its changes from that one, which has never seen the
// upstream, or its removal.
func TestSourceThatMissedItems(t *testing.T) {
	now := time.Now()
	known, short := report("known", 1, 1, false), report("short", 1, 1, false)
	again := report("known", 1, 2, false)

	s, source := New(testGracePeriod), New(testGracePeriod)
	s.Apply(batch(5, known, short), now)
	source.Apply(batch(4, known), now)
	source.Apply(batch(6, removal("short")), now)
	v, _ := s.Apply(relayed(update(source, 5), known, short, removal("short")), now)
	require.NotContains(t, v.Upstreams, "short")
	require.Contains(t, v.Upstreams, "known")

	s, source = New(testGracePeriod), New(testGracePeriod)
	s.Apply(batch(4, known), now)
	s.Apply(batch(5, removal("known")), now)
	source.Apply(batch(4, known), now)
	source.Apply(batch(6, again), now)
	v, rejected := s.Apply(relayed(update(source, 5), known, again), now)
	require.Empty(t, rejected)
	require.Contains(t, v.Upstreams, "known")

	// The source reads from a third instance, which has not relayed reports without a material change.
	s, source = New(testGracePeriod), New(testGracePeriod)
	s.Apply(batch(4, known, report("known", 1, 3, false)), now)
	s.Apply(batch(5, removal("known")), now)
	source.Apply(batch(4, known), now)
	source.Apply(batch(6), now)
	v, rejected = s.Apply(relayed(update(source, 5), known), now)
	require.Empty(t, rejected)
	require.Contains(t, v.Upstreams, "known")

	s, source = New(testGracePeriod), New(testGracePeriod)
	s.Apply(batch(5, domain("a", false)), now)
	source.Apply(batch(4), now)
	source.Apply(batch(6, domain("a", true)), now)
	v, _ = s.Apply(relayed(update(source, 5)), now)
	require.Empty(t, v.ExcludedDomains)
}

// TestChangesSinceBoundary checks that an instance gets the changes alone if the other one has read the store at the same revision, for as
// long as removals are kept, and everything otherwise.
func TestChangesSinceBoundary(t *testing.T) {
	now := time.Now()
	s := New(testGracePeriod)
	s.Apply(batch(3, report("u", 1, 1, false), report("v", 1, 1, false)), now)
	s.Apply(batch(5, removal("v")), now.Add(time.Hour))
	require.False(t, update(s, 3).Full)
	require.Equal(t, []change.Item{removal("v").Item}, update(s, 3).Items)
	for _, revision := range []int64{0, 2, 4} {
		require.True(t, update(s, revision).Full)
		require.Len(t, update(s, revision).Items, 1)
	}
	require.False(t, update(s, 5).Full)
	require.False(t, update(s, 6).Full, "the other instance is ahead")
	s.Apply(batch(7, report("w", 1, 1, false)), now.Add(time.Hour+removalRetention))
	require.False(t, update(s, 3).Full)
	s.Apply(batch(8, report("x", 1, 1, false)), now.Add(time.Hour+removalRetention+time.Second))
	require.True(t, update(s, 3).Full, "the removal may be forgotten")
	require.False(t, update(s, 5).Full)
}

// TestReturnInGracePeriod guards against an upstream that other instances miss after an outage: its removal was passed on, and the same
// report, which a full read listed again, was not.
func TestReturnInGracePeriod(t *testing.T) {
	now := time.Now()
	s := New(testGracePeriod)
	u := report("u", 1, 1, false)
	s.Apply(batch(1, u), now)
	s.StartGracePeriod(now)
	s.Apply(batch(2, removal("u")), now)
	require.Equal(t, []change.Item{removal("u").Item}, update(s, 1).Items)
	s.Apply(change.Batch{Full: true, Position: at(3), Changes: []change.Change{u}}, now)
	require.Equal(t, []change.Item{u.Item}, update(s, 2).Items)
}

// TestFullUpdateHasNewestReports checks that a full update holds the newest report of an upstream, also if it has no material change: an
// instance that has just started would otherwise take a cold time from its beginning.
func TestFullUpdateHasNewestReports(t *testing.T) {
	now := time.Now()
	s := New(testGracePeriod)
	newest := report("u", 1, 2, false)
	s.Apply(batch(1, report("u", 1, 1, false)), now)
	s.Apply(batch(2, newest), now)
	require.Empty(t, update(s, 1).Items)
	require.Equal(t, []change.Item{newest.Item}, update(s, 0).Items)
}

// TestSecondColdTime guards against a flood of a cold upstream: an instance that learns of a second cold time through another one took it
// for the first, because the reports in between, in which the remaining time falls to 0, are not relayed.
func TestSecondColdTime(t *testing.T) {
	cold := func(sequence int64, d time.Duration) change.Change {
		c := report("u", 1, sequence, false)
		c.Registration.Cold = d
		c.Value = []byte(fmt.Sprint(sequence))
		return c
	}
	for _, second := range []time.Duration{time.Second, 3 * time.Second, 5 * time.Second} {
		now := time.Now()
		reader, child, grandchild := New(testGracePeriod), New(testGracePeriod), New(testGracePeriod)
		reports := []change.Change{cold(1, 3*time.Second), cold(2, 1800*time.Millisecond), cold(3, 600*time.Millisecond), cold(4, 0), cold(5, second), cold(6, 0)}
		for k, c := range reports {
			reader.Apply(batch(int64(k+1), c), now)
			for _, pair := range []struct{ from, to *State }{{reader, child}, {child, grandchild}} {
				v, _ := pair.to.Apply(relayed(update(pair.from, pair.to.View().Revision), reports...), now)
				if c.Registration.Sequence == 5 {
					require.Equal(t, []string{"u"}, v.Changed, "the second cold time of %v is taken for the first", second)
					require.Equal(t, second, v.Upstreams["u"].Cold)
				}
			}
			now = now.Add(1200 * time.Millisecond)
		}
	}
}
