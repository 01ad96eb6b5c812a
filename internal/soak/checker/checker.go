// Package checker decides whether the instances under test kept their promises, from what callers and upstreams observed during
// a soak test. It reads snapshots of the record, reports each broken promise and sends no requests itself.
package checker

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"crocuswing/internal/routing/route"
	"crocuswing/internal/soak/record"
	"crocuswing/internal/soak/site"
	"crocuswing/internal/standin/replica"
)

const (
	// stabilizationTime is how long an instance and the store must have been undisrupted before promises with time limits apply.
	stabilizationTime = 4 * time.Second
	// revertTolerance is how long after a request that used a configuration version another request may use an older version.
	revertTolerance = 250 * time.Millisecond
	// exclusionDelay is how long a failure domain may still receive work after it was excluded.
	exclusionDelay = 5 * time.Second
	// lateTolerance is how long after its timeout a request may be answered, and how long after its caller has left it may be
	// forwarded.
	lateTolerance = 500 * time.Millisecond
	// unreadTolerance is how long before the close of a connection a request may have been sent and remain unanswered, since a
	// stopping instance may not have read it.
	unreadTolerance = 200 * time.Millisecond
)

// Checker checks requests after they have settled. It is not safe for concurrent use.
type Checker struct {
	headers        replica.HeaderNames
	recordsPerPart int
	// timed enables the checks of promises with time limits.
	timed  bool
	report func(promise, id, detail string)

	record.Snapshot
	checked           int                      // number of settled requests already checked
	reportedUnmatched int                      // number of unmatched arrivals already reported
	observed          map[string][]observation // by process
	outcomes          map[string]int
}

// observation records that a process used a revision, or a newer one, at a point in time.
type observation struct {
	at       time.Time
	revision int64
}

// New returns a checker that passes each broken promise to report. timed enables the checks of promises with time limits.
func New(headers replica.HeaderNames, recordsPerPart int, timed bool, report func(promise, id, detail string)) *Checker {
	return &Checker{headers: headers, recordsPerPart: recordsPerPart, timed: timed, report: report, observed: make(map[string][]observation), outcomes: make(map[string]int)}
}

// Check checks the requests and the unmatched arrivals that are new since the previous call.
func (c *Checker) Check(s record.Snapshot) {
	c.Snapshot = s
	for ; c.reportedUnmatched < len(s.Unmatched); c.reportedUnmatched++ {
		a := s.Unmatched[c.reportedUnmatched]
		c.report("upstreams get only what callers sent", a.ID, fmt.Sprintf("%s %s reached %s", a.Method, a.Target, a.Upstream))
	}
	for ; c.checked < len(s.Settled); c.checked++ {
		q := s.Settled[c.checked]
		c.outcomes[outcome(q)]++
		c.checkUntimed(q)
		if c.timed {
			c.checkTimed(q)
		}
	}
}

// Finish checks the remaining requests and the promises that need the complete record.
func (c *Checker) Finish(s record.Snapshot) {
	c.Check(s)
	c.checked = 0
	for _, q := range s.Settled {
		c.checkRuns(q) // an upstream may have run the request after it was checked
	}
	c.checkQuotas()
	c.checkExtraAttempts()
	c.checkColdRate()
	if s.Unfinished > 0 {
		c.report("every request ends", "", fmt.Sprintf("%d requests have not ended", s.Unfinished))
	}
}

// OutcomeCounts returns the number of checked requests by outcome: the status code, or why there is none.
func (c *Checker) OutcomeCounts() map[string]int { return c.outcomes }

func outcome(q record.Request) string {
	switch {
	case q.Canceled:
		return "left"
	case q.Status == 0:
		return "no answer"
	}
	return fmt.Sprint(q.Status)
}

// checkUntimed checks the promises without time limits, which also hold during disruptions.
func (c *Checker) checkUntimed(q record.Request) {
	c.checkRuns(q)
	c.checkKey(q)
	for _, a := range q.Arrivals {
		if a.Method != q.Method || a.Target != q.Path {
			c.report("requests are passed on unchanged", q.ID, fmt.Sprintf("sent %s %s, upstream received %s %s", q.Method, q.Path, a.Method, a.Target))
		}
		if a.Ran && len(c.versionsRouting(q.Path, a.Service)) == 0 {
			c.report("requests go where a configuration sends them", q.ID, fmt.Sprintf("%s ran at service %s", q.Path, a.Service))
		}
	}
	if q.Status/100 != 2 {
		return
	}
	if strings.HasPrefix(q.Path, site.SearchPath) {
		if defect := c.mergedDefect(q); defect != "" {
			c.report("a merged answer is whole", q.ID, defect)
		}
		return
	}
	upstream, ok := strings.CutSuffix(q.Header.Get(c.headers.Proof), "."+q.ID)
	switch {
	case !ok:
		c.report("an answer is an upstream's own", q.ID, fmt.Sprintf("proof %q does not match the request", q.Header.Get(c.headers.Proof)))
	case string(q.Body) != string(replica.Part(upstream, q.ID, c.recordsPerPart)):
		c.report("an answer is whole", q.ID, fmt.Sprintf("unexpected body of %d bytes", len(q.Body)))
	}
}

