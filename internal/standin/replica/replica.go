// Package replica simulates one upstream replica that accepts any HTTP request, with slots, a queue, pauses and faults.
//
// Tests, the experiments and the soak send requests to it. Its response bodies are derived from the replica's name and the request
// ID, so that a test can tell a correct response from a wrong one. It works in a testing/synctest bubble.
package replica

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// recordBytes is the size of one record in a part.
const recordBytes = 16

// HeaderNames holds the header names of the contract with the upstreams.
type HeaderNames struct {
	RequestID, Deadline, Target, Proof, NotRun, Load string
	// Proofs and Missing are headers of merged answers: the proofs of their parts and the number of missing parts.
	Proofs, Missing string
	// Leaving is a header of all responses of a replica that is leaving.
	Leaving string
	// Workspace is the header with the name of the caller's workspace.
	Workspace string
}

// Arrival describes a request that reached an upstream.
type Arrival struct {
	Upstream, ID, Method, Target string
	At                           time.Time
	// Ran reports whether the upstream began to run the request.
	Ran bool
	// Header and Trailer are those of the request.
	Header, Trailer http.Header
}

// Options configures a replica.
type Options struct {
	HeaderNames
	// Slots is the number of requests that run at the same time. At most Queue+Slots more requests wait for a slot.
	Slots, Queue int
	// ServiceTime returns the service time of one request.
	ServiceTime func(r *rand.Rand) time.Duration
	// RTT is the network round-trip time, which is added to each request.
	RTT time.Duration
	// PauseEvery and PauseFor are the interval and the length of pauses in which no request makes progress; 0 for none.
	PauseEvery, PauseFor time.Duration
	// ReportsWork adds a fourth figure to the reported load: how long work takes, with 100 as usual.
	ReportsWork bool
	// Records is the number of records in a part.
	Records int
	// Seed and the name of the replica determine its random choices.
	Seed uint64
	// Observe is called with each request that is addressed to this upstream. It may be nil.
	Observe func(a Arrival)
}

// Fault is a fault that the replica injects into a response.
type Fault int

// Faults that a replica can inject.
const (
	// NoFault is a correct response.
	NoFault Fault = iota
	// Aborted aborts the connection without a response after the request has run.
	Aborted
	// Truncated closes the connection in the middle of the body.
	Truncated
	// Duplicated sends the response twice.
	Duplicated
	// WrongRequestID sends a response with the ID of another request.
	WrongRequestID
	// InternalError sends status 500 and a proof after the request has run.
	InternalError
	// Unavailable sends status 503 and a proof after the request has run, as if it had not run.
	Unavailable
	// NoResponse sends nothing after the request has run and aborts the connection at its deadline or cancellation.
	NoResponse
	// Unframed sends a response without Content-Length, which ends when the connection closes.
	Unframed
)

// Replica is one simulated upstream. It is safe for concurrent use.
type Replica struct {
	id          string
	options     Options
	start       time.Time
	pauseOffset time.Duration
	slots       chan struct{}

	mu           sync.Mutex
	rng          *rand.Rand
	runs         map[string]int
	arrivalTimes []time.Time
	waiting      int
	slowdown     float64
	fault        func(r *rand.Rand) Fault
	unresponsive bool
	shedShare    float64
	isLeaving    bool
	retryAfter   time.Duration
}

// New returns a replica with the given name.
func New(id string, o Options) *Replica {
	r := rand.New(rand.NewPCG(o.Seed, xxhash.Sum64String(id)))
	p := &Replica{id: id, options: o, start: time.Now(), slots: make(chan struct{}, o.Slots), rng: r, runs: make(map[string]int), slowdown: 1}
	if o.PauseEvery > 0 {
		p.pauseOffset = time.Duration(r.Int64N(int64(o.PauseEvery)))
	}
	p.fault = func(*rand.Rand) Fault { return NoFault }
	return p
}

// ID returns the replica's name.
func (p *Replica) ID() string { return p.id }

// SetSlowdown multiplies all service times by factor.
func (p *Replica) SetSlowdown(factor float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slowdown = factor
}

// SetFault sets the function that draws the fault of each response.
func (p *Replica) SetFault(draw func(r *rand.Rand) Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = draw
}

// SetShed makes the replica refuse a share of the requests, regardless of its load.
func (p *Replica) SetShed(share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shedShare = share
}

// SetUnresponsive sets whether the replica holds each request until its deadline or cancellation without running it.
func (p *Replica) SetUnresponsive(unresponsive bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unresponsive = unresponsive
}

// SetLeaving sets whether all responses state that the replica is leaving. It serves as before.
func (p *Replica) SetLeaving(leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isLeaving = leaving
}

// SetRetryAfter sets the pause that responses to refused requests ask for; 0 for none.
func (p *Replica) SetRetryAfter(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryAfter = d
}

// setState writes the headers that state whether the replica is leaving and, in a refusal, the pause that it asks for.
func (p *Replica) setState(h http.Header, isRefusal bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isLeaving && p.options.Leaving != "" {
		h.Set(p.options.Leaving, "1")
	}
	if isRefusal && p.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(p.retryAfter.Seconds(), 'f', -1, 64))
	}
}

// Runs returns how often each request ran, by request ID.
func (p *Replica) Runs() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	runs := make(map[string]int, len(p.runs))
	for id, n := range p.runs {
		runs[id] = n
	}
	return runs
}

