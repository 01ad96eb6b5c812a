package target

import "time"

// ResetWarmup marks the upstream as cold, so that it has to warm up again.
func (t *Target) ResetWarmup() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peerWarm = false
	if t.state != nil {
		t.state.warmup = t.state.warmup.Restarted()
	}
	t.updateQueue(time.Now())
}
