// Package record holds what callers, upstreams and operators observed during a soak test. Traffic, upstreams and the fault
// injector write to it; the checker reads snapshots of it.
package record

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"crocuswing/internal/routing/route"
	"crocuswing/internal/standin/replica"
	"crocuswing/internal/standin/workspace"
)

// Request is one request of a caller.
type Request struct {
	ID, Method, Path string
	// Instance and ProcessNumber identify the process that the request was sent to: the name of the instance and the number of
	// its starts at that time.
	Instance      string
	ProcessNumber int
	Sent, Ended   time.Time
	// Timeout is the time limit that the caller sent with the request.
	Timeout time.Duration
	// Key is the key that the caller sent, or empty. IsEntitled reports whether the newest configuration held it, without a quota.
	Key        string
	IsEntitled bool
	// Canceled reports whether the caller left before an answer arrived.
	Canceled bool
	// Status is 0 if there was no answer; Err is the reason.
	Status int
	Header http.Header
	Body   []byte
	Err    error
	// Arrivals are the arrivals of the request at upstreams.
	Arrivals []Arrival
}

// Arrival is the arrival of a request at an upstream of a service.
type Arrival struct {
	replica.Arrival
	Service, Domain string
}

// Version is a configuration with the times at which it was sent to the store and acknowledged by it. Acked is zero until the
// store has acknowledged it.
type Version struct {
	Revision    int64
	Sent, Acked time.Time
	Routes      []route.Route
	Workspaces  []workspace.Workspace
}

// Span is a period of time during which a state lasted. Until is zero while it still lasts.
type Span struct {
	From, Until time.Time
}

// Overlaps reports whether the span and the period between from and until overlap. Both ends are inclusive.
func (s Span) Overlaps(from, until time.Time) bool {
	return !until.Before(s.From) && (s.Until.IsZero() || !from.After(s.Until))
}

// Record collects the observations of one soak test. It is safe for concurrent use.
type Record struct {
	mu           sync.Mutex
	requests     map[string]*Request
	settled      []*Request // in the order in which they ended
	unmatched    []Arrival
	versions     []Version
	draining     map[string]time.Time // by upstream, the time at which the store had the registration
	cold         map[string][]Span    // by upstream
	excluded     map[string][]Span    // by failure domain
	disruptions  map[string][]Span    // by instance; those of the store under Store
	plannedStops map[string][]Span    // by instance
	restored     map[string][]Span    // only under Store
	findings     []Finding
}

// Finding is a broken promise.
type Finding struct {
	Promise string
	// ID is the ID of the request, or empty if the finding is not about a single request.
	ID     string
	Detail string
	At     time.Time
}

// Store is the name under which disruptions of the store are recorded.
const Store = ""

// New returns an empty record.
func New() *Record {
	return &Record{
		requests: make(map[string]*Request), draining: make(map[string]time.Time), cold: make(map[string][]Span),
		excluded: make(map[string][]Span), disruptions: make(map[string][]Span), plannedStops: make(map[string][]Span),
		restored: make(map[string][]Span),
	}
}

// BeginRequest records a request that is about to be sent.
func (r *Record) BeginRequest(q Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[q.ID] = &q
}

// EndRequest records the result of a request that BeginRequest recorded.
func (r *Record) EndRequest(id string, at time.Time, status int, header http.Header, body []byte, canceled bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.requests[id]
	q.Ended, q.Status, q.Header, q.Body, q.Canceled, q.Err = at, status, header, body, canceled, err
	r.settled = append(r.settled, q)
}

// AddArrival records the arrival of a request at an upstream. An arrival whose request ID is unknown is unmatched.
func (r *Record) AddArrival(a Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q, ok := r.requests[a.ID]
	if !ok {
		r.unmatched = append(r.unmatched, a)
		return
	}
	q.Arrivals = append(q.Arrivals, a)
}

// SetVersion records a configuration. It is called a second time with the time at which the store acknowledged it.
func (r *Record) SetVersion(v Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if last := len(r.versions) - 1; last >= 0 && r.versions[last].Revision == v.Revision {
		r.versions[last] = v
		return
	}
	r.versions = append(r.versions, v)
}

