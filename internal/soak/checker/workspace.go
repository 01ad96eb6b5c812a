package checker

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"crocuswing/internal/soak/record"
	"crocuswing/internal/soak/site"
)

// holder returns the workspace that holds a key in a version.
func holder(v record.Version, key string) (string, bool) {
	for _, t := range v.Workspaces {
		if slices.Contains(t.Keys, key) {
			return t.Name, true
		}
	}
	return "", false
}

// holderInAny returns the workspace that holds a key in any version. A key never changes its workspace.
func (c *Checker) holderInAny(key string) (string, bool) {
	for _, v := range c.Versions {
		if name, ok := holder(v, key); ok {
			return name, true
		}
	}
	return "", false
}

// checkKey checks that upstreams receive the workspace of a request in place of its key, and no request whose key no version held.
func (c *Checker) checkKey(q record.Request) {
	name, ok := c.holderInAny(q.Key)
	for _, a := range q.Arrivals {
		if containsKey(a.Header) || containsKey(a.Trailer) {
			c.report("no upstream gets a key", q.ID, "received by "+a.Upstream)
		}
		if !ok {
			c.report("a key that no configuration held runs nothing", q.ID, fmt.Sprintf("key %q reached %s", q.Key, a.Upstream))
		} else if got := a.Header.Values(c.headers.Workspace); !slices.Equal(got, []string{name}) {
			c.report("an upstream gets the workspace of the key", q.ID, fmt.Sprintf("%s received %q, want %q", a.Upstream, got, name))
		}
	}
}

func containsKey(h http.Header) bool {
	for name, values := range h {
		if strings.Contains(strings.ToLower(name+" "+strings.Join(values, " ")), site.KeyPrefix) {
			return true
		}
	}
	return false
}

// checkWithdrawnKey checks that a request does not run if it was sent with a key whose withdrawal should have been in force.
func (c *Checker) checkWithdrawnKey(q record.Request) {
	if len(q.Arrivals) == 0 {
		return
	}
	held := false
	for _, v := range c.Versions {
		if _, ok := holder(v, q.Key); ok {
			held = true
			continue
		}
		if held && !v.Acked.IsZero() && q.Sent.Sub(v.Acked) > site.Bounds.MaxApplyTime && c.isSteady(q.Instance, v.Acked, q.Ended) && !c.mayBeLost(v.Acked) {
			c.report("a withdrawn key runs nothing after its time", q.ID, fmt.Sprintf("ran %v after revision %d withdrew its key", q.Sent.Sub(v.Acked), v.Revision))
			return
		}
	}
}

// checkQuotas checks the bound on the requests of each workspace that run within any quota window, by their first run.
func (c *Checker) checkQuotas() {
	runs := make(map[string][]time.Time)
	for _, q := range c.Settled {
		var first time.Time
		for _, a := range q.Arrivals {
			if a.Ran && (first.IsZero() || a.At.Before(first)) {
				first = a.At
			}
		}
		if name, ok := c.holderInAny(q.Key); ok && !first.IsZero() {
			runs[name] = append(runs[name], first)
		}
	}
	b := site.Bounds
	for _, t := range c.Versions[0].Workspaces { // quotas are the same in all versions
		limit := (t.Rate*b.QuotaWindow.Seconds()+t.Burst)*(1+b.QuotaOverage) + b.QuotaSlack
		for _, end := range runs[t.Name] {
			if n := countBetween(runs[t.Name], end.Add(-b.QuotaWindow), end); t.Rate > 0 && float64(n) > limit {
				c.report("a workspace stays within its quota", "", fmt.Sprintf("workspace %s: %d requests within %v, want at most %.0f", t.Name, n, b.QuotaWindow, limit))
				break
			}
		}
	}
}
