package follower

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/fleet/freshness"
	"crocuswing/internal/fleet/member"

	"github.com/stretchr/testify/require"
)

// inFleet runs do with eight instances in two failure domains that are all in force.
func inFleet(t *testing.T, do func(t *testing.T, r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := newRig()
		defer r.close()
		r.addListed(4, "d0", "d1")
		time.Sleep(3 * time.Second)
		require.Empty(t, r.lagging(1))
		do(t, r)
		require.Empty(t, r.reverted, "a configuration reverted")
	})
}

// requireInForce demands the revision everywhere within the limit that users set.
func requireInForce(t *testing.T, r *rig, revision uint64) {
	t.Helper()
	took := r.untilInForce(revision, inForceLimit)
	require.Empty(t, r.lagging(revision), "after %s", took)
}

// TestPlatformFaults publishes a change while the platform is at fault: meanwhile all instances go on with
// what is in force, and afterwards the change comes into force in time.
func TestPlatformFaults(t *testing.T) {
	cases := []struct {
		name string
		mode int
		want uint64 // revision in force during the fault
	}{
		{"down", modeDown, 1},
		{"stale copy", modeStale, 1},
		{"old and new copies in turn", modeFlapping, 2},
		{"half-written set", modeHalf, 1},
		{"same revision with other content", modeConflict, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inFleet(t, func(t *testing.T, r *rig) {
				r.setMode(tc.mode)
				revision := r.publish(out("d1", true))
				time.Sleep(inForceLimit)
				for range 300 { // a minute
					require.Empty(t, r.lagging(tc.want))
					time.Sleep(200 * time.Millisecond)
				}
				r.setMode(modeUp)
				requireInForce(t, r, revision)
				require.True(t, r.nodes[0].Current().Config().IsDomainExcluded("d1"))
			})
		})
	}
}

// TestRefusalsAreCounted offers a lower, an invalid and a half-written set.
func TestRefusalsAreCounted(t *testing.T) {
	inFleet(t, func(t *testing.T, r *rig) {
		r.publish(map[string]string{"in-force": `{"preset":"none"}`})
		time.Sleep(inForceLimit)
		require.Empty(t, r.lagging(1))
		for _, n := range r.nodes {
			require.Equal(t, n.IsWatcher(), n.refused.Load() > 0, "only watchers see it")
		}
		requireInForce(t, r, r.publish(map[string]string{"in-force": `{"preset":"peak"}`}))
		require.Equal(t, "peak", r.nodes[5].Current().Config().Preset().Name)
	})
}

// TestPause stops an instance for 30 s across a change, at any point of its work or with a peer's answer
// under way. Answers that waited in it meanwhile must not make its old view look fresh.
func TestPause(t *testing.T) {
	for n := range 16 {
		inFleet(t, func(t *testing.T, r *rig) {
			time.Sleep(time.Duration(n) * 137 * time.Millisecond)
			paused := r.nodes[n%8]
			if n < 8 {
				paused.pause(true)
			}
			paused.faint.Store(n >= 8)
			time.Sleep(3 * time.Second)
			revision := r.publish(out("d0", true))
			time.Sleep(30 * time.Second)
			require.Equal(t, uint64(1), paused.Current().Config().Revision())
			paused.pause(false)
			synctest.Wait() // what waited in it is taken first
			v, err := paused.Fresh(context.Background())
			require.NoError(t, err)
			require.Equal(t, revision, v.Config().Revision())
		})
	}
}

// TestAlone leaves an instance alone with a platform that cannot confirm its view.
func TestAlone(t *testing.T) {
	for _, mode := range []int{modeDown, modeStale, modeConflict} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig()
			defer r.close()
			r.addListed(1, "d0")
			r.setMode(modeFlapping) // holds the older copy back
			r.publish(out("d1", true))
			r.setMode(modeUp)
			time.Sleep(4 * time.Second)
			require.Empty(t, r.lagging(2))
			r.setMode(mode)
			time.Sleep(freshness.MaxAge + time.Second)
			require.Equal(t, ReasonUnconfirmed, r.nodes[0].NotReadyReason(), "mode %d", mode)
			require.Equal(t, uint64(2), r.nodes[0].Current().Config().Revision())
		})
	}
}

