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
	Instance    string
	Process     int
	Sent, Ended time.Time
	// Wait is how long the caller said that it waits.
	Wait time.Duration
	// Left tells that the caller left before the answer.
	Left bool
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
	unasked      []Arrival
	versions     []Version
	leaving      map[string]time.Time // by upstream, when the store had it
	cold         map[string][]Span    // by upstream
	out          map[string][]Span    // by failure domain
	disturbances map[string][]Span    // by instance; the store's under ""
	stops        map[string][]Span    // planned, by instance
	findings     []Finding
}

// Finding is a broken promise.
type Finding struct {
	Promise string
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
		requests: make(map[string]*Request), leaving: make(map[string]time.Time), cold: make(map[string][]Span),
		out: make(map[string][]Span), disturbances: make(map[string][]Span), stops: make(map[string][]Span),
	}
}

// Begin notes a request that is about to be sent.
func (r *Record) Begin(q Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[q.ID] = &q
}

// End notes how a request ended.
func (r *Record) End(id string, at time.Time, status int, h http.Header, body []byte, left bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.requests[id]
	q.Ended, q.Status, q.Header, q.Body, q.Left, q.Err = at, status, h, body, left, err
	r.settled = append(r.settled, q)
}

// Arrive notes a request at an upstream.
func (r *Record) Arrive(a Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q, ok := r.requests[a.ID]
	if !ok {
		r.unasked = append(r.unasked, a)
		return
	}
	q.Arrivals = append(q.Arrivals, a)
}

// Configure notes a configuration; a second time with the moment at which the store had it.
func (r *Record) Configure(v Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if last := len(r.versions) - 1; last >= 0 && r.versions[last].Revision == v.Revision {
		r.versions[last] = v
		return
	}
	r.versions = append(r.versions, v)
}

// Leave notes that the store knows that an upstream gets no new work.
func (r *Record) Leave(upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.leaving[upstream]; !ok {
		r.leaving[upstream] = time.Now()
	}
}

// Stay takes Leave back, since the upstream has started again.
func (r *Record) Stay(upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.leaving, upstream)
}

// SetOut notes that a failure domain gets no work, or gets it again.
func (r *Record) SetOut(domain string, out bool) { r.mark(r.out, domain, out) }

// SetCold notes that an upstream is cold, or no longer.
func (r *Record) SetCold(upstream string, cold bool) { r.mark(r.cold, upstream, cold) }

// Disturb notes that an instance, or the store, is disturbed, or no longer.
func (r *Record) Disturb(name string, disturbed bool) { r.mark(r.disturbances, name, disturbed) }

// IsDisturbed tells whether an instance, or the store, was disturbed between a moment and now.
func (r *Record) IsDisturbed(name string, since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	return slices.ContainsFunc(r.disturbances[name], func(s Span) bool { return s.Overlaps(since, now) })
}

// Stop notes that a planned stop begins, or has ended.
func (r *Record) Stop(instance string, stopping bool) { r.mark(r.stops, instance, stopping) }

// mark begins a span or ends the first one that lasts.
func (r *Record) mark(spans map[string][]Span, name string, begins bool) {
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

// Find notes a broken promise.
func (r *Record) Find(promise, id, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.findings = append(r.findings, Finding{Promise: promise, ID: id, Detail: detail, At: time.Now()})
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
	Settled []Request
	Unasked []Arrival
	// Open is the number of requests without an end.
	Open     int
	Versions []Version
	Leaving  map[string]time.Time

	Out, Cold, Disturbances, Stops map[string][]Span
}

// Before gives what is known of the requests that ended before a moment.
func (r *Record) Before(at time.Time) Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Snapshot{
		Unasked: append([]Arrival(nil), r.unasked...), Versions: append([]Version(nil), r.versions...),
		Open: len(r.requests) - len(r.settled), Leaving: make(map[string]time.Time, len(r.leaving)),
		Out: clone(r.out), Cold: clone(r.cold), Disturbances: clone(r.disturbances), Stops: clone(r.stops),
	}
	for name, left := range r.leaving {
		s.Leaving[name] = left
	}
	for _, q := range r.settled {
		if q.Ended.Before(at) {
			kept := *q
			kept.Arrivals = append([]Arrival(nil), q.Arrivals...)
			s.Settled = append(s.Settled, kept)
		}
	}
	return s
}

func clone(spans map[string][]Span) map[string][]Span {
	out := make(map[string][]Span, len(spans))
	for name, of := range spans {
		out[name] = append([]Span(nil), of...)
	}
	return out
}
