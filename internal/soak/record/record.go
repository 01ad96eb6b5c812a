// Package record keeps what callers, upstreams and operators saw during a soak.
package record

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"crocuswing/internal/routing/route"
	"crocuswing/internal/standin/replica"
)

// Request is one attempt of a caller.
type Request struct {
	ID, Method, Path string
	// Instance and Process tell who got it: the name and the number of the start.
	Instance      string
	ProcessNumber int
	Sent, Ended   time.Time
	// Timeout is how long the caller said that it waits.
	Timeout time.Duration
	// Canceled tells that the caller left before the answer.
	Canceled bool
	// Status is 0 if there was no answer; Err tells why.
	Status int
	Header http.Header
	Body   []byte
	Err    error
	// Arrivals are those at upstreams.
	Arrivals []Arrival
}

// Arrival is a request at an upstream of a service.
type Arrival struct {
	replica.Arrival
	Service, Domain string
}

// Version is a configuration and the time from which the store had it. Acked is zero until then.
type Version struct {
	Revision    int64
	Sent, Acked time.Time
	Routes      []route.Route
}

// Span is a time in which something was so; Until is zero while it lasts.
type Span struct {
	From, Until time.Time
}

// Overlaps tells whether the span and the time between two moments have a moment in common.
func (s Span) Overlaps(from, until time.Time) bool {
	return !until.Before(s.From) && (s.Until.IsZero() || !from.After(s.Until))
}

// Record is safe for concurrent use.
type Record struct {
	mu           sync.Mutex
	requests     map[string]*Request
	settled      []*Request // in the order of their ends
	unmatched    []Arrival
	versions     []Version
	draining     map[string]time.Time // by upstream, when the store had it
	cold         map[string][]Span    // by upstream
	excluded     map[string][]Span    // by failure domain
	disruptions  map[string][]Span    // by instance; the store's under ""
	plannedStops map[string][]Span    // planned, by instance
	findings     []Finding
}

// Finding is a broken promise.
type Finding struct {
	Guarantee string
	// ID is that of a request, if there is one.
	ID     string
	Detail string
	At     time.Time
}

// Store is the name under which the disturbances of the store stand.
const Store = ""

// New makes an empty record.
func New() *Record {
	return &Record{
		requests: make(map[string]*Request), draining: make(map[string]time.Time), cold: make(map[string][]Span),
		excluded: make(map[string][]Span), disruptions: make(map[string][]Span), plannedStops: make(map[string][]Span),
	}
}

// BeginRequest notes a request that is about to be sent.
func (r *Record) BeginRequest(q Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[q.ID] = &q
}

// EndRequest notes how a request ended.
func (r *Record) EndRequest(id string, at time.Time, status int, header http.Header, body []byte, canceled bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.requests[id]
	q.Ended, q.Status, q.Header, q.Body, q.Canceled, q.Err = at, status, header, body, canceled, err
	r.settled = append(r.settled, q)
}

// AddArrival notes a request at an upstream.
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

// SetVersion notes a configuration; a second time with the moment at which the store had it.
func (r *Record) SetVersion(v Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if last := len(r.versions) - 1; last >= 0 && r.versions[last].Revision == v.Revision {
		r.versions[last] = v
		return
	}
	r.versions = append(r.versions, v)
}

// MarkDraining notes that the store knows that an upstream gets no new work.
func (r *Record) MarkDraining(upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.draining[upstream]; !ok {
		r.draining[upstream] = time.Now()
	}
}

// ClearDraining takes Leave back, since the upstream has started again.
func (r *Record) ClearDraining(upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.draining, upstream)
}

// MarkExcluded notes that a failure domain gets no work, or gets it again.
func (r *Record) MarkExcluded(domain string, excluded bool) { r.markSpan(r.excluded, domain, excluded) }

// MarkCold notes that an upstream is cold, or no longer.
func (r *Record) MarkCold(upstream string, cold bool) { r.markSpan(r.cold, upstream, cold) }

// MarkDisrupted notes that an instance, or the store, is disturbed, or no longer.
func (r *Record) MarkDisrupted(name string, disrupted bool) {
	r.markSpan(r.disruptions, name, disrupted)
}

// WasDisrupted tells whether an instance, or the store, was disturbed between a moment and now.
func (r *Record) WasDisrupted(name string, since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	return slices.ContainsFunc(r.disruptions[name], func(s Span) bool { return s.Overlaps(since, now) })
}

// MarkStopping notes that a planned stop begins, or has ended.
func (r *Record) MarkStopping(instance string, stopping bool) {
	r.markSpan(r.plannedStops, instance, stopping)
}

// markSpan begins a span or ends the first one that lasts.
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

// AddFinding notes a broken promise.
func (r *Record) AddFinding(guarantee, id, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.findings = append(r.findings, Finding{Guarantee: guarantee, ID: id, Detail: detail, At: time.Now()})
}

// Findings gives all broken promises.
func (r *Record) Findings() []Finding {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Finding(nil), r.findings...)
}

// Snapshot is a record at one moment. What it holds does not change, but for requests that have not settled.
type Snapshot struct {
	// Settled are the requests that ended before the moment that was asked for, in the order of their ends.
	Settled   []Request
	Unmatched []Arrival
	// Unfinished is the number of requests without an end.
	Unfinished int
	Versions   []Version
	Draining   map[string]time.Time

	Excluded, Cold, Disruptions, PlannedStops map[string][]Span
}

// SnapshotBefore gives what is known of the requests that ended before a moment.
func (r *Record) SnapshotBefore(at time.Time) Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Snapshot{
		Unmatched: append([]Arrival(nil), r.unmatched...), Versions: append([]Version(nil), r.versions...),
		Unfinished: len(r.requests) - len(r.settled), Draining: make(map[string]time.Time, len(r.draining)),
		Excluded: cloneSpans(r.excluded), Cold: cloneSpans(r.cold), Disruptions: cloneSpans(r.disruptions), PlannedStops: cloneSpans(r.plannedStops),
	}
	for name, drainedAt := range r.draining {
		s.Draining[name] = drainedAt
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

func cloneSpans(spans map[string][]Span) map[string][]Span {
	clone := make(map[string][]Span, len(spans))
	for name, list := range spans {
		clone[name] = append([]Span(nil), list...)
	}
	return clone
}
