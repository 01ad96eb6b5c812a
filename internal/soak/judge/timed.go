package judge

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"crocuswing/internal/soak/record"
	"crocuswing/internal/soak/site"
)

// inTime checks what holds for instances that are not disturbed.
func (j *Judge) inTime(q record.Request) {
	j.ended(q)
	j.cut(q)
	j.placed(q)
	j.configured(q)
}

// isCalm tells whether neither the instance nor the store was disturbed between two moments, nor for a while before.
func (j *Judge) isCalm(instance string, from, until time.Time) bool {
	for _, name := range []string{instance, record.Store} {
		for _, d := range j.Disturbances[name] {
			if d.Overlaps(from.Add(-stable), until) {
				return false
			}
		}
	}
	return true
}

// inTouch tells whether the instance was also neither stopped nor started.
func (j *Judge) inTouch(instance string, from, until time.Time) bool {
	return j.isCalm(instance, from, until) && !j.isStopping(instance, from.Add(-stable), until)
}

func (j *Judge) isStopping(instance string, from, until time.Time) bool {
	return slices.ContainsFunc(j.Stops[instance], func(s record.Span) bool { return s.Overlaps(from, until) })
}

// ended checks that requests end in time and that nobody works for callers that left.
func (j *Judge) ended(q record.Request) {
	if !j.inTouch(q.Instance, q.Sent, q.Ended) {
		return
	}
	wait := min(q.Wait, site.Timeout)
	if q.Ended.Sub(q.Sent) > wait+late {
		j.find("a request ends in its time", q.ID, fmt.Sprintf("took %v of %v", q.Ended.Sub(q.Sent), wait))
	}
	for _, a := range q.Arrivals {
		if q.Left && a.At.Sub(q.Ended) > late {
			j.find("nothing is sent on for a caller that left", q.ID, fmt.Sprintf("%v after it left", a.At.Sub(q.Ended)))
		}
	}
}

// cut checks that no request is cut that was sent on, nor one that a stopping process has read.
func (j *Judge) cut(q record.Request) {
	if q.Left || q.Status != 0 || !j.isCalm(q.Instance, q.Sent, q.Ended) {
		return
	}
	took := q.Ended.Sub(q.Sent)
	if len(q.Arrivals) > 0 || took > cutSlack && j.isStopping(q.Instance, q.Sent, q.Ended) {
		j.find("what was read is answered, also at a planned stop", q.ID, fmt.Sprintf("cut after %v: %v", took, q.Err))
	}
}

// placed checks that upstreams that leave and failure domains that are out get nothing after a while.
func (j *Judge) placed(q record.Request) {
	for _, a := range q.Arrivals {
		left, ok := j.Leaving[a.Upstream]
		if ok && a.At.Sub(left) > site.Bounds.DrainTime && j.inTouch(q.Instance, left, a.At) {
			j.find("an upstream that leaves gets no work", q.ID, fmt.Sprintf("%s, %v later", a.Upstream, a.At.Sub(left)))
		}
		for _, out := range j.Out[a.Domain] {
			if a.At.Sub(out.From) > outTime && out.Overlaps(a.At, a.At) && j.inTouch(q.Instance, out.From, a.At) {
				j.find("a failure domain that is out gets no work", q.ID, fmt.Sprintf("%s, %v later", a.Domain, a.At.Sub(out.From)))
			}
		}
	}
}

// configured checks that a request is handled by a version that is new enough.
func (j *Judge) configured(q record.Request) {
	newest, ok := j.newest(q)
	if !ok {
		return
	}
	handled := j.Versions[newest]
	for _, v := range j.Versions[newest+1:] {
		if v.Acked.IsZero() || q.Sent.Sub(v.Acked) <= site.Bounds.MaxApplyTime || !j.inTouch(q.Instance, v.Acked, q.Ended) {
			continue
		}
		j.find("a configuration is in force in time", q.ID, fmt.Sprintf("%v after revision %d handled as by %d at the most", q.Sent.Sub(v.Acked), v.Revision, handled.Revision))
		break
	}
	process := fmt.Sprintf("%s/%d", q.Instance, q.Process)
	for _, s := range j.showed[process] {
		if q.Sent.Sub(s.at) > revert && s.revision > handled.Revision {
			j.find("a revision never reverts", q.ID, fmt.Sprintf("%s showed revision %d, %v later handled as by %d at the most", process, s.revision, q.Sent.Sub(s.at), handled.Revision))
			break
		}
	}
	j.show(q, process)
}

// newest gives the newest version by which a request may have been handled, if what happened to it tells.
func (j *Judge) newest(q record.Request) (int, bool) {
	possible := j.possible(q)
	if len(possible) == 0 {
		return 0, false
	}
	return possible[len(possible)-1], true
}

// possible gives the versions by which a request may have been handled, none if what happened to it tells nothing.
func (j *Judge) possible(q record.Request) []int {
	if q.Status == http.StatusNotFound {
		var without []int
		for i, v := range j.Versions {
			if _, ok := find(v, q.Path); !ok {
				without = append(without, i)
			}
		}
		return without
	}
	for _, a := range q.Arrivals {
		if a.Ran {
			return j.naming(q.Path, a.Service)
		}
	}
	return nil
}

// show notes the oldest version that may explain a request: the process knew it by then.
func (j *Judge) show(q record.Request, process string) {
	oldest := j.possible(q)[0]
	if oldest == 0 {
		return
	}
	at := q.Ended
	for _, a := range q.Arrivals {
		if a.Ran && a.At.Before(at) {
			at = a.At
		}
	}
	j.showed[process] = append(j.showed[process], showing{at: at, revision: j.Versions[oldest].Revision})
}

// extra checks the bound of the attempts beyond the first of each request, which holds for all instances together.
func (j *Judge) extra() {
	if !j.timed {
		return
	}
	requests, extra := make(map[string][]time.Time), make(map[string][]time.Time)
	for _, q := range j.Settled {
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
			n := count(times, end.Add(-window), end)
			asked := max(count(requests[name], end.Add(-window), end), count(requests[name], end.Add(-2*window), end.Add(-window)),
				count(requests[name], end.Add(-3*window/2), end.Add(-window/2)))
			if most := site.Bounds.ExtraRatio*float64(asked) + float64(site.Bounds.ExtraSlack); float64(n) > most {
				j.find("extra attempts stay within their bound", "", fmt.Sprintf("%s: %d with %d requests", name, n, asked))
				break
			}
		}
	}
}

// coldRate checks the bound of the requests to an upstream that is cold.
func (j *Judge) coldRate() {
	if !j.timed {
		return
	}
	arrived := make(map[string][]time.Time)
	for _, q := range j.Settled {
		for _, a := range q.Arrivals {
			if slices.ContainsFunc(j.Cold[a.Upstream], func(s record.Span) bool { return s.Overlaps(a.At, a.At) }) {
				arrived[a.Upstream] = append(arrived[a.Upstream], a.At)
			}
		}
	}
	for name, times := range arrived {
		for _, end := range times {
			if n := count(times, end.Add(-time.Second), end); float64(n) > site.ColdBound {
				j.find("a cold upstream gets no more than it bears", "", fmt.Sprintf("%s: %d in a second", name, n))
				break
			}
		}
	}
}

func count(times []time.Time, after, until time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(after) && !t.After(until) {
			n++
		}
	}
	return n
}

// Kinds in one line.
func (j *Judge) String() string {
	var parts []string
	for name, n := range j.kinds {
		parts = append(parts, fmt.Sprintf("%s %d", name, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
