package follower

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// TestMain sets the seed, so that every run checks the same sequences.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "6", "rapid.checks": "40", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// step is one event in a simulation.
type step struct{ Kind, Arg int }

// Kinds of steps.
const (
	stepMode = iota
	stepSplit
	stepHeal
	stepPause
	stepResume
	stepPublish
	stepInvalid
	stepWait
	stepCount
)

const modelNodes = 7

// model is the reference: the revisions that were published, and since when all instances could have read the newest one.
type model struct {
	*harness
	digests      map[uint64]string // by valid revision
	newest       uint64            // highest valid revision
	healthySince time.Time         // time since which platform, links and instances have had no fault
	healthy      bool
	paused       map[int]bool
}

// TestModel runs instances through random events. No instance may ever revert to an older revision or hold an invalid one.
// Once there has been no fault for maxApplyTime, all instances have to be ready with the newest revision.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{Kind: rapid.IntRange(0, stepCount-1).Draw(rt, "kind"), Arg: rapid.IntRange(0, 1<<10).Draw(rt, "arg")}
		}), 5, 30).Draw(rt, "steps")
		var err error
		synctest.Test(t, func(*testing.T) { err = simulate(steps) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

func simulate(steps []step) error {
	m := &model{harness: newHarness(), digests: make(map[uint64]string), paused: make(map[int]bool)}
	defer m.close()
	m.addListed(4, "d0")
	m.addListed(modelNodes-4, "d1")
	m.digests[1] = m.digest()
	m.newest = 1
	m.updateHealthy()
	time.Sleep(3 * time.Second)
	for i, s := range steps {
		m.apply(s)
		m.updateHealthy()
		if err := m.check(); err != nil {
			return fmt.Errorf("step %d of %v: %w", i, steps, err)
		}
	}
	for _, s := range []step{{Kind: stepMode}, {Kind: stepHeal}, {Kind: stepResume}} {
		m.apply(s)
	}
	m.updateHealthy()
	time.Sleep(maxApplyTime)
	return m.check()
}

func (m *model) digest() string {
	l, _, _ := m.platform.Manifest(context.Background(), 0, 0)
	return l.Digest
}

func (m *model) apply(s step) {
	switch s.Kind {
	case stepMode:
		m.setMode(s.Arg % modeCount)
	case stepSplit:
		m.setPartition(1, func(i int) bool { return s.Arg>>i&1 == 1 })
		m.setPartition(0, func(i int) bool { return s.Arg>>i&1 == 0 })
	case stepHeal:
		m.setPartition(0, func(int) bool { return true })
	case stepPause:
		m.nodes[s.Arg%modelNodes].pause(true)
		m.paused[s.Arg%modelNodes] = true
	case stepResume:
		for i := range m.paused {
			m.nodes[i].pause(false)
		}
		clear(m.paused)
	case stepPublish:
		m.newest = m.publish(domainValue("d1", s.Arg%2 == 0))
		m.digests[m.newest] = m.digest()
		m.healthy = false
	case stepInvalid:
		m.publish(map[string]string{"in-force": `{"preset":"none"}`})
		m.newest = m.publish(map[string]string{"in-force": `{"preset":"peak"}`})
		m.digests[m.newest] = m.digest()
		m.healthy = false
	case stepWait:
		time.Sleep(time.Duration(s.Arg*10) * time.Millisecond)
	}
}

// updateHealthy records since when there has been no fault that prevents the newest revision from being in force.
func (m *model) updateHealthy() {
	healthy := m.currentMode() == modeUp && len(m.paused) == 0
	for _, n := range m.nodes {
		healthy = healthy && m.partitionOf(n.self.Name) == 0
	}
	if healthy && !m.healthy {
		m.healthySince = time.Now()
	}
	m.healthy = healthy
}

func (m *model) check() error {
	if len(m.reverted) > 0 {
		return fmt.Errorf("%v reverted", m.reverted)
	}
	for _, n := range m.nodes {
		v := n.Current()
		revision := v.Config().Revision()
		if want, ok := m.digests[revision]; revision > 0 && (!ok || want != v.Config().Digest()) {
			return fmt.Errorf("%s holds revision %d with digest %s, want %s", n.self.Name, revision, v.Config().Digest(), want)
		}
	}
	if m.healthy && time.Since(m.healthySince) >= maxApplyTime {
		if behind := m.lagging(m.newest); len(behind) > 0 {
			return fmt.Errorf("%v after %s, want revision %d", behind, time.Since(m.healthySince), m.newest)
		}
	}
	return nil
}
