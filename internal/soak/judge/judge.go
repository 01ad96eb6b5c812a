// Package judge checks the promises of an instance against what callers and upstreams saw.
package judge

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
	// stable is how long an instance and the store have to be undisturbed before promises with times hold.
	stable = 4 * time.Second
	// revert is how long after a request that saw a version another one may still see an older one.
	revert = 250 * time.Millisecond
	// outTime is how long a failure domain that is taken out may still get work.
	outTime = 5 * time.Second
	// late is how long after its time a request may be answered, and after the end of its caller be sent on.
	late = 500 * time.Millisecond
	// cutSlack is how long before the close of a connection a request may have been sent that is not answered.
	cutSlack = 200 * time.Millisecond
)

// Judge looks at each request once. It is used by one goroutine.
type Judge struct {
	names   replica.Names
	records int
	// timed tells whether promises with times are checked.
	timed bool
	find  func(promise, id, detail string)

	record.Snapshot
	seen    int // requests that were judged
	unasked int // arrivals without a request that were told
	showed  map[string][]showing
	kinds   map[string]int
}

// showing is a request that showed a revision.
type showing struct {
	at       time.Time
	revision int64
}

// New makes a judge that tells findings to find.
func New(n replica.Names, records int, timed bool, find func(promise, id, detail string)) *Judge {
	return &Judge{names: n, records: records, timed: timed, find: find, showed: make(map[string][]showing), kinds: make(map[string]int)}
}

// Look judges what has settled since the last time.
func (j *Judge) Look(s record.Snapshot) {
	j.Snapshot = s
	for ; j.unasked < len(s.Unasked); j.unasked++ {
		a := s.Unasked[j.unasked]
		j.find("upstreams get only what callers sent", a.ID, fmt.Sprintf("%s %s reached %s", a.Method, a.Target, a.Upstream))
	}
	for ; j.seen < len(s.Settled); j.seen++ {
		q := s.Settled[j.seen]
		j.kinds[kind(q)]++
		j.sound(q)
		if j.timed {
			j.inTime(q)
		}
	}
}

// End judges what needs the whole record.
func (j *Judge) End(s record.Snapshot) {
	j.Look(s)
	j.seen = 0
	for _, q := range s.Settled {
		j.once(q) // runs may have come after the request was judged
	}
	j.extra()
	j.coldRate()
	if s.Open > 0 {
		j.find("every request ends", "", fmt.Sprintf("%d have not", s.Open))
	}
}

// Kinds counts the judged requests by how they ended.
func (j *Judge) Kinds() map[string]int { return j.kinds }

func kind(q record.Request) string {
	switch {
	case q.Left:
		return "left"
	case q.Status == 0:
		return "no answer"
	}
	return fmt.Sprint(q.Status)
}

// sound checks what holds at any time.
func (j *Judge) sound(q record.Request) {
	j.once(q)
	for _, a := range q.Arrivals {
		if a.Method != q.Method || a.Target != q.Path {
			j.find("requests are passed on unchanged", q.ID, fmt.Sprintf("%s %s became %s %s", q.Method, q.Path, a.Method, a.Target))
		}
		if a.Ran && len(j.naming(q.Path, a.Service)) == 0 {
			j.find("requests go where a configuration sends them", q.ID, fmt.Sprintf("%s ran at %s", q.Path, a.Service))
		}
	}
	if q.Status/100 != 2 {
		return
	}
	if strings.HasPrefix(q.Path, site.SearchPath) {
		if fault := j.merged(q); fault != "" {
			j.find("a merged answer is whole", q.ID, fault)
		}
		return
	}
	upstream, ok := strings.CutSuffix(q.Header.Get(j.names.Seal), "."+q.ID)
	switch {
	case !ok:
		j.find("an answer is an upstream's own", q.ID, fmt.Sprintf("proof %q", q.Header.Get(j.names.Seal)))
	case string(q.Body) != string(replica.Part(upstream, q.ID, j.records)):
		j.find("an answer is whole", q.ID, fmt.Sprintf("%d bytes", len(q.Body)))
	}
}

// once checks what bounds the runs of a request.
func (j *Judge) once(q record.Request) {
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
		j.find("a request that may run once runs once", q.ID, fmt.Sprintf("ran %d times", total))
	}
	for name, at := range runs {
		if len(at) > site.MaxAttempts {
			j.find("a request runs on no more upstreams than its route allows", q.ID, fmt.Sprintf("%d of %s", len(at), name))
		}
	}
	switch q.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if total > 0 {
			j.find("what is refused has not run", q.ID, fmt.Sprintf("%d, but ran %d times", q.Status, total))
		}
	}
}

// merged gives what is wrong with an answer of a search.
func (j *Judge) merged(q record.Request) string {
	services, all, fault := j.parts(q)
	if fault != "" {
		return fault
	}
	missing := 0
	if text := q.Header.Get(j.names.Missing); text != "" {
		if _, err := fmt.Sscan(text, &missing); err != nil {
			return fmt.Sprintf("%q parts are missing", text)
		}
	}
	for _, v := range j.Versions {
		r, ok := find(v, q.Path)
		if !ok || len(r.Shards) != len(services)+missing || !subset(services, r.Shards) {
			continue
		}
		switch {
		case float64(len(services)) < r.MinShare*float64(len(r.Shards)):
			return fmt.Sprintf("%d of %d parts are too few", len(services), len(r.Shards))
		case strings.Join(all[:min(r.TopK, len(all))], "") != string(q.Body):
			return "the records are not the greatest of the parts"
		}
		return ""
	}
	return fmt.Sprintf("%d parts and %d missing are those of no configuration", len(services), missing)
}

// parts gives the services whose parts an answer names, and the records of these, the greatest first.
func (j *Judge) parts(q record.Request) (services map[string]bool, all []string, fault string) {
	services = make(map[string]bool)
	for proof := range strings.SplitSeq(strings.Join(q.Header[j.names.Proofs], ","), ",") {
		upstream, ok := strings.CutSuffix(strings.TrimSpace(proof), "."+q.ID)
		i := slices.IndexFunc(q.Arrivals, func(a record.Arrival) bool { return a.Upstream == upstream && a.Ran })
		switch {
		case !ok, i < 0:
			return nil, nil, fmt.Sprintf("%q proves nothing", proof)
		case services[q.Arrivals[i].Service]:
			return nil, nil, q.Arrivals[i].Service + " has two parts"
		}
		services[q.Arrivals[i].Service] = true
		part := replica.Part(upstream, q.ID, j.records)
		for ; len(part) > 0; part = part[recordBytes:] {
			all = append(all, string(part[:recordBytes]))
		}
	}
	slices.Sort(all)
	slices.Reverse(all)
	return services, all, ""
}

// recordBytes is the size of a record.
const recordBytes = 16

func subset(services map[string]bool, of []string) bool {
	for name := range services {
		if !slices.Contains(of, name) {
			return false
		}
	}
	return true
}

// find gives the route of a path with the longest prefix. It does not use the routing table, which is under test.
func find(v record.Version, path string) (route.Route, bool) {
	var best route.Route
	for _, r := range v.Routes {
		if strings.HasPrefix(path, r.Prefix) && len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	return best, best.Prefix != ""
}

// naming gives the indexes of the versions that let a service run requests of a path.
func (j *Judge) naming(path, service string) []int {
	var all []int
	for i, v := range j.Versions {
		r, ok := find(v, path)
		if ok && (slices.Contains(r.Shards, service) || slices.ContainsFunc(r.Destinations, func(d route.Destination) bool { return d.Service == service })) {
			all = append(all, i)
		}
	}
	return all
}
