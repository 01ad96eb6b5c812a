// Package replica is a stand-in for one upstream of a service that answers any request. It suits testing/synctest.
package replica

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// recordBytes is the size of one record of a part.
const recordBytes = 16

// Names are the headers of the contract.
type Names struct {
	RequestID, Deadline, Target, Seal, NotRun, Load string
	// Proofs and Missing are in merged answers.
	Proofs, Missing string
}

// Arrival is a request that reached an upstream.
type Arrival struct {
	Upstream, ID, Method, Target string
	At                           time.Time
	// Ran tells whether the upstream began to work on it.
	Ran bool
}

// Options describe the upstream.
type Options struct {
	Names
	// Slots is the number of requests that run at a time; Queue more wait.
	Slots, Queue int
	// Work gives the time that one request needs.
	Work func(r *rand.Rand) time.Duration
	// RTT is the time for the way there and back.
	RTT time.Duration
	// PauseEvery and PauseFor stop all work now and then.
	PauseEvery, PauseFor time.Duration
	// Records is the number of records of a part.
	Records int
	Seed    uint64
	// Observe is told each request that was meant for this upstream; it may be nil.
	Observe func(a Arrival)
}

// Fault is what goes wrong with an answer.
type Fault int

// Faults of an answer.
const (
	// Sound is no fault.
	Sound Fault = iota
	// Aborted runs the request and breaks the connection.
	Aborted
	// Truncated breaks the connection in the middle of the body.
	Truncated
	// Duplicated sends a second answer after the first.
	Duplicated
	// WrongRequestID answers another request.
	WrongRequestID
	// InternalError answers 500 with a seal.
	InternalError
	// Unavailable runs the request and answers 503 with a seal, as if it had not.
	Unavailable
	// NoResponse runs the request and sends nothing.
	NoResponse
	// Unframed sends no length and ends with the connection.
	Unframed
)

// Replica is safe for concurrent use.
type Replica struct {
	id      string
	options Options
	start   time.Time
	offset  time.Duration
	slots   chan struct{}

	mu      sync.Mutex
	random  *rand.Rand
	runs    map[string]int
	arrived []time.Time
	waiting int
	slow    float64
	fault   func(r *rand.Rand) Fault
	down    bool
	shed    float64
}

// New makes an upstream with the given name.
func New(id string, o Options) *Replica {
	r := rand.New(rand.NewPCG(o.Seed, xxhash.Sum64String(id)))
	p := &Replica{id: id, options: o, start: time.Now(), slots: make(chan struct{}, o.Slots), random: r, runs: make(map[string]int), slow: 1}
	if o.PauseEvery > 0 {
		p.offset = time.Duration(r.Int64N(int64(o.PauseEvery)))
	}
	p.fault = func(*rand.Rand) Fault { return Sound }
	return p
}

// ID is the upstream's name.
func (p *Replica) ID() string { return p.id }

// SetSlow multiplies the work.
func (p *Replica) SetSlow(factor float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slow = factor
}

// SetFault draws the fault of each answer.
func (p *Replica) SetFault(draw func(r *rand.Rand) Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = draw
}

// SetShed makes the upstream refuse a share of the requests, whatever its load.
func (p *Replica) SetShed(share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shed = share
}

// SetUnresponsive makes the upstream silent.
func (p *Replica) SetUnresponsive(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// Runs gives how often each request ran.
func (p *Replica) Runs() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	runs := make(map[string]int, len(p.runs))
	for id, n := range p.runs {
		runs[id] = n
	}
	return runs
}

// ArrivalTimes gives the times at which requests came.
func (p *Replica) ArrivalTimes() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]time.Time(nil), p.arrived...)
}

// ServeHTTP answers one request.
func (p *Replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	time.Sleep(p.options.RTT)
	id := r.Header.Get(p.options.RequestID)
	w.Header().Set(p.options.RequestID, id)
	if target := r.Header.Get(p.options.Target); target != "" && target != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	ctx, cancel := p.limit(r)
	defer cancel()
	seen := Arrival{Upstream: p.id, ID: id, Method: r.Method, Target: r.RequestURI, At: time.Now()}
	seen.Ran = p.enter(ctx)
	if p.options.Observe != nil {
		p.options.Observe(seen)
	}
	if !seen.Ran {
		w.Header().Set(p.options.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-p.slots }()
	work, fault := p.begin(id)
	if !p.work(ctx, work) {
		w.Header().Set(p.options.Seal, p.seal(id))
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	p.answer(ctx, w, id, fault)
}

func (p *Replica) limit(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(p.options.Deadline), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// enter waits for a slot.
func (p *Replica) enter(ctx context.Context) bool {
	p.mu.Lock()
	p.arrived = append(p.arrived, time.Now())
	down, isFull := p.down, p.waiting >= p.options.Queue+p.options.Slots || p.random.Float64() < p.shed
	p.waiting++
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.waiting--
	}()
	if down {
		<-ctx.Done()
		return false
	}
	if isFull {
		return false
	}
	select {
	case p.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (p *Replica) begin(id string) (time.Duration, Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs[id]++
	return time.Duration(p.slow * float64(p.options.Work(p.random))), p.fault(p.random)
}

// work runs for the given time, without the pauses.
func (p *Replica) work(ctx context.Context, left time.Duration) bool {
	for {
		paused, next := p.pause()
		if paused == 0 && left <= 0 {
			return ctx.Err() == nil
		}
		step := paused
		if paused == 0 {
			step = min(left, next)
			left -= step
		}
		select {
		case <-time.After(step):
		case <-ctx.Done():
			return false
		}
	}
}

// pause gives how long the present pause lasts, or when the next one begins.
func (p *Replica) pause() (paused, next time.Duration) {
	if p.options.PauseEvery == 0 {
		return 0, time.Hour
	}
	at := (time.Since(p.start) + p.offset) % p.options.PauseEvery
	if at < p.options.PauseFor {
		return p.options.PauseFor - at, 0
	}
	return 0, p.options.PauseEvery - at
}

func (p *Replica) answer(ctx context.Context, w http.ResponseWriter, id string, f Fault) {
	body := Part(p.id, id, p.options.Records)
	h := w.Header()
	h.Set(p.options.Seal, p.seal(id))
	h.Set(p.options.Load, fmt.Sprintf("%d,0,%d", len(p.slots), p.options.Slots))
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
		p.spoil(w, id, body, f)
		return
	case Sound:
	}
	_, _ = w.Write(body)
}

// spoil writes bytes that net/http would not.
func (p *Replica) spoil(w http.ResponseWriter, id string, body []byte, f Fault) {
	conn, buf, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n",
		p.options.RequestID, id, p.options.Seal, p.seal(id), len(body))
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

func (p *Replica) seal(id string) string { return p.id + "." + id }

// Part gives the records with which an upstream answers a request.
func Part(upstream, id string, records int) []byte {
	r := rand.New(rand.NewPCG(xxhash.Sum64String(upstream), xxhash.Sum64String(id)))
	var part []byte
	for range records * recordBytes / 8 {
		part = binary.BigEndian.AppendUint64(part, r.Uint64())
	}
	return part
}
