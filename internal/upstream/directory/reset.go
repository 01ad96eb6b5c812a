package directory

import "crocuswing/internal/fleet/view"

// ResetWarmup marks the upstreams in the given failure domains as cold, so that they have to warm up again.
func (d *Directory) ResetWarmup(v view.View, domains []string) {
	isReset := make(map[string]bool, len(domains))
	for _, name := range domains {
		isReset[name] = true
	}
	for _, t := range d.Targets() {
		if m, ok := v.Roster().Member(t.Name()); ok && isReset[m.FailureDomain] {
			t.ResetWarmup()
		}
	}
}
