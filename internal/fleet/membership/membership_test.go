package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// fleet gives n censuses that know only one seed.
func fleet(n int) []*Membership {
	var all []*Membership
	for i := range n {
		c := New(fmt.Sprintf("i-%d", i), fmt.Sprintf("10.0.0.%d:1", i), []string{"10.0.0.0:1"}, zap.NewNop(), func(int) {})
		all = append(all, c)
	}
	return all
}

// exchange plays one round without a network: each membership calls those that it chooses.
func exchange(all []*Membership, round int, now time.Time, isDown func(*Membership) bool) {
	for _, c := range all {
		if isDown(c) {
			continue
		}
		for _, to := range c.choose(round) {
			for _, other := range all {
				if other.self.Address == to && !isDown(other) {
					other.learn(c.news(), now)
					c.learn(other.news(), now)
				}
			}
		}
		c.count(now)
	}
}

func none(*Membership) bool { return false }

// TestCount finds all instances through one seed, keeps the count while all run, and drops the ones that end.
func TestCount(t *testing.T) {
	for _, n := range []int{1, 4, 33, 100} {
		all := fleet(n)
		now := time.Now()
		for round := range 60 {
			now = now.Add(every)
			exchange(all, round, now, none)
		}
		for round := range 60 {
			now = now.Add(every)
			exchange(all, round, now, none)
			for _, c := range all {
				require.Equal(t, n, c.Size(), "no instance that runs is dropped")
			}
		}
		last := all[n-1]
		for round := range 100 {
			now = now.Add(every)
			exchange(all, round, now, func(c *Membership) bool { return n > 1 && c == last })
		}
		for _, c := range all[:max(1, n-1)] {
			require.Equal(t, max(1, n-1), c.Size())
		}
	}
}

// TestRestart counts an instance once that starts again, also while old news of it are under way.
func TestRestart(t *testing.T) {
	all := fleet(2)
	now := time.Now()
	for round := range 5 {
		now = now.Add(every)
		exchange(all, round, now, none)
	}
	old := all[1].news()
	again := New("i-1", "10.0.0.1:1", []string{"10.0.0.0:1"}, zap.NewNop(), func(int) {})
	again.self.Incarnation = all[1].self.Incarnation + 1
	all[1] = again
	exchange(all, 0, now, none)
	all[0].learn(old, now)
	require.Equal(t, 2, all[0].Size())
	require.Equal(t, again.self.Incarnation, all[0].Members()[0].Incarnation)
}

// TestChanged tells each new count once.
func TestChanged(t *testing.T) {
	var told []int
	c := New("a", "10.0.0.9:1", nil, zap.NewNop(), func(n int) { told = append(told, n) })
	now := time.Now()
	c.learn(Message{Members: []Member{{Name: "b", Address: "x", Incarnation: 1, Heartbeat: 1}, {Name: "a", Incarnation: 9}}}, now)
	c.count(now)
	c.count(now)
	c.count(now.Add(time.Hour))
	require.Equal(t, []int{2, 1}, told)
}

// TestMessageIsBounded keeps a message small in a large fleet.
func TestMessageIsBounded(t *testing.T) {
	c := fleet(1)[0]
	for i := range 2800 {
		c.learn(Message{Members: []Member{{Name: fmt.Sprint("m", i), Address: fmt.Sprint("a", i), Incarnation: 1}}}, time.Now())
	}
	require.Len(t, c.news().Members, maxNews+1)
}

// TestTimeOfDayJumpsBack starts an instance again at an earlier time of day than its former process: it is still counted.
func TestTimeOfDayJumpsBack(t *testing.T) {
	all := fleet(4)
	now := time.Now()
	for round := range 30 {
		now = now.Add(every)
		exchange(all, round, now, none)
	}
	former := all[3].self
	all[3] = New(former.Name, former.Address, []string{"10.0.0.0:1"}, zap.NewNop(), func(int) {})
	all[3].self.Incarnation = former.Incarnation - time.Minute.Nanoseconds()
	for round := range 200 {
		now = now.Add(every)
		exchange(all, round, now, none)
		for _, c := range all[:3] {
			require.Equal(t, 4, c.Size())
		}
	}
}
