// Package upstream simulates one upstream server of the search and order services for tests and the demonstration.
//
// The simulated server follows the upstream contract over HTTP and keeps its own counts of the work that it received,
// so that a test can compare what the query tier reports with what happened.
package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"crocuswing/internal/upstream/contract"
	"crocuswing/internal/wire/header"
	"crocuswing/internal/wire/order"
	"crocuswing/internal/wire/part"
)

const (
	// RowsPerPart is the number of rows that each part contains.
	RowsPerPart = 2
	// DrainGracePeriod is the time after which a draining upstream must receive no new work.
	DrainGracePeriod = 2 * time.Second
	maxQueuedPerSlot = 4 // more requests are shed
	shedRetryAfterMS = 50
)

// Upstream is a simulated server with a limited number of slots and a warm-up after each start. It serves parts of its snapshots
// and runs orders. It is safe for concurrent use.
type Upstream struct {
	name     string
	contract contract.Contract
	slots    chan struct{}
	mux      *http.ServeMux

	mu          sync.Mutex
	rng         *rand.Rand
	incarnation int
	serviceTime time.Duration
	slowdown    float64
	warmupLeft  int // successful requests left until the upstream is warm
	snapshots   map[string]bool
	draining    bool
	graceEnd    time.Time // time after which new work is a violation; zero for none
	inFlight    int
	connections int
	counts      Counts
	orderRuns   map[string]int // by order body
}

// Counts holds the numbers of completed and shed requests and of contract violations that an upstream observed.
type Counts struct {
	Parts          int
	Orders         int
	ColdOverload   int // arrivals above the limit of cold slots during warm-up
	OverConnected  int // connections above the limit of the contract
	WorkAfterLeave int // arrivals after the grace period of a drain or an exclusion
	Shed           int
}

// New returns a cold upstream with the given mean service time. The seed determines the service times.
func New(name string, c contract.Contract, serviceTime time.Duration, seed uint64) *Upstream {
	u := &Upstream{
		name:        name,
		contract:    c,
		slots:       make(chan struct{}, c.Slots),
		mux:         http.NewServeMux(),
		rng:         rand.New(rand.NewPCG(seed, 1)),
		incarnation: 1,
		serviceTime: serviceTime,
		slowdown:    1,
		warmupLeft:  c.WarmAfter,
		snapshots:   make(map[string]bool),
		orderRuns:   make(map[string]int),
	}
	u.mux.HandleFunc("POST /v1/part", u.servePart)
	u.mux.HandleFunc("POST /v1/order", u.serveOrder)
	return u
}

// Name returns the upstream's name.
func (u *Upstream) Name() string { return u.name }

// SetSnapshots replaces the set of snapshots that the upstream serves.
func (u *Upstream) SetSnapshots(snapshots ...string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.snapshots = make(map[string]bool)
	for _, s := range snapshots {
		u.snapshots[s] = true
	}
}

// SetSlowdown multiplies all service times by factor.
func (u *Upstream) SetSlowdown(factor float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.slowdown = factor
}

// Restart makes the upstream cold and increments its incarnation.
func (u *Upstream) Restart() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.incarnation++
	u.warmupLeft = u.contract.WarmAfter
}

// SetDraining sets whether responses report the upstream as leaving. While they do, work that arrives after the grace period is
// counted as a violation.
func (u *Upstream) SetDraining(draining bool, grace time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = draining
	u.setGracePeriod(draining, grace)
}

// SetExcluded sets whether the upstream's failure domain is excluded. While it is, work that arrives after the grace period is
// counted as a violation. Responses do not report the exclusion.
func (u *Upstream) SetExcluded(excluded bool, grace time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.setGracePeriod(excluded, grace)
}

// setGracePeriod makes new work a violation once grace has passed if active is set, and never otherwise.
func (u *Upstream) setGracePeriod(active bool, grace time.Duration) {
	u.graceEnd = time.Time{}
	if active {
		u.graceEnd = time.Now().Add(grace)
	}
}

// Counts returns a copy of the current counts.
func (u *Upstream) Counts() Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.counts
}

// OrderRuns returns how often the order with the given body ran.
func (u *Upstream) OrderRuns(body string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.orderRuns[body]
}

