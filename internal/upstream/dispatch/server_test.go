package dispatch_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"crocuswing/internal/upstream/contract"
	"crocuswing/internal/upstream/failure"
	"crocuswing/internal/upstream/signal"
	"crocuswing/internal/wire/order"
	"crocuswing/internal/wire/part"
)

const (
	oneWay      = time.Millisecond
	serviceTime = 10 * time.Millisecond
	coldFactor  = 5 // service time of a cold server, as a multiple
	leaveGrace  = 2 * time.Second
)

var bounds = contract.Contract{Slots: 2, Connections: 25, ColdSlots: 1, WarmAfter: 8}

// server is a fake upstream with slots and a cold start. More work than its cold slots makes it
// fall over: its warm-up starts again. While cold it works on after a request is canceled.
type server struct {
	name  string
	slots chan struct{}

	mu          sync.Mutex
	incarnation int
	silent      bool // answers name no incarnation
	left        int  // successes until it is warm
	extra       int  // work above the cold slots that it bears
	report      string
	slowdown    int
	shedFor     time.Duration // sheds with this Retry-After, if not zero
	hangs       int           // arrivals that get no answer, as on a silent connection
	stubborn    bool          // works on after a request is canceled, also when warm
	leaving     time.Time     // of the first signal
	quiet       bool          // answers do not tell that it is leaving
	inFlight    int
	seen        counts
	warmAt      time.Time
}

type counts struct {
	arrivals, served, shed int
	overload               int // arrivals above the cold slots while cold
	mostCold               int // highest number in flight while cold
	late                   int // arrivals after the grace of leaving
	restartedAt            time.Time
	lastOverload           time.Time
}

func newServer(name string) *server {
	return &server{name: name, slots: make(chan struct{}, bounds.Slots), incarnation: 1, left: bounds.WarmAfter, slowdown: 1}
}

func (s *server) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *server) counts() counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen
}

// restart resets what is in flight and makes the server cold under a new incarnation.
func (s *server) restart() {
	s.change(func() {
		s.incarnation++
		s.left = bounds.WarmAfter
		s.inFlight = 0
		s.warmAt = time.Time{}
		s.slots = make(chan struct{}, bounds.Slots)
		s.seen.restartedAt = time.Now()
	})
}

func (s *server) leave() { s.change(func() { s.leaving = time.Now() }) }

// Part serves one request over a network with a latency.
func (s *server) Part(ctx context.Context, q part.Request) (part.Reply, signal.Signal, error) {
	time.Sleep(oneWay)
	if s.hang() {
		<-ctx.Done()
		return part.Reply{}, signal.Signal{Load: -1}, &failure.Failure{Upstream: s.name, Kind: failure.KindTimeout}
	}
	sig, took, incarnation, err := s.arrive()
	if err != nil {
		time.Sleep(oneWay)
		return part.Reply{}, sig, err
	}
	if err := s.work(ctx, took); err != nil {
		s.depart(incarnation)
		return part.Reply{}, signal.Signal{Load: -1}, err
	}
	if !s.finish(incarnation) {
		return part.Reply{}, signal.Signal{Load: -1}, &failure.Failure{Upstream: s.name, Kind: failure.KindReset}
	}
	time.Sleep(oneWay)
	return part.Reply{RequestID: q.RequestID}, sig, nil
}

func (s *server) hang() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hangs--
	return s.hangs >= 0
}

// Order serves one order like a part.
func (s *server) Order(ctx context.Context, q order.Request) (order.Reply, signal.Signal, error) {
	_, sig, err := s.Part(ctx, part.Request{RequestID: q.RequestID})
	return order.Reply{RequestID: q.RequestID}, sig, err
}

// SetMaxConnections does nothing: the server counts what it gets.
func (s *server) SetMaxConnections(int) {}

// SetDraining does nothing: the dispatcher has to refuse by itself.
func (s *server) SetDraining(bool) {}

// Close does nothing.
func (s *server) Close() {}

func (s *server) arrive() (signal.Signal, time.Duration, int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen.arrivals++
	if !s.leaving.IsZero() && time.Since(s.leaving) > leaveGrace {
		s.seen.late++
	}
	if s.shedFor > 0 {
		s.seen.shed++
		f := &failure.Failure{Upstream: s.name, Kind: failure.KindShed, NotRun: true, RetryAfter: s.shedFor}
		return signal.Signal{Load: -1, Shed: true, RetryAfter: s.shedFor}, 0, 0, f
	}
	s.inFlight++
	took := serviceTime * time.Duration(s.slowdown)
	if s.left > 0 {
		took *= coldFactor
		s.seen.mostCold = max(s.seen.mostCold, s.inFlight)
		if s.inFlight > bounds.ColdSlots+s.extra {
			s.seen.overload++
			s.seen.lastOverload = time.Now()
			s.left = bounds.WarmAfter
		}
	}
	return s.signal(), took, s.incarnation, nil
}

func (s *server) signal() signal.Signal {
	sig := signal.Signal{Load: -1, Draining: !s.leaving.IsZero() && !s.quiet, Cold: s.left > 0}
	if s.report != "" {
		sig.Cold = s.report == "cold"
	}
	if !s.silent {
		sig.Incarnation = fmt.Sprint(s.name, s.incarnation)
	}
	return sig
}

// work takes a slot for the service time. A cold server does not heed that ctx ends.
func (s *server) work(ctx context.Context, took time.Duration) error {
	s.mu.Lock()
	slots := s.slots
	if s.left > 0 || s.stubborn {
		ctx = context.WithoutCancel(ctx)
	}
	s.mu.Unlock()
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-ctx.Done():
		return &failure.Failure{Upstream: s.name, Kind: failure.KindCanceled}
	}
	select {
	case <-time.After(took):
		return nil
	case <-ctx.Done():
		return &failure.Failure{Upstream: s.name, Kind: failure.KindCanceled}
	}
}

func (s *server) depart(incarnation int) {
	s.change(func() {
		if incarnation == s.incarnation {
			s.inFlight--
		}
	})
}

// finish reports whether the server did not restart meanwhile.
func (s *server) finish(incarnation int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if incarnation != s.incarnation {
		return false
	}
	s.inFlight--
	s.seen.served++
	if s.left > 0 {
		s.left--
		if s.left == 0 {
			s.warmAt = time.Now()
		}
	}
	return true
}
