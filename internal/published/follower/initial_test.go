package follower

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/published/change"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// silentSource is a store that leaves the reads without an answer that begin before it is back.
type silentSource struct {
	Source
	back  time.Time
	err   error // of the reads that begin later
	reads atomic.Int64
	inUse atomic.Int64
	most  atomic.Int64 // reads at the same time
}

func (s *silentSource) Read(ctx context.Context) (change.Batch, error) {
	s.reads.Add(1)
	s.most.Store(max(s.most.Load(), s.inUse.Add(1)))
	defer s.inUse.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	if time.Now().Before(s.back) {
		<-ctx.Done()
		return change.Batch{}, ctx.Err()
	}
	return change.Batch{Full: true, Age: 7}, s.err
}

// TestFirstReadDuringSilence guards against an instance that starts while the store is silent and waits for its first read long after the
// store is back (cold herd: all instances lost power, and callers ask again at once).
func TestFirstReadDuringSilence(t *testing.T) {
	for _, silence := range []time.Duration{0, 100 * time.Millisecond, time.Second, 4 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			s := &silentSource{back: time.Now().Add(silence)}
			f := New(s, time.Second, zap.NewNop())
			batch, err := f.readInitial(t.Context())
			require.NoError(t, err)
			require.EqualValues(t, 7, batch.Age)
			require.LessOrEqual(t, time.Since(s.back), initialHedgeDelay)
			require.LessOrEqual(t, s.most.Load(), int64(maxInitialReads))
		})
	}
}

// TestFirstReadFails checks that the first read fails once all reads have failed, and that a store that refuses gets no further reads.
func TestFirstReadFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &silentSource{err: errors.New("503")}
		_, err := New(s, time.Second, zap.NewNop()).readInitial(t.Context())
		require.ErrorIs(t, err, s.err)
		require.EqualValues(t, 1, s.reads.Load())
	})
}