// ConnState counts open connections. It is meant as the ConnState hook of the http.Server that serves the upstream.
func (u *Upstream) ConnState(_ net.Conn, s http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch s {
	case http.StateNew:
		u.connections++
		if u.connections > u.contract.Connections {
			u.counts.OverConnected++
		}
	case http.StateClosed, http.StateHijacked:
		u.connections--
	default:
	}
}

// ServeHTTP serves one part or order request.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	admitted := u.recordArrival(w)
	defer u.recordDeparture()
	if !admitted {
		u.shed(w)
		return
	}
	ctx := r.Context()
	if leftMS, err := strconv.Atoi(r.Header.Get(header.DeadlineMS)); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(leftMS)*time.Millisecond)
		defer cancel()
	}
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	case <-ctx.Done():
		u.shed(w)
		return
	}
	u.mux.ServeHTTP(w, r.WithContext(ctx))
}

// recordArrival counts an arriving request, sets the response headers that describe the upstream's state, and reports whether
// the request may wait for a slot.
func (u *Upstream) recordArrival(w http.ResponseWriter) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight++
	if u.warmupLeft > 0 && u.inFlight > u.contract.ColdSlots {
		u.counts.ColdOverload++
	}
	if !u.graceEnd.IsZero() && time.Now().After(u.graceEnd) {
		u.counts.WorkAfterLeave++
	}
	w.Header().Set(header.Incarnation, fmt.Sprintf("%s-%d", u.name, u.incarnation))
	w.Header().Set(header.State, u.state())
	w.Header().Set(header.Load, strconv.FormatFloat(u.load(), 'f', 2, 64))
	return u.inFlight <= u.contract.Slots*(1+maxQueuedPerSlot)
}

func (u *Upstream) recordDeparture() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight--
}

func (u *Upstream) state() string {
	switch {
	case u.draining:
		return "leaving"
	case u.warmupLeft > 0:
		return "cold"
	}
	return "serving"
}

func (u *Upstream) load() float64 {
	return min(1, float64(u.inFlight)/float64(u.contract.Slots))
}

func (u *Upstream) shed(w http.ResponseWriter) {
	u.mu.Lock()
	u.counts.Shed++
	u.mu.Unlock()
	w.Header().Set(header.NotRun, "true")
	w.Header().Set(header.RetryAfterMS, strconv.Itoa(shedRetryAfterMS))
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (u *Upstream) servePart(w http.ResponseWriter, r *http.Request) {
	var q part.Request
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	served := u.snapshots[q.Snapshot]
	u.mu.Unlock()
	if !served {
		w.WriteHeader(http.StatusGone)
		return
	}
	if !u.simulateWork(r.Context()) {
		return
	}
	u.recordSuccess(func() { u.counts.Parts++ })
	reply := part.Reply{RequestID: q.RequestID, Service: q.Service, Shard: q.Shard, Snapshot: q.Snapshot, Count: RowsPerPart}
	for n := range RowsPerPart {
		reply.Rows = append(reply.Rows, Row(q.Service, q.Shard, q.Snapshot, q.Query+q.Key, n))
	}
	writeJSON(w, reply)
}

// Row returns the row with number n that every replica of the shard returns for a query or key.
func Row(service, shard, snapshot, query string, n int) string {
	return fmt.Sprintf("%s|%s|%s|%s|%d", service, shard, snapshot, query, n)
}

func (u *Upstream) serveOrder(w http.ResponseWriter, r *http.Request) {
	var q order.Request
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// An order that has begun runs to its end, even if the request is canceled.
	u.simulateWork(context.WithoutCancel(r.Context()))
	u.recordSuccess(func() {
		u.counts.Orders++
		u.orderRuns[q.Body]++
	})
	writeJSON(w, order.Reply{RequestID: q.RequestID, OrderID: u.name + "/" + q.Body})
}

// simulateWork waits for a random service time and reports whether it elapsed before ctx was done.
func (u *Upstream) simulateWork(ctx context.Context) bool {
	u.mu.Lock()
	serviceTime := time.Duration(float64(u.serviceTime) * u.slowdown * (0.5 + u.rng.ExpFloat64()/2))
	u.mu.Unlock()
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// recordSuccess applies update to the counts, with the lock held, and advances the warm-up by one request.
func (u *Upstream) recordSuccess(update func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	update()
	u.warmupLeft = max(0, u.warmupLeft-1)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
