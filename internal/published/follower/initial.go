package follower

import (
	"context"
	"time"

	"crocuswing/internal/published/change"
)

const (
	// initialHedgeDelay is the time after which another first read is started. A store that was silent when a read began may leave it
	// without an answer after its return. The delay is several times that of a page of a store that works.
	initialHedgeDelay = 300 * time.Millisecond
	// maxInitialReads limits the first reads at the same time, and with it the calls while a store is slow.
	maxInitialReads = 6
)

// initialResult is the outcome of one of the first reads.
type initialResult struct {
	batch change.Batch
	err   error
}

// readInitial returns the result of the first of several concurrent reads that succeeds, or the error of the last one when all that are
// in progress have failed. Until it returns, this instance serves no request.
func (f *Follower) readInitial(ctx context.Context) (change.Batch, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan initialResult, maxInitialReads)
	timer := time.NewTimer(0)
	defer timer.Stop()
	running := 0
	for {
		select {
		case <-timer.C:
			if running < maxInitialReads {
				running++
				f.startInitial(ctx, results)
			}
			timer.Reset(initialHedgeDelay)
		case res := <-results:
			running--
			if res.err == nil || running == 0 {
				return res.batch, res.err
			}
		}
	}
}

func (f *Follower) startInitial(ctx context.Context, results chan<- initialResult) {
	f.count(`crocuswing_store_reads_total{kind="whole"}`)
	go func() {
		batch, err := f.source.Read(ctx)
		results <- initialResult{batch, err}
	}()
}
