package target

// Restart takes the upstream for cold, so that it warms up anew.
func (t *Target) Restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.restart()
}
