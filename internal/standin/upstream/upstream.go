// Package upstream is a stand-in for one upstream server. It records what really happened.
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
	// RowsPerPart is the number of rows in each part.
	RowsPerPart = 2
	// DrainGracePeriod is the time after which a leaving upstream may get no new work.
	DrainGracePeriod = 2 * time.Second
	queueFactor      = 4 // requests that may wait, per slot
	shedRetryMS      = 50
)

// Upstream is one server with slots, a cold start, snapshots and orders. It is safe for concurrent use.
type Upstream struct {
	name     string
	contract contract.Contract
	slots    chan struct{}
	mux      *http.ServeMux

	mu          sync.Mutex
	rng         *rand.Rand
	incarnation int
	service     time.Duration
	slowdown    float64
	warmup      int // successes until it is warm
	snapshots   map[string]bool
	leaving     bool
	forbidden   time.Time // when new work is no longer permitted; zero if it is
	inFlight    int
	connections int
	record      Counts
	ran         map[string]int // by the body of the order
}

// Counts counts what an upstream saw.
type Counts struct {
	Parts          int
	Orders         int
	ColdOverload   int // arrivals above the cold slots while cold
	OverConnected  int // connections above the contract
	WorkAfterLeave int // arrivals after new work was forbidden
	Shed           int
}

// New makes a cold upstream with the given mean service time.
func New(name string, c contract.Contract, serviceTime time.Duration, seed uint64) *Upstream {
	u := &Upstream{
		name:        name,
		contract:    c,
		slots:       make(chan struct{}, c.Slots),
		mux:         http.NewServeMux(),
		rng:         rand.New(rand.NewPCG(seed, 1)),
		incarnation: 1,
		service:     serviceTime,
		slowdown:    1,
		warmup:      c.WarmAfter,
		snapshots:   make(map[string]bool),
		ran:         make(map[string]int),
	}
	u.mux.HandleFunc("POST /v1/part", u.servePart)
	u.mux.HandleFunc("POST /v1/order", u.serveOrder)
	return u
}

// Name is the upstream's name.
func (u *Upstream) Name() string { return u.name }

// SetSnapshots replaces the snapshots that are served.
func (u *Upstream) SetSnapshots(snapshots ...string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.snapshots = make(map[string]bool)
	for _, s := range snapshots {
		u.snapshots[s] = true
	}
}

// SetSlowdown multiplies the service time.
func (u *Upstream) SetSlowdown(factor float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.slowdown = factor
}

// Restart makes the upstream cold under a new incarnation.
func (u *Upstream) Restart() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.incarnation++
	u.warmup = u.contract.WarmAfter
}

// SetDraining makes answers carry the leaving state; work that arrives after grace is recorded.
func (u *Upstream) SetDraining(leaving bool, grace time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = leaving
	u.forbid(leaving, grace)
}

// SetExcluded records work that arrives after grace, without any sign in the answers.
func (u *Upstream) SetExcluded(out bool, grace time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.forbid(out, grace)
}

func (u *Upstream) forbid(forbidden bool, grace time.Duration) {
	u.forbidden = time.Time{}
	if forbidden {
		u.forbidden = time.Now().Add(grace)
	}
}

// Counts gives the counts so far.
func (u *Upstream) Counts() Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.record
}

// OrderRuns tells how often the order with the given body ran.
func (u *Upstream) OrderRuns(body string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ran[body]
}

// ConnState counts open connections; it is the hook of the http.Server that serves the upstream.
func (u *Upstream) ConnState(_ net.Conn, s http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch s {
	case http.StateNew:
		u.connections++
		if u.connections > u.contract.Connections {
			u.record.OverConnected++
		}
	case http.StateClosed, http.StateHijacked:
		u.connections--
	default:
	}
}

// ServeHTTP answers one part or order.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	admitted := u.arrive(w)
	defer u.depart()
	if !admitted {
		u.shed(w)
		return
	}
	ctx := r.Context()
	if left, err := strconv.Atoi(r.Header.Get(header.DeadlineMS)); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(left)*time.Millisecond)
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

// arrive records an arrival and reports whether it may wait for a slot.
func (u *Upstream) arrive(w http.ResponseWriter) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight++
	if u.warmup > 0 && u.inFlight > u.contract.ColdSlots {
		u.record.ColdOverload++
	}
	if !u.forbidden.IsZero() && time.Now().After(u.forbidden) {
		u.record.WorkAfterLeave++
	}
	w.Header().Set(header.Incarnation, fmt.Sprintf("%s-%d", u.name, u.incarnation))
	w.Header().Set(header.State, u.state())
	w.Header().Set(header.Load, strconv.FormatFloat(u.load(), 'f', 2, 64))
	return u.inFlight <= u.contract.Slots*(1+queueFactor)
}

func (u *Upstream) depart() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight--
}

func (u *Upstream) state() string {
	switch {
	case u.leaving:
		return "leaving"
	case u.warmup > 0:
		return "cold"
	}
	return "serving"
}

func (u *Upstream) load() float64 {
	return min(1, float64(u.inFlight)/float64(u.contract.Slots))
}

func (u *Upstream) shed(w http.ResponseWriter) {
	u.mu.Lock()
	u.record.Shed++
	u.mu.Unlock()
	w.Header().Set(header.NotRun, "true")
	w.Header().Set(header.RetryAfterMS, strconv.Itoa(shedRetryMS))
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
	if !u.work(r.Context()) {
		return
	}
	u.succeed(func() { u.record.Parts++ })
	reply := part.Reply{RequestID: q.RequestID, Service: q.Service, Shard: q.Shard, Snapshot: q.Snapshot, Count: RowsPerPart}
	for n := range RowsPerPart {
		reply.Rows = append(reply.Rows, Row(q.Service, q.Shard, q.Snapshot, q.Query+q.Key, n))
	}
	writeJSON(w, reply)
}

// Row is the row number n that any replica of the shard gives for a query or key.
func Row(service, shard, snapshot, query string, n int) string {
	return fmt.Sprintf("%s|%s|%s|%s|%d", service, shard, snapshot, query, n)
}

func (u *Upstream) serveOrder(w http.ResponseWriter, r *http.Request) {
	var q order.Request
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.work(context.WithoutCancel(r.Context()))
	u.succeed(func() {
		u.record.Orders++
		u.ran[q.Body]++
	})
	writeJSON(w, order.Reply{RequestID: q.RequestID, OrderID: u.name + "/" + q.Body})
}

// work takes the service time and reports whether the request was not withdrawn meanwhile.
func (u *Upstream) work(ctx context.Context) bool {
	u.mu.Lock()
	took := time.Duration(float64(u.service) * u.slowdown * (0.5 + u.rng.ExpFloat64()/2))
	u.mu.Unlock()
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (u *Upstream) succeed(note func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	note()
	u.warmup = max(0, u.warmup-1)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