// TestHeard follows up what a frame tells of a higher revision, without waiting for the next sync.
func TestHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig()
		defer r.close()
		r.addListed(24, "d0")
		time.Sleep(4 * time.Second)
		revision := r.publish(out("d1", true))
		time.Sleep(50 * time.Millisecond)
		watchers := slices.DeleteFunc(slices.Clone(r.nodes), func(n *node) bool { return !n.IsWatcher() })
		require.Len(t, watchers, 3)
		require.Greater(t, len(r.lagging(revision)), 10)
		for i, n := range r.nodes {
			n.ObserveRevision([]string{"", watchers[0].self.Name}[i%2], revision)
		}
		time.Sleep(4 * linkLatency)
		require.Empty(t, r.lagging(revision))
	})
}

// TestCutOff cuts one instance off from platform and peers.
func TestCutOff(t *testing.T) {
	inFleet(t, func(t *testing.T, r *rig) {
		r.split(1, func(i int) bool { return i == 3 })
		cut := time.Now()
		for time.Since(cut) < 20*time.Second {
			v, err := r.nodes[3].Fresh(context.Background())
			var refused *NotFreshError
			if time.Since(cut) > freshness.MaxAge+readTimeout {
				require.ErrorAs(t, err, &refused)
				require.Equal(t, ReasonUnconfirmed, r.nodes[3].NotReadyReason())
			}
			require.True(t, err != nil || v.IsFresh(time.Now().Add(-time.Second)))
			time.Sleep(100 * time.Millisecond)
		}
		revision := r.publish(out("d1", true))
		r.split(0, func(int) bool { return true })
		requireInForce(t, r, revision)
	})
}

// TestSplit splits the fleet in two, changes the configuration on the platform's side and heals.
func TestSplit(t *testing.T) {
	for _, size := range []int{1, 2, 4} {
		inFleet(t, func(t *testing.T, r *rig) {
			r.split(1, func(i int) bool { return i < size })
			revision := r.publish(out("d1", true))
			time.Sleep(30 * time.Second)
			for i, n := range r.nodes {
				switch {
				case i >= size:
					require.Equal(t, revision, n.Current().Config().Revision())
					require.Empty(t, n.NotReadyReason())
				case size > 1: // its peers say that the platform cannot be read
					require.Equal(t, uint64(1), n.Current().Config().Revision())
					require.Empty(t, n.NotReadyReason())
				default:
					require.Equal(t, ReasonUnconfirmed, n.NotReadyReason())
				}
			}
			r.split(0, func(int) bool { return true })
			requireInForce(t, r, revision)
			time.Sleep(time.Minute)
			for _, n := range r.nodes {
				require.Empty(t, n.Current().Avoided(), n.self.Name)
			}
		})
	}
}

// TestStart starts an instance beside a running fleet, or alone.
func TestStart(t *testing.T) {
	cases := []struct {
		name   string
		mode   int
		peers  bool
		want   uint64 // revision; 0 means not ready
		reason string
	}{
		{"platform up", modeUp, true, 2, ""},
		{"platform up, no peers", modeUp, false, 2, ""},
		{"platform stale, peers newer", modeStale, true, 2, ""},
		{"platform stale, no peers", modeStale, false, 1, ""},
		{"platform flapping", modeFlapping, true, 2, ""},
		{"platform down", modeDown, true, 2, ""},
		{"platform down, no peers", modeDown, false, 0, ReasonIncomplete},
		{"platform half-written", modeHalf, true, 2, ""},
		{"platform half-written, no peers", modeHalf, false, 0, ReasonIncomplete},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig()
				defer r.close()
				if tc.peers {
					r.addListed(2, "d0", "d1")
				}
				r.setMode(modeFlapping) // holds the older copy back
				r.publish(out("d1", true))
				r.setMode(modeUp)
				time.Sleep(5 * time.Second)
				r.setMode(tc.mode)
				n := r.add("d1", "n000", "n001")
				for range 500 { // not ready with less than the newest that it can learn
					if n.NotReadyReason() == "" {
						require.Equal(t, tc.want, n.Current().Config().Revision())
					}
					time.Sleep(20 * time.Millisecond)
				}
				require.Equal(t, tc.reason, n.NotReadyReason())
			})
		})
	}
}

