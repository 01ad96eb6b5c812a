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

// checkTimed checks the promises with time limits, which hold only for undisrupted instances.
func (c *Checker) checkTimed(q record.Request) {
	c.checkTimeout(q)
	c.checkCutOff(q)
	c.checkPlacement(q)
	c.checkRevision(q)
	c.checkWithdrawnKey(q)
}

// isUndisrupted reports whether neither the instance nor the store was disrupted between from and until, nor within the
// stabilization time before from.
func (c *Checker) isUndisrupted(instance string, from, until time.Time) bool {
	for _, name := range []string{instance, record.Store} {
		for _, d := range c.Disruptions[name] {
			if d.Overlaps(from.Add(-stabilizationTime), until) {
				return false
			}
		}
	}
	return true
}

// isSteady reports whether the instance was undisrupted and had no planned stop between from and until, nor within the
// stabilization time before from.
func (c *Checker) isSteady(instance string, from, until time.Time) bool {
	return c.isUndisrupted(instance, from, until) && !c.isStopping(instance, from.Add(-stabilizationTime), until)
}

// mayBeLost reports whether a change that the store acknowledged may not have been in force when the store came back from an older
// copy. Changes that were in force hold in spite of such a return.
func (c *Checker) mayBeLost(acked time.Time) bool {
	return slices.ContainsFunc(c.Restored, func(s record.Span) bool { return s.Overlaps(acked, acked.Add(site.Bounds.MaxApplyTime)) })
}

// isStopping reports whether a planned stop of the instance, including its restart, overlaps the time between from and until.
func (c *Checker) isStopping(instance string, from, until time.Time) bool {
	return slices.ContainsFunc(c.PlannedStops[instance], func(s record.Span) bool { return s.Overlaps(from, until) })
}

// checkTimeout checks that a request ends within its timeout and is not forwarded after its caller has left.
func (c *Checker) checkTimeout(q record.Request) {
	if !c.isSteady(q.Instance, q.Sent, q.Ended) {
		return
	}
	timeout := min(q.Timeout, site.Timeout)
	if q.Ended.Sub(q.Sent) > timeout+lateTolerance {
		c.report("a request ends in its time", q.ID, fmt.Sprintf("took %v, timeout %v", q.Ended.Sub(q.Sent), timeout))
	}
	for _, a := range q.Arrivals {
		if q.Canceled && a.At.Sub(q.Ended) > lateTolerance {
			c.report("nothing is sent on for a caller that left", q.ID, fmt.Sprintf("forwarded %v after the caller left", a.At.Sub(q.Ended)))
		}
	}
}

// checkCutOff checks that a request is answered if it was forwarded, or if a stopping process has read it.
func (c *Checker) checkCutOff(q record.Request) {
	if q.Canceled || q.Status != 0 || !c.isUndisrupted(q.Instance, q.Sent, q.Ended) {
		return
	}
	took := q.Ended.Sub(q.Sent)
	if len(q.Arrivals) > 0 || took > unreadTolerance && c.isStopping(q.Instance, q.Sent, q.Ended) {
		c.report("what was read is answered, also at a planned stop", q.ID, fmt.Sprintf("cut off after %v: %v", took, q.Err))
	}
}

// checkPlacement checks that draining upstreams receive no requests once the drain time is over, and excluded failure domains
// none after exclusionDelay.
func (c *Checker) checkPlacement(q record.Request) {
	for _, a := range q.Arrivals {
		drainingSince, ok := c.Draining[a.Upstream]
		if ok && a.At.Sub(drainingSince) > site.Bounds.DrainTime && c.isSteady(q.Instance, drainingSince, a.At) && !c.mayBeLost(drainingSince) {
			c.report("an upstream that leaves gets no work", q.ID, fmt.Sprintf("upstream %s received it %v after draining began", a.Upstream, a.At.Sub(drainingSince)))
		}
		for _, exclusion := range c.Excluded[a.Domain] {
			if a.At.Sub(exclusion.From) > exclusionDelay && exclusion.Overlaps(a.At, a.At) && c.isSteady(q.Instance, exclusion.From, a.At) && !c.mayBeLost(exclusion.From) {
				c.report("a failure domain that is out gets no work", q.ID, fmt.Sprintf("failure domain %s received it %v after its exclusion", a.Domain, a.At.Sub(exclusion.From)))
			}
		}
	}
}

