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

// TestMain fixes the seed, so that every run judges the same sequences.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "6", "rapid.checks": "40", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// step is one event in the life of a fleet.
type step struct{ Kind, Arg int }

// Kinds of step.
const (
	stepMode = iota
	stepSplit
	stepHeal
	stepPause
	stepWake
	stepPublish
	stepInvalid
	stepWait
	stepCount
)

const modelNodes = 7

// model is the naive version: what was published, and since when it could be read by whom.
type model struct {
	*rig
	digests map[uint64]string // of the valid revisions
	newest  uint64            // valid revision
	since   time.Time         // from which on the platform, the links and the instances were all sound
	sound   bool
	paused  map[int]bool
}

// TestModel drives a fleet through random events. Whatever happens, no instance reverts, holds anything but a
// valid revision, or gives out a view for new work that was not confirmed lately; once all is sound for
// as long as users allow, all have the newest.
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
	m := &model{rig: newRig(), digests: make(map[uint64]string), paused: make(map[int]bool)}
	defer m.close()
	m.addListed(4, "d0")
	m.addListed(modelNodes-4, "d1")
	m.digests[1] = m.digest()
	m.newest = 1
	m.judgeSoundness()
	time.Sleep(3 * time.Second)
	for i, s := range steps {
		m.take(s)
		m.judgeSoundness()
		if err := m.judge(); err != nil {
			return fmt.Errorf("step %d of %v: %w", i, steps, err)
		}
	}
	for _, s := range []step{{Kind: stepMode}, {Kind: stepHeal}, {Kind: stepWake}} {
		m.take(s)
	}
	m.judgeSoundness()
	time.Sleep(inForceLimit)
	return m.judge()
}

func (m *model) digest() string {
	l, _, _ := m.platform.Manifest(context.Background(), 0, 0)
	return l.Digest
}

func (m *model) take(s step) {
	switch s.Kind {
	case stepMode:
		m.setMode(s.Arg % modeCount)
	case stepSplit:
		m.split(1, func(i int) bool { return s.Arg>>i&1 == 1 })
		m.split(0, func(i int) bool { return s.Arg>>i&1 == 0 })
	case stepHeal:
		m.split(0, func(int) bool { return true })
	case stepPause:
		m.nodes[s.Arg%modelNodes].pause(true)
		m.paused[s.Arg%modelNodes] = true
	case stepWake:
		for i := range m.paused {
			m.nodes[i].pause(false)
		}
		clear(m.paused)
	case stepPublish:
		m.newest = m.publish(out("d1", s.Arg%2 == 0))
		m.digests[m.newest] = m.digest()
		m.sound = false
	case stepInvalid:
		m.publish(map[string]string{"in-force": `{"preset":"none"}`})
		m.newest = m.publish(map[string]string{"in-force": `{"preset":"peak"}`})
		m.digests[m.newest] = m.digest()
		m.sound = false
	case stepWait:
		time.Sleep(time.Duration(s.Arg*10) * time.Millisecond)
	}
}

// judgeSoundness notes since when nothing stands in the way of the newest revision.
func (m *model) judgeSoundness() {
	sound := m.getMode() == modeUp && len(m.paused) == 0
	for _, n := range m.nodes {
		sound = sound && m.sideOf(n.self.Name) == 0
	}
	if sound && !m.sound {
		m.since = time.Now()
	}
	m.sound = sound
}

func (m *model) judge() error {
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
	if m.sound && time.Since(m.since) >= inForceLimit {
		if behind := m.lagging(m.newest); len(behind) > 0 {
			return fmt.Errorf("%v after %s, want revision %d", behind, time.Since(m.since), m.newest)
		}
	}
	return nil
}