// TestStartBackOff bounds what an instance that cannot start reads of a platform that is down.
func TestStartBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig()
		defer r.close()
		r.setMode(modeDown)
		n := r.add("d0")
		time.Sleep(10 * time.Second)
		before := n.reads.Load()
		time.Sleep(time.Minute)
		// 2,800 instances share 2,000 reads a second.
		require.LessOrEqual(t, n.reads.Load()-before, int64(60*2000/2800))
		r.setMode(modeUp)
		time.Sleep(2 * startMostWait)
		require.Empty(t, r.lagging(1))
	})
}

// TestWatchersSilent stops every watcher of a large failure domain; others step in.
func TestWatchersSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig()
		defer r.close()
		r.addListed(24, "d0")
		r.addListed(2, "d1")
		time.Sleep(4 * time.Second)
		require.Equal(t, 3, r.kill(func(n *node) bool { return n.self.FailureDomain == "d0" && n.IsWatcher() }))
		requireInForce(t, r, r.publish(out("d1", true)))
		time.Sleep(time.Minute)
		requireInForce(t, r, r.publish(out("d1", false)))
	})
}

// TestSeveralAtOnce splits the fleet, pauses an instance and starts another while the platform flaps.
func TestSeveralAtOnce(t *testing.T) {
	inFleet(t, func(t *testing.T, r *rig) {
		r.setMode(modeFlapping)
		r.split(1, func(i int) bool { return i%2 == 0 })
		r.nodes[1].pause(true)
		revision := r.publish(out("d0", true))
		r.list(r.add("d1", "n001", "n002").self)
		time.Sleep(30 * time.Second)
		r.nodes[1].pause(false)
		v, err := r.nodes[1].Fresh(context.Background())
		require.NoError(t, err)
		require.Equal(t, revision, v.Config().Revision())
		r.split(0, func(int) bool { return true })
		requireInForce(t, r, revision)
	})
}

// TestLeavingPeer learns from a peer's answers that it leaves, before the list says so. Those that do
// not call it are told by the peer itself.
func TestLeavingPeer(t *testing.T) {
	inFleet(t, func(t *testing.T, r *rig) {
		r.nodes[2].SetLeaving()
		r.nodes[0].RecordLeaving("n002")
		r.nodes[2].RecordLeaving("n002")
		require.NotContains(t, r.nodes[0].Current().Instances(), "n002")
		time.Sleep(20 * time.Second)
		for _, n := range r.nodes[:4] {
			require.NotContains(t, n.Current().Instances(), "n002", n.self.Name)
		}
		require.Contains(t, r.nodes[0].Current().ListedInstances(), r.nodes[2].self)
	})
}

// TestListFollowed lists and removes a member.
func TestListFollowed(t *testing.T) {
	inFleet(t, func(t *testing.T, r *rig) {
		m := member.Member{Name: "up-0", Kind: member.KindUpstream, FailureDomain: "d0", Address: "127.0.0.1:1", State: member.StateLeaving}
		r.list(m)
		r.platform.RemoveMember("up-1")
		r.old.RemoveMember("up-1")
		time.Sleep(inForceLimit)
		for _, n := range r.nodes {
			require.False(t, n.Current().AllowsUpstream("up-0"))
			require.False(t, n.Current().AllowsUpstream("up-1"))
			require.True(t, n.Current().AllowsUpstream("up-2"))
		}
	})
}

// TestFreshEndsWithRequest refuses when the request's own time ends before the view is confirmed.
func TestFreshEndsWithRequest(t *testing.T) {
	inFleet(t, func(t *testing.T, r *rig) {
		r.split(1, func(i int) bool { return i == 0 })
		time.Sleep(10 * time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		start := time.Now()
		_, err := r.nodes[0].Fresh(ctx)
		require.Error(t, err)
		require.False(t, errors.Is(err, context.DeadlineExceeded))
		require.Equal(t, 50*time.Millisecond, time.Since(start))
	})
}
