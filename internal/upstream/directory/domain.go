package directory

import "crocuswing/internal/fleet/view"

// ResetWarmup takes the upstreams of the given failure domains for cold, so that they warm up anew.
func (d *Directory) ResetWarmup(v view.View, domains []string) {
	returned := make(map[string]bool, len(domains))
	for _, name := range domains {
		returned[name] = true
	}
	for _, t := range d.Targets() {
		if m, ok := v.Roster().Member(t.Name()); ok && returned[m.FailureDomain] {
			t.ResetWarmup()
		}
	}
}
