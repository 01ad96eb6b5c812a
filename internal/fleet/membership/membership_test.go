package membership

import (
	"fmt"
	"testing"
	"time"

	"crocuswing/internal/fleet/share"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
)

// newMemberships returns the memberships of n instances that know only one seed.
func newMemberships(n int) []*Membership {
	var all []*Membership
	for i := range n {
		ms := New(fmt.Sprintf("i-%d", i), fmt.Sprintf("10.0.0.%d:1", i), []string{"10.0.0.0:1"}, zap.NewNop(), func(*share.Division) {})
		all = append(all, ms)
	}
	return all
}

// gossipRound runs one round without a network: each instance that is up exchanges messages with the targets that it picks.
func gossipRound(all []*Membership, round int, now time.Time, isDown func(*Membership) bool) {
	for _, ms := range all {
		if isDown(ms) {
			continue
		}
		ms.beginRound(now)
		for i, to := range ms.pickTargets(round) {
			for _, other := range all {
				if other.self.Address == to && !isDown(other) {
					exchange(ms, other, round, i, now)
				}
			}
		}
		ms.update(now)
	}
}

// exchange plays one call without a network.
func exchange(ms, other *Membership, round, i int, now time.Time) {
	reply := other.reply(ms.request(ms.wantsAll(round, i), now), now)
	ms.merge(reply, now)
	ms.learn(reply, now)
	ms.update(now)
	other.update(now)
}

func noneDown(*Membership) bool { return false }

// TestSize checks that all instances are discovered through one seed, stay counted while they run, and are dropped when they end.
func TestSize(t *testing.T) {
	for _, n := range []int{1, 4, 33, 100} {
		all := newMemberships(n)
		now := time.Now()
		for round := range 60 {
			now = now.Add(gossipInterval)
			gossipRound(all, round, now, noneDown)
		}
		for round := range 60 {
			now = now.Add(gossipInterval)
			gossipRound(all, round, now, noneDown)
			for _, ms := range all {
				require.Equal(t, n, ms.Size(), "a running instance was dropped")
			}
		}
		last := all[n-1]
		for round := range 100 {
			now = now.Add(gossipInterval)
			gossipRound(all, round, now, func(ms *Membership) bool { return n > 1 && ms == last })
		}
		for _, ms := range all[:max(1, n-1)] {
			require.Equal(t, max(1, n-1), ms.Size())
		}
	}
}

// TestRestart checks that a restarted instance is counted once, even if an entry of its former process arrives later.
func TestRestart(t *testing.T) {
	all := newMemberships(2)
	now := time.Now()
	for round := range 5 {
		now = now.Add(gossipInterval)
		gossipRound(all, round, now, noneDown)
	}
	oldMessage := all[1].request(false, now)
	restarted := New("i-1", "10.0.0.1:1", []string{"10.0.0.0:1"}, zap.NewNop(), func(*share.Division) {})
	restarted.self.Incarnation = all[1].self.Incarnation + 1
	all[1] = restarted
	gossipRound(all, 0, now, noneDown)
	all[0].merge(oldMessage, now)
	require.Equal(t, 2, all[0].Size())
	require.Equal(t, restarted.self.Incarnation, all[0].Members()[0].Incarnation)
}

// TestSizeChange checks that each new number of instances is reported once, from when the fleet is known.
func TestSizeChange(t *testing.T) {
	var sizes []int
	ms := New("a", "10.0.0.9:1", nil, zap.NewNop(), func(d *share.Division) { sizes = append(sizes, d.Instances()) })
	now := time.Now()
	ms.beginRound(now)
	ms.merge(Message{Members: []Member{{Name: "b", Address: "x", Incarnation: 1, Heartbeat: 1}, {Name: "a", Incarnation: 9}}}, now)
	ms.update(now)
	require.Empty(t, sizes)
	now = now.Add(quietTime)
	ms.update(now)
	ms.update(now)
	ms.update(now.Add(time.Hour))
	require.Equal(t, []int{2, 1}, sizes)
}

// TestMessageIsBounded checks that a message stays small when there are many instances.
func TestMessageIsBounded(t *testing.T) {
	ms := newMemberships(1)[0]
	for i := range 2800 {
		ms.merge(Message{Members: []Member{{Name: fmt.Sprint("m", i), Address: fmt.Sprint("a", i), Incarnation: 1}}}, time.Now())
	}
	require.Len(t, ms.request(false, time.Now()).Members, maxMembers+1)
}

// TestClockJumpsBack restarts an instance with an earlier wall-clock time than its former process. The restarted instance has
// to stay counted although its first incarnation is lower.
func TestClockJumpsBack(t *testing.T) {
	all := newMemberships(4)
	now := time.Now()
	for round := range 30 {
		now = now.Add(gossipInterval)
		gossipRound(all, round, now, noneDown)
	}
	former := all[3].self
	all[3] = New(former.Name, former.Address, []string{"10.0.0.0:1"}, zap.NewNop(), func(*share.Division) {})
	all[3].self.Incarnation = former.Incarnation - time.Minute.Nanoseconds()
	for round := range 200 {
		now = now.Add(gossipInterval)
		gossipRound(all, round, now, noneDown)
		for _, ms := range all[:3] {
			require.Equal(t, 4, ms.Size())
		}
	}
}

// FuzzHandle checks that no message ends the process, or makes an instance that has just started take shares.
func FuzzHandle(f *testing.F) {
	for _, m := range []any{Message{Members: []Member{{Name: "b", Address: "x", Incarnation: 1}}, WantAll: true, Known: true, Size: -1, Counted: true}, map[string]any{"m": "x"}} {
		body, err := msgpack.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Add([]byte("\x81\xa1m\xdd\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, body []byte) {
		ms := New("a", "10.0.0.9:1", []string{"10.0.0.8:1"}, zap.NewNop(), func(*share.Division) { t.Error("the fleet is not known") })
		ms.beginRound(time.Now())
		_, _ = ms.Handle(t.Context(), body)
	})
}
