package dispatch

import (
	"context"
	"sync"
	"time"

	"crocuswing/internal/upstream/target"
	"crocuswing/internal/wire/relay"
)

const (
	noticeQueueSize = 4096
	noticeTimeout   = 500 * time.Millisecond
)

// reportChange passes a change of state to the observer and queues a notice for the other homes. If the queue is full,
// it drops the notice; the other homes then learn of the change from their own attempts.
func (d *Dispatcher) reportChange(t *target.Target, c target.Change) {
	if c.IsEmpty() {
		return
	}
	d.onChange(t.Name(), c)
	if !c.WarmupStarted && !c.DrainStarted {
		return
	}
	select {
	case d.notices <- relay.Notice{Upstream: t.Name(), Incarnation: c.Incarnation, Draining: c.DrainStarted, Cold: c.WarmupStarted}:
	default:
	}
}

// Run sends queued notices to the other homes until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	for {
		select {
		case n := <-d.notices:
			d.sendNotices(ctx, d.groupByHome(n))
		case <-ctx.Done():
			return
		}
	}
}

// groupByHome groups first and all queued notices by the instances that have to receive them.
func (d *Dispatcher) groupByHome(first relay.Notice) map[string][]relay.Notice {
	grouped := make(map[string][]relay.Notice)
	ranking := d.directory.Ranking()
	for n := first; ; {
		if t, ok := d.directory.Target(n.Upstream); ok {
			for _, name := range t.Homes(ranking) {
				if name != d.self {
					grouped[name] = append(grouped[name], n)
				}
			}
		}
		select {
		case n = <-d.notices:
		default:
			return grouped
		}
	}
}

// sendNotices sends one message to each instance. An unreachable instance does not delay the others.
func (d *Dispatcher) sendNotices(ctx context.Context, grouped map[string][]relay.Notice) {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for name, notices := range grouped {
		wg.Go(func() { _ = d.relayer.Notify(ctx, name, notices) })
	}
	wg.Wait()
}

// HandleNotices applies the notices of another home.
func (d *Dispatcher) HandleNotices(notices []relay.Notice) {
	for _, n := range notices {
		if t, ok := d.directory.Target(n.Upstream); ok {
			t.ApplyNotice(n.Incarnation, n.Draining, n.Cold)
		}
	}
}
