package stall

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSilence(t *testing.T) {
	const service = 10 * time.Millisecond
	for _, c := range []struct {
		name     string
		later    int // attempts begun later and answered, one each service time
		received int64
		reused   bool
		want     bool
	}{
		{name: "others move on", later: 40, want: true},
		{name: "bytes arrive slowly", later: 40, received: 1},
		{name: "few others answered", later: 2},
		{name: "nothing else runs", later: 0},
		{name: "nothing else runs on a used connection", later: 0, reused: true, want: true},
		{name: "few others answered and bytes arrive", later: 2, received: 1, reused: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := New()
				for range 100 { // learn the usual service time
					a := m.Begin(true, none, nil)
					time.Sleep(service)
					a.End(true)
				}
				abandoned := false
				suspect := m.Begin(c.reused, func() int64 { return c.received }, func() { abandoned = true })
				for range c.later {
					a := m.Begin(true, none, nil)
					time.Sleep(service)
					a.End(true)
				}
				time.Sleep(time.Second)
				synctest.Wait()
				require.Equal(t, c.want, abandoned)
				require.Equal(t, c.want, suspect.End(false))
			})
		})
	}
}

// TestLoneSilenceOnce abandons no second attempt before the upstream has answered again.
func TestLoneSilenceOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New()
		answer := func() {
			a := m.Begin(true, none, nil)
			time.Sleep(time.Millisecond)
			a.End(true)
		}
		isSilent := func() bool {
			a := m.Begin(true, none, func() {})
			time.Sleep(time.Second)
			return a.End(false)
		}
		require.False(t, isSilent(), "nothing was ever answered")
		answer()
		require.True(t, isSilent())
		require.False(t, isSilent())
		answer()
		require.True(t, isSilent())
	})
}

// TestBoundFollowsServiceTimes keeps a slow service's attempts from being abandoned.
func TestBoundFollowsServiceTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New()
		require.Equal(t, minAge, m.Threshold())
		for range 200 {
			a := m.Begin(true, none, nil)
			time.Sleep(100 * time.Millisecond)
			a.End(true)
		}
		require.InDelta(t, ageFactor*100*time.Millisecond, m.Threshold(), float64(5*time.Millisecond))
	})
}

func none() int64 { return 0 }