// ArrivalTimes returns the times at which requests arrived.
func (p *Replica) ArrivalTimes() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]time.Time(nil), p.arrivalTimes...)
}

// ServeHTTP serves one request.
func (p *Replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	time.Sleep(p.options.RTT)
	id := r.Header.Get(p.options.RequestID)
	w.Header().Set(p.options.RequestID, id)
	p.setState(w.Header(), false)
	if target := r.Header.Get(p.options.Target); target != "" && target != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	ctx, cancel := p.withDeadline(r)
	defer cancel()
	arrival := Arrival{Upstream: p.id, ID: id, Method: r.Method, Target: r.RequestURI, At: time.Now(), Header: r.Header, Trailer: r.Trailer}
	arrival.Ran = p.acquireSlot(ctx)
	if p.options.Observe != nil {
		p.options.Observe(arrival)
	}
	if !arrival.Ran {
		w.Header().Set(p.options.NotRun, "1")
		p.setState(w.Header(), true)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-p.slots }()
	work, fault := p.startRun(id)
	if !p.run(ctx, work) {
		w.Header().Set(p.options.Proof, p.proof(id))
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	p.respond(ctx, w, id, fault)
}

func (p *Replica) withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(p.options.Deadline), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// acquireSlot waits for a slot and reports whether the request may run.
func (p *Replica) acquireSlot(ctx context.Context) bool {
	p.mu.Lock()
	p.arrivalTimes = append(p.arrivalTimes, time.Now())
	unresponsive, refused := p.unresponsive, p.waiting >= p.options.Queue+p.options.Slots || p.rng.Float64() < p.shedShare
	p.waiting++
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.waiting--
	}()
	if unresponsive {
		<-ctx.Done()
		return false
	}
	if refused {
		return false
	}
	select {
	case p.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// startRun counts a run of the request and draws its service time and its fault.
func (p *Replica) startRun(id string) (time.Duration, Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs[id]++
	return time.Duration(p.slowdown * float64(p.options.ServiceTime(p.rng))), p.fault(p.rng)
}

// run waits for the given service time, not counting pauses, and reports whether it elapsed before ctx was done.
func (p *Replica) run(ctx context.Context, remaining time.Duration) bool {
	for {
		paused, next := p.pause()
		if paused == 0 && remaining <= 0 {
			return ctx.Err() == nil
		}
		step := paused
		if paused == 0 {
			step = min(remaining, next)
			remaining -= step
		}
		select {
		case <-time.After(step):
		case <-ctx.Done():
			return false
		}
	}
}

// pause returns the remaining time of the current pause, or 0 and the time until the next one.
func (p *Replica) pause() (paused, next time.Duration) {
	if p.options.PauseEvery == 0 {
		return 0, time.Hour
	}
	at := (time.Since(p.start) + p.pauseOffset) % p.options.PauseEvery
	if at < p.options.PauseFor {
		return p.options.PauseFor - at, 0
	}
	return 0, p.options.PauseEvery - at
}

// load returns the reported load.
func (p *Replica) load() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	text := fmt.Sprintf("%d,%d,%d", len(p.slots), p.waiting, p.options.Slots)
	if p.options.ReportsWork {
		const usual = 100
		text += fmt.Sprintf(",%.0f", usual*p.slowdown)
	}
	return text
}

func (p *Replica) respond(ctx context.Context, w http.ResponseWriter, id string, f Fault) {
	body := Part(p.id, id, p.options.Records)
	h := w.Header()
	h.Set(p.options.Proof, p.proof(id))
	h.Set(p.options.Load, p.load())
	switch f {
	case Aborted:
		panic(http.ErrAbortHandler)
	case NoResponse:
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	case InternalError:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case WrongRequestID:
		h.Set(p.options.RequestID, "other-"+id)
	case Unframed:
		h.Set("Connection", "close")
		w.(http.Flusher).Flush()
	case Duplicated, Truncated:
		p.writeMalformed(w, id, body, f)
		return
	case NoFault:
	}
	_, _ = w.Write(body)
}

// writeMalformed writes a truncated or duplicated response, which net/http would not produce, to the raw connection.
func (p *Replica) writeMalformed(w http.ResponseWriter, id string, body []byte, f Fault) {
	conn, buf, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	state := make(http.Header)
	p.setState(state, false)
	var lines strings.Builder
	_ = state.Write(&lines) // a strings.Builder returns no errors
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n",
		p.options.RequestID, id, p.options.Proof, p.proof(id), &lines, len(body))
	_, _ = buf.WriteString(head)
	if f == Truncated {
		_, _ = buf.Write(body[:len(body)/2])
	} else {
		_, _ = buf.Write(body)
		_, _ = buf.WriteString(head)
		_, _ = buf.Write(body)
	}
	_ = buf.Flush()
}

func (p *Replica) proof(id string) string { return p.id + "." + id }

// Part returns the body of an upstream's correct response to the request with the given ID.
func Part(upstream, id string, records int) []byte {
	r := rand.New(rand.NewPCG(xxhash.Sum64String(upstream), xxhash.Sum64String(id)))
	var part []byte
	for range records * recordBytes / 8 {
		part = binary.BigEndian.AppendUint64(part, r.Uint64())
	}
	return part
}