// checkRuns checks how often and on how many upstreams a request ran: an order at most once, any request on at most MaxAttempts
// upstreams of a service, and a refused request not at all.
func (c *Checker) checkRuns(q record.Request) {
	runs := make(map[string]map[string]bool)
	total := 0
	for _, a := range q.Arrivals {
		if !a.Ran {
			continue
		}
		total++
		if runs[a.Service] == nil {
			runs[a.Service] = make(map[string]bool)
		}
		runs[a.Service][a.Upstream] = true
	}
	if strings.HasPrefix(q.Path, site.OrderPath) && total > 1 {
		c.report("a request that may run once runs once", q.ID, fmt.Sprintf("ran %d times, want at most 1", total))
	}
	for name, upstreams := range runs {
		if len(upstreams) > site.MaxAttempts {
			c.report("a request runs on no more upstreams than its route allows", q.ID, fmt.Sprintf("ran on %d upstreams of service %s", len(upstreams), name))
		}
	}
	switch q.Status {
	case http.StatusUnauthorized, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if total > 0 {
			c.report("what is refused has not run", q.ID, fmt.Sprintf("status %d, but ran %d times", q.Status, total))
		}
	}
}

// mergedDefect returns what is wrong with a merged search answer, or an empty string if the answer is correct for the first
// configuration version that has its parts.
func (c *Checker) mergedDefect(q record.Request) string {
	services, records, defect := c.answerParts(q)
	if defect != "" {
		return defect
	}
	missing := 0
	if text := q.Header.Get(c.headers.Missing); text != "" {
		if _, err := fmt.Sscan(text, &missing); err != nil {
			return fmt.Sprintf("number of missing parts %q is not an integer", text)
		}
	}
	for _, v := range c.Versions {
		r, ok := findRoute(v, q.Path)
		if !ok || len(r.Shards) != len(services)+missing || !isSubset(services, r.Shards) {
			continue
		}
		switch {
		case float64(len(services)) < r.MinShare*float64(len(r.Shards)):
			return fmt.Sprintf("%d of %d parts are below the minimum share", len(services), len(r.Shards))
		case strings.Join(records[:min(r.TopK, len(records))], "") != string(q.Body):
			return "the records are not the greatest of the parts"
		}
		return ""
	}
	return fmt.Sprintf("%d parts and %d missing match no configuration", len(services), missing)
}

// answerParts returns the services whose parts a merged answer lists by their proofs, and the records of these parts in
// descending order. defect is not empty if no upstream that ran the request matches a proof, or if a service has two parts.
func (c *Checker) answerParts(q record.Request) (services map[string]bool, records []string, defect string) {
	services = make(map[string]bool)
	for proof := range strings.SplitSeq(strings.Join(q.Header[c.headers.Proofs], ","), ",") {
		upstream, ok := strings.CutSuffix(strings.TrimSpace(proof), "."+q.ID)
		i := slices.IndexFunc(q.Arrivals, func(a record.Arrival) bool { return a.Upstream == upstream && a.Ran })
		switch {
		case !ok, i < 0:
			return nil, nil, fmt.Sprintf("proof %q matches no upstream that ran the request", proof)
		case services[q.Arrivals[i].Service]:
			return nil, nil, q.Arrivals[i].Service + " has two parts"
		}
		services[q.Arrivals[i].Service] = true
		part := replica.Part(upstream, q.ID, c.recordsPerPart)
		for ; len(part) > 0; part = part[recordBytes:] {
			records = append(records, string(part[:recordBytes]))
		}
	}
	slices.Sort(records)
	slices.Reverse(records)
	return services, records, ""
}

// recordBytes is the size of one record in a part. It equals the constant of the same name in package replica.
const recordBytes = 16

// isSubset reports whether all services are among the shards.
func isSubset(services map[string]bool, shards []string) bool {
	for name := range services {
		if !slices.Contains(shards, name) {
			return false
		}
	}
	return true
}

// findRoute returns the route with the longest prefix of path in version v. It does not use the routing table, because that is
// under test.
func findRoute(v record.Version, path string) (route.Route, bool) {
	var best route.Route
	for _, r := range v.Routes {
		if strings.HasPrefix(path, r.Prefix) && len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	return best, best.Prefix != ""
}

// versionsRouting returns the indexes of the versions that route path to service, in ascending order.
func (c *Checker) versionsRouting(path, service string) []int {
	var versions []int
	for i, v := range c.Versions {
		r, ok := findRoute(v, path)
		if ok && (slices.Contains(r.Shards, service) || slices.ContainsFunc(r.Destinations, func(d route.Destination) bool { return d.Service == service })) {
			versions = append(versions, i)
		}
	}
	return versions
}
