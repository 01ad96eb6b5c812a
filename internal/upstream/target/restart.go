package target

import "time"

// ResetWarmup takes the upstream for cold, so that it warms up anew.
func (t *Target) ResetWarmup() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.toldWarm = false
	if t.work != nil {
		t.work.warmup = t.work.warmup.Restarted()
	}
	t.settle(time.Now())
}
