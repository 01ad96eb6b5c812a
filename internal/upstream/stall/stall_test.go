package stall

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestStall(t *testing.T) {
	const serviceTime = 10 * time.Millisecond
	for _, c := range []struct {
		name     string
		later    int // attempts begun and answered later, one after the other
		received int64
		reused   bool
		want     bool
	}{
		{name: "others are answered", later: 40, want: true},
		{name: "bytes arrive slowly", later: 40, received: 1},
		{name: "few others answered", later: 2},
		{name: "nothing else runs", later: 0},
		{name: "nothing else runs, reused connection", later: 0, reused: true, want: true},
		{name: "few others answered and bytes arrive", later: 2, received: 1, reused: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := New()
				for range 100 { // learn the usual service time
					a := d.Begin(true, noBytes, nil)
					time.Sleep(serviceTime)
					a.End(true)
				}
				abandoned := false
				suspect := d.Begin(c.reused, func() int64 { return c.received }, func() { abandoned = true })
				for range c.later {
					a := d.Begin(true, noBytes, nil)
					time.Sleep(serviceTime)
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

// TestLoneStallOnce checks that no second lone attempt is abandoned before the upstream has answered again.
func TestLoneStallOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New()
		complete := func() {
			a := d.Begin(true, noBytes, nil)
			time.Sleep(time.Millisecond)
			a.End(true)
		}
		isStalled := func() bool {
			a := d.Begin(true, noBytes, func() {})
			time.Sleep(time.Second)
			return a.End(false)
		}
		require.False(t, isStalled(), "no attempt was answered yet")
		complete()
		require.True(t, isStalled())
		require.False(t, isStalled())
		complete()
		require.True(t, isStalled())
	})
}

// TestThresholdFollowsServiceTimes checks that the threshold rises with the service times, so that attempts of a slow service are
// not abandoned.
func TestThresholdFollowsServiceTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New()
		require.Equal(t, minThreshold, d.Threshold())
		for range 200 {
			a := d.Begin(true, noBytes, nil)
			time.Sleep(100 * time.Millisecond)
			a.End(true)
		}
		require.InDelta(t, thresholdFactor*100*time.Millisecond, d.Threshold(), float64(5*time.Millisecond))
	})
}

func noBytes() int64 { return 0 }
