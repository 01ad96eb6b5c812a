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

// inFleet runs do with eight ready instances in two failure domains, and checks that no configuration reverted.
func inFleet(t *testing.T, do func(t *testing.T, h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		defer h.close()
		h.addListed(4, "d0", "d1")
		time.Sleep(3 * time.Second)
		require.Empty(t, h.lagging(1))
		do(t, h)
		require.Empty(t, h.reverted, "a configuration reverted")
	})
}

// requireInForce requires the revision to be in force on all nodes within maxApplyTime.
func requireInForce(t *testing.T, h *harness, revision uint64) {
	t.Helper()
	took := h.waitInForce(revision, maxApplyTime)
	require.Empty(t, h.lagging(revision), "after %s", took)
}

// TestPlatformFaults publishes a change during a fault of the platform. All instances have to continue with the configuration
// in force, and the change has to be in force in time after the fault ends.
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
			inFleet(t, func(t *testing.T, h *harness) {
				h.setMode(tc.mode)
				revision := h.publish(domainValue("d1", true))
				time.Sleep(maxApplyTime)
				for range 300 { // a minute
					require.Empty(t, h.lagging(tc.want))
					time.Sleep(200 * time.Millisecond)
				}
				h.setMode(modeUp)
				requireInForce(t, h, revision)
				require.True(t, h.nodes[0].Current().Config().IsDomainExcluded("d1"))
			})
		})
	}
}

// TestRefusalsAreCounted publishes an invalid configuration. It has to be refused and counted by the watchers, and must not
// prevent the next valid one.
func TestRefusalsAreCounted(t *testing.T) {
	inFleet(t, func(t *testing.T, h *harness) {
		h.publish(map[string]string{"in-force": `{"preset":"none"}`})
		time.Sleep(maxApplyTime)
		require.Empty(t, h.lagging(1))
		for _, n := range h.nodes {
			require.Equal(t, n.IsWatcher(), n.refused.Load() > 0, "only watchers read the platform")
		}
		requireInForce(t, h, h.publish(map[string]string{"in-force": `{"preset":"peak"}`}))
		require.Equal(t, "peak", h.nodes[5].Current().Config().Preset().Name)
	})
}

// TestPause pauses an instance for 30 s during a change, at varying times or with the reply of a peer in transit. Replies that
// were queued in the paused instance must not make its outdated view look fresh.
func TestPause(t *testing.T) {
	for n := range 16 {
		inFleet(t, func(t *testing.T, h *harness) {
			time.Sleep(time.Duration(n) * 137 * time.Millisecond)
			paused := h.nodes[n%8]
			if n < 8 {
				paused.pause(true)
			}
			paused.pauseOnReply.Store(n >= 8)
			time.Sleep(3 * time.Second)
			revision := h.publish(domainValue("d0", true))
			time.Sleep(30 * time.Second)
			require.Equal(t, uint64(1), paused.Current().Config().Revision())
			paused.pause(false)
			synctest.Wait() // queued replies are processed first
			v, err := paused.Fresh(context.Background())
			require.NoError(t, err)
			require.Equal(t, revision, v.Config().Revision())
		})
	}
}

// TestSingleInstanceUnconfirmed checks that an instance without peers is not ready while the platform cannot confirm its view.
func TestSingleInstanceUnconfirmed(t *testing.T) {
	for _, mode := range []int{modeDown, modeStale, modeConflict} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness()
			defer h.close()
			h.addListed(1, "d0")
			h.setMode(modeFlapping) // keeps the change from the stale copy
			h.publish(domainValue("d1", true))
			h.setMode(modeUp)
			time.Sleep(4 * time.Second)
			require.Empty(t, h.lagging(2))
			h.setMode(mode)
			time.Sleep(freshness.MaxAge + time.Second)
			require.Equal(t, ReasonUnconfirmed, h.nodes[0].NotReadyReason(), "mode %d", mode)
			require.Equal(t, uint64(2), h.nodes[0].Current().Config().Revision())
		})
	}
}

// TestRevisionHint checks that a frame with a higher revision leads to a sync at once and not only at the next interval.
func TestRevisionHint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		defer h.close()
		h.addListed(24, "d0")
		time.Sleep(4 * time.Second)
		revision := h.publish(domainValue("d1", true))
		time.Sleep(50 * time.Millisecond)
		watchers := slices.DeleteFunc(slices.Clone(h.nodes), func(n *node) bool { return !n.IsWatcher() })
		require.Len(t, watchers, 3)
		require.Greater(t, len(h.lagging(revision)), 10)
		for i, n := range h.nodes {
			n.ObserveRevision([]string{"", watchers[0].self.Name}[i%2], revision)
		}
		time.Sleep(4 * linkLatency)
		require.Empty(t, h.lagging(revision))
	})
}

// TestIsolatedInstance isolates one instance from the platform and its peers. It has to refuse work once its view is too old.
func TestIsolatedInstance(t *testing.T) {
	inFleet(t, func(t *testing.T, h *harness) {
		h.setPartition(1, func(i int) bool { return i == 3 })
		cut := time.Now()
		for time.Since(cut) < 20*time.Second {
			v, err := h.nodes[3].Fresh(context.Background())
			var refused *NotFreshError
			if time.Since(cut) > freshness.MaxAge+readTimeout {
				require.ErrorAs(t, err, &refused)
				require.Equal(t, ReasonUnconfirmed, h.nodes[3].NotReadyReason())
			}
			require.True(t, err != nil || v.IsFresh(time.Now().Add(-time.Second)))
			time.Sleep(100 * time.Millisecond)
		}
		revision := h.publish(domainValue("d1", true))
		h.setPartition(0, func(int) bool { return true })
		requireInForce(t, h, revision)
	})
}