// checkRevision checks that a configuration is in force within the maximum apply time after the store acknowledged it, and that a
// process does not return to a version older than one that it used before.
func (c *Checker) checkRevision(q record.Request) {
	newest, ok := c.newestPossibleVersion(q)
	if !ok {
		return
	}
	handled := c.Versions[newest]
	for _, v := range c.Versions[newest+1:] {
		if v.Acked.IsZero() || q.Sent.Sub(v.Acked) <= site.Bounds.MaxApplyTime || !c.isSteady(q.Instance, v.Acked, q.Ended) || c.mayBeLost(v.Acked) {
			continue
		}
		c.report("a configuration is in force in time", q.ID, fmt.Sprintf("%v after revision %d was acknowledged, handled by revision %d or older", q.Sent.Sub(v.Acked), v.Revision, handled.Revision))
		break
	}
	process := fmt.Sprintf("%s/%d", q.Instance, q.ProcessNumber)
	for _, s := range c.observed[process] {
		if q.Sent.Sub(s.at) > revertTolerance && s.revision > handled.Revision {
			c.report("a revision never reverts", q.ID, fmt.Sprintf("%s used revision %d; %v later it handled the request by revision %d or older", process, s.revision, q.Sent.Sub(s.at), handled.Revision))
			break
		}
	}
	c.observe(q, process)
}

// newestPossibleVersion returns the index of the newest version by which the request may have been handled. It reports false if
// possibleVersions returns none.
func (c *Checker) newestPossibleVersion(q record.Request) (int, bool) {
	possible := c.possibleVersions(q)
	if len(possible) == 0 {
		return 0, false
	}
	return possible[len(possible)-1], true
}

// possibleVersions returns the indexes of the versions by which the request may have been handled, in ascending order. These are
// the versions without a route for it if it was answered with status 404, otherwise those that route it to the service that ran
// it. It returns none if the request did not run.
func (c *Checker) possibleVersions(q record.Request) []int {
	if q.Status == http.StatusNotFound {
		var versions []int
		for i, v := range c.Versions {
			if _, ok := findRoute(v, q.Path); !ok {
				versions = append(versions, i)
			}
		}
		return versions
	}
	for _, a := range q.Arrivals {
		if a.Ran {
			return c.versionsRouting(q.Path, a.Service)
		}
	}
	return nil
}

// observe records the oldest version by which the request may have been handled. The process had this version or a newer one when
// an upstream first ran the request, or, if none did, when the request ended.
func (c *Checker) observe(q record.Request, process string) {
	oldest := c.possibleVersions(q)[0]
	if oldest == 0 {
		return
	}
	at := q.Ended
	for _, a := range q.Arrivals {
		if a.Ran && a.At.Before(at) {
			at = a.At
		}
	}
	c.observed[process] = append(c.observed[process], observation{at: at, revision: c.Versions[oldest].Revision})
}

// checkExtraAttempts checks the bound on attempts beyond the first one of each request to a service. The bound applies to all
// instances together. It is computed from the largest number of requests in one of three windows: the window of the
// attempts, the one before it, and the one halfway between them.
func (c *Checker) checkExtraAttempts() {
	if !c.timed {
		return
	}
	requests, extra := make(map[string][]time.Time), make(map[string][]time.Time)
	for _, q := range c.Settled {
		first := make(map[string]bool)
		for _, a := range q.Arrivals {
			if first[a.Service] {
				extra[a.Service] = append(extra[a.Service], a.At)
				continue
			}
			first[a.Service] = true
			requests[a.Service] = append(requests[a.Service], q.Sent)
		}
	}
	window := site.Bounds.ExtraWindow
	for name, times := range extra {
		for _, end := range times {
			n := countBetween(times, end.Add(-window), end)
			requested := max(countBetween(requests[name], end.Add(-window), end), countBetween(requests[name], end.Add(-2*window), end.Add(-window)),
				countBetween(requests[name], end.Add(-3*window/2), end.Add(-window/2)))
			if limit := site.Bounds.ExtraRatio*float64(requested) + float64(site.Bounds.ExtraSlack); float64(n) > limit {
				c.report("extra attempts stay within their bound", "", fmt.Sprintf("service %s: %d extra attempts for %d requests", name, n, requested))
				break
			}
		}
	}
}

// checkColdRate checks the bound on requests per second to a cold upstream.
func (c *Checker) checkColdRate() {
	if !c.timed {
		return
	}
	arrivals := make(map[string][]time.Time)
	for _, q := range c.Settled {
		for _, a := range q.Arrivals {
			if slices.ContainsFunc(c.Cold[a.Upstream], func(s record.Span) bool { return s.Overlaps(a.At, a.At) }) {
				arrivals[a.Upstream] = append(arrivals[a.Upstream], a.At)
			}
		}
	}
	for name, times := range arrivals {
		for _, end := range times {
			if n := countBetween(times, end.Add(-time.Second), end); float64(n) > site.MaxColdRate {
				c.report("a cold upstream gets no more than it bears", "", fmt.Sprintf("upstream %s: %d requests within one second", name, n))
				break
			}
		}
	}
}

// countBetween returns the number of times after the first moment and not after the second.
func countBetween(times []time.Time, after, until time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(after) && !t.After(until) {
			n++
		}
	}
	return n
}

// String returns the number of checked requests by outcome in one line.
func (c *Checker) String() string {
	var parts []string
	for name, n := range c.outcomes {
		parts = append(parts, fmt.Sprintf("%s %d", name, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
