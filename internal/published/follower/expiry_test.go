package follower

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/published/change"
	"crocuswing/internal/published/registration"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// heldSource lists one upstream, fails during an outage, and then reports the removal of the upstream. It holds each later read until
// the read is given up.
type heldSource struct {
	outage      time.Duration
	started     time.Time
	hasRemoval  bool
	recoveredAt time.Time
}

func (*heldSource) Read(context.Context) (change.Batch, error) {
	r := &registration.Registration{Upstream: "u", Service: "s", Incarnation: 1}
	return change.Batch{Full: true, Position: change.Position{Era: 1, Revision: 1}, Changes: []change.Change{{Item: change.Item{Key: "u"}, Name: "u", Registration: r}}}, nil
}

func (s *heldSource) ReadSince(ctx context.Context, _ change.Position, _ bool) (change.Batch, error) {
	switch {
	case time.Since(s.started) < s.outage:
		return change.Batch{}, errors.New("store unavailable")
	case !s.hasRemoval:
		s.hasRemoval, s.recoveredAt = true, time.Now()
		return change.Batch{Position: change.Position{Era: 1, Revision: 2}, Changes: []change.Change{{Item: change.Item{Key: "u", Removed: true}, Name: "u"}}}, nil
	}
	<-ctx.Done()
	return change.Batch{}, ctx.Err()
}

func (*heldSource) Reset() {}

// TestRemovalAtEndOfGracePeriod guards against requests to an upstream that has left: its removal took effect only with the next answer of
// the store or of another instance after the grace period.
func TestRemovalAtEndOfGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &heldSource{outage: 8 * time.Second, started: time.Now()}
		const interval = time.Second
		f := New(s, interval, zap.NewNop())
		f.SetReportInterval(1200 * time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		time.Sleep(s.outage + time.Second)
		synctest.Wait()
		require.True(t, s.hasRemoval)
		time.Sleep(time.Until(s.recoveredAt.Add(gracePeriod(interval))) - time.Nanosecond)
		require.Contains(t, f.View().Upstreams, "u")
		time.Sleep(2 * time.Nanosecond)
		synctest.Wait()
		require.NotContains(t, f.View().Upstreams, "u")
		cancel()
		<-done
	})
}

// TestRemovalAfterShortOutage guards against requests to an upstream that has left: an outage of the store in which no registration can have
// lapsed must not delay its removal.
func TestRemovalAfterShortOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const reportInterval = 1200 * time.Millisecond
		s := &heldSource{outage: 2*reportInterval - 1500*time.Millisecond, started: time.Now()}
		f := New(s, 500*time.Millisecond, zap.NewNop())
		f.SetReportInterval(reportInterval)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		time.Sleep(2 * reportInterval)
		synctest.Wait()
		require.True(t, s.hasRemoval)
		require.Less(t, s.recoveredAt.Sub(s.started), 2*reportInterval)
		require.NotContains(t, f.View().Upstreams, "u")
		cancel()
		<-done
	})
}