// TestPartition partitions the instances, changes the configuration in the platform's partition, and heals the partition.
func TestPartition(t *testing.T) {
	for _, size := range []int{1, 2, 4} {
		inFleet(t, func(t *testing.T, h *harness) {
			h.setPartition(1, func(i int) bool { return i < size })
			revision := h.publish(domainValue("d1", true))
			time.Sleep(30 * time.Second)
			for i, n := range h.nodes {
				switch {
				case i >= size:
					require.Equal(t, revision, n.Current().Config().Revision())
					require.Empty(t, n.NotReadyReason())
				case size > 1: // its peers report an outage of the platform
					require.Equal(t, uint64(1), n.Current().Config().Revision())
					require.Empty(t, n.NotReadyReason())
				default:
					require.Equal(t, ReasonUnconfirmed, n.NotReadyReason())
				}
			}
			h.setPartition(0, func(int) bool { return true })
			requireInForce(t, h, revision)
			time.Sleep(time.Minute)
			for _, n := range h.nodes {
				require.Empty(t, n.Current().Avoided(), n.self.Name)
			}
		})
	}
}

// TestStart starts an instance with or without running peers, for each mode of the platform.
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
				h := newHarness()
				defer h.close()
				if tc.peers {
					h.addListed(2, "d0", "d1")
				}
				h.setMode(modeFlapping) // keeps the change from the stale copy
				h.publish(domainValue("d1", true))
				h.setMode(modeUp)
				time.Sleep(5 * time.Second)
				h.setMode(tc.mode)
				n := h.add("d1", "n000", "n001")
				for range 500 { // must not be ready with an older revision than it can obtain
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

// TestStartBackOff checks that an instance that cannot start limits its reads of a platform that is down.
func TestStartBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		defer h.close()
		h.setMode(modeDown)
		n := h.add("d0")
		time.Sleep(10 * time.Second)
		before := n.reads.Load()
		time.Sleep(time.Minute)
		// 2,800 instances share 2,000 reads per second.
		require.LessOrEqual(t, n.reads.Load()-before, int64(60*2000/2800))
		h.setMode(modeUp)
		time.Sleep(2 * maxStartDelay)
		require.Empty(t, h.lagging(1))
	})
}

// TestAllWatchersFail stops every watcher of a large failure domain. Other instances have to take over.
func TestAllWatchersFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		defer h.close()
		h.addListed(24, "d0")
		h.addListed(2, "d1")
		time.Sleep(4 * time.Second)
		require.Equal(t, 3, h.kill(func(n *node) bool { return n.self.FailureDomain == "d0" && n.IsWatcher() }))
		requireInForce(t, h, h.publish(domainValue("d1", true)))
		time.Sleep(time.Minute)
		requireInForce(t, h, h.publish(domainValue("d1", false)))
	})
}

// TestCombinedFaults partitions the instances, pauses one and starts another while the platform alternates between copies.
func TestCombinedFaults(t *testing.T) {
	inFleet(t, func(t *testing.T, h *harness) {
		h.setMode(modeFlapping)
		h.setPartition(1, func(i int) bool { return i%2 == 0 })
		h.nodes[1].pause(true)
		revision := h.publish(domainValue("d0", true))
		h.setMember(h.add("d1", "n001", "n002").self)
		time.Sleep(30 * time.Second)
		h.nodes[1].pause(false)
		v, err := h.nodes[1].Fresh(context.Background())
		require.NoError(t, err)
		require.Equal(t, revision, v.Config().Revision())
		h.setPartition(0, func(int) bool { return true })
		requireInForce(t, h, revision)
	})
}

// TestLeavingPeer checks that instances avoid a leaving peer before the list shows it: by its sync replies, or by its leave
// message.
func TestLeavingPeer(t *testing.T) {
	inFleet(t, func(t *testing.T, h *harness) {
		h.nodes[2].SetLeaving()
		h.nodes[0].RecordLeaving("n002")
		h.nodes[2].RecordLeaving("n002")
		require.NotContains(t, h.nodes[0].Current().Instances(), "n002")
		time.Sleep(20 * time.Second)
		for _, n := range h.nodes[:4] {
			require.NotContains(t, n.Current().Instances(), "n002", n.self.Name)
		}
		require.Contains(t, h.nodes[0].Current().ListedInstances(), h.nodes[2].self)
	})
}

// TestListFollowed changes the state of one member and removes another.
func TestListFollowed(t *testing.T) {
	inFleet(t, func(t *testing.T, h *harness) {
		m := member.Member{Name: "up-0", Kind: member.KindUpstream, FailureDomain: "d0", Address: "127.0.0.1:1", State: member.StateLeaving}
		h.setMember(m)
		h.platform.RemoveMember("up-1")
		h.stalePlatform.RemoveMember("up-1")
		time.Sleep(maxApplyTime)
		for _, n := range h.nodes {
			require.False(t, n.Current().AllowsUpstream("up-0"))
			require.False(t, n.Current().AllowsUpstream("up-1"))
			require.True(t, n.Current().AllowsUpstream("up-2"))
		}
	})
}

// TestFreshEndsWithRequest checks that Fresh returns at the request's deadline if the view is not confirmed by then.
func TestFreshEndsWithRequest(t *testing.T) {
	inFleet(t, func(t *testing.T, h *harness) {
		h.setPartition(1, func(i int) bool { return i == 0 })
		time.Sleep(10 * time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		start := time.Now()
		_, err := h.nodes[0].Fresh(ctx)
		require.Error(t, err)
		require.False(t, errors.Is(err, context.DeadlineExceeded))
		require.Equal(t, 50*time.Millisecond, time.Since(start))
	})
}