// MarkDraining records that the store has the registration of an upstream as draining.
func (r *Record) MarkDraining(upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.draining[upstream]; !ok {
		r.draining[upstream] = time.Now()
	}
}

// ClearDraining records that an upstream is no longer draining, since it has started again.
func (r *Record) ClearDraining(upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.draining, upstream)
}

// MarkExcluded records that a failure domain is excluded, or no longer excluded.
func (r *Record) MarkExcluded(domain string, excluded bool) { r.markSpan(r.excluded, domain, excluded) }

// MarkCold records that an upstream is cold, or no longer cold.
func (r *Record) MarkCold(upstream string, cold bool) { r.markSpan(r.cold, upstream, cold) }

// MarkDisrupted records that a disruption of an instance or the store begins or ends.
func (r *Record) MarkDisrupted(name string, disrupted bool) {
	r.markSpan(r.disruptions, name, disrupted)
}

// WasDisrupted reports whether an instance or the store was disrupted at any time since the given one.
func (r *Record) WasDisrupted(name string, since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	return slices.ContainsFunc(r.disruptions[name], func(s Span) bool { return s.Overlaps(since, now) })
}

// MarkRestored records that the store came back from an older copy, or that what it had lost is written again.
func (r *Record) MarkRestored(restored bool) { r.markSpan(r.restored, Store, restored) }

// MarkStopping records that a planned stop begins, or has ended with the restart of the instance.
func (r *Record) MarkStopping(instance string, stopping bool) {
	r.markSpan(r.plannedStops, instance, stopping)
}

// markSpan begins a span or ends the first span that still lasts. Spans of one name may overlap.
func (r *Record) markSpan(spans map[string][]Span, name string, begins bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if begins {
		spans[name] = append(spans[name], Span{From: time.Now()})
		return
	}
	for i := range spans[name] {
		if spans[name][i].Until.IsZero() {
			spans[name][i].Until = time.Now()
			return
		}
	}
}

// AddFinding records a broken promise. id is empty if the finding is not about a single request.
func (r *Record) AddFinding(promise, id, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.findings = append(r.findings, Finding{Promise: promise, ID: id, Detail: detail, At: time.Now()})
}

// Findings returns all broken promises.
func (r *Record) Findings() []Finding {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Finding(nil), r.findings...)
}

// Snapshot is a copy of a record at one point in time. Its contents do not change when the record does.
type Snapshot struct {
	// Settled are the requests that ended before the time given to SnapshotBefore, in the order in which they ended.
	Settled   []Request
	Unmatched []Arrival
	// Unfinished is the number of requests that have not ended.
	Unfinished int
	Versions   []Version
	Draining   map[string]time.Time

	Excluded, Cold, Disruptions, PlannedStops map[string][]Span
	// Restored are the periods from a return of the store from an older copy until what it had lost is written again.
	Restored []Span
}

// SnapshotBefore returns a snapshot of the record whose settled requests are those that ended before the given time.
func (r *Record) SnapshotBefore(at time.Time) Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Snapshot{
		Unmatched: append([]Arrival(nil), r.unmatched...), Versions: append([]Version(nil), r.versions...),
		Unfinished: len(r.requests) - len(r.settled), Draining: make(map[string]time.Time, len(r.draining)),
		Excluded: cloneSpans(r.excluded), Cold: cloneSpans(r.cold), Disruptions: cloneSpans(r.disruptions), PlannedStops: cloneSpans(r.plannedStops),
		Restored: append([]Span(nil), r.restored[Store]...),
	}
	for name, since := range r.draining {
		s.Draining[name] = since
	}
	for _, q := range r.settled {
		if q.Ended.Before(at) {
			settled := *q
			settled.Arrivals = append([]Arrival(nil), q.Arrivals...)
			s.Settled = append(s.Settled, settled)
		}
	}
	return s
}

// cloneSpans returns a deep copy of spans.
func cloneSpans(spans map[string][]Span) map[string][]Span {
	clone := make(map[string][]Span, len(spans))
	for name, list := range spans {
		clone[name] = append([]Span(nil), list...)
	}
	return clone
}
