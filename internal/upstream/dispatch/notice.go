package dispatch

import (
	"context"
	"sync"
	"time"

	"crocuswing/internal/upstream/target"
	"crocuswing/internal/wire/relay"
)

const (
	noticeQueue   = 4096
	noticeTimeout = 500 * time.Millisecond
)

// report tells the observer and the other homes what an attempt changed. A full queue drops the
// notice: the other homes then learn it from their own answers.
func (d *Dispatcher) report(t *target.Target, c target.Change) {
	if c.IsEmpty() {
		return
	}
	d.observe(t.Name(), c)
	if !c.WarmupStarted && !c.DrainStarted {
		return
	}
	select {
	case d.notices <- relay.Notice{Upstream: t.Name(), Incarnation: c.Incarnation, Leaving: c.DrainStarted, Cold: c.WarmupStarted}:
	default:
	}
}

// Run sends notices to the other homes until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	for {
		select {
		case n := <-d.notices:
			d.notify(ctx, d.collect(n))
		case <-ctx.Done():
			return
		}
	}
}

// collect groups the first and all queued notices by the instances that need them.
func (d *Dispatcher) collect(first relay.Notice) map[string][]relay.Notice {
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

// notify sends one message to each instance. One that cannot be reached does not delay the others.
func (d *Dispatcher) notify(ctx context.Context, grouped map[string][]relay.Notice) {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	var group sync.WaitGroup
	for name, notices := range grouped {
		group.Go(func() { _ = d.relayer.Notify(ctx, name, notices) })
	}
	group.Wait()
}

// HandleNotices takes the notices of another home.
func (d *Dispatcher) HandleNotices(notices []relay.Notice) {
	for _, n := range notices {
		if t, ok := d.directory.Target(n.Upstream); ok {
			t.ApplyNotice(n.Incarnation, n.Leaving, n.Cold)
		}
	}
}
