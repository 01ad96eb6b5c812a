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
	coldFactor  = 5 // multiple of serviceTime that a cold server takes
	drainGrace  = 2 * time.Second
)

var testContract = contract.Contract{Slots: 2, Connections: 25, ColdSlots: 1, WarmAfter: 8}

// server is a fake upstream with slots and a cold start. More requests than its cold slots restart its warm-up. While
// cold, it continues to work on canceled requests.
type server struct {
	name  string
	slots chan struct{}

	mu                sync.Mutex
	incarnation       int
	hidesIncarnation  bool // responses name no incarnation
	coldSuccessesLeft int  // successes until it is warm
	extraColdSlots    int  // requests beyond the cold slots that do not restart the warm-up
	reportedState     string
	slowdown          int
	shedRetryAfter    time.Duration // if set, all requests are shed with this Retry-After
	stalls            int           // remaining arrivals that get no response, as on a stalled connection
	ignoresCancel     bool          // continue to work on canceled requests also when warm
	drainingSince     time.Time     // zero unless draining
	hidesDraining     bool          // responses do not report draining
	inFlight          int
	recorded          counts
	warmAt            time.Time
}

type counts struct {
	arrivals, served, shed int
	overload               int // arrivals above the cold slots while cold
	maxCold                int // maximum number in flight while cold
	lateArrivals           int // arrivals after the grace period of draining
	restartedAt            time.Time
	lastOverload           time.Time
}

func newServer(name string) *server {
	return &server{name: name, slots: make(chan struct{}, testContract.Slots), incarnation: 1, coldSuccessesLeft: testContract.WarmAfter, slowdown: 1}
}

func (s *server) withLock(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *server) counts() counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recorded
}

// restart resets the requests in flight and makes the server cold with a new incarnation.
func (s *server) restart() {
	s.withLock(func() {
		s.incarnation++
		s.coldSuccessesLeft = testContract.WarmAfter
		s.inFlight = 0
		s.warmAt = time.Time{}
		s.slots = make(chan struct{}, testContract.Slots)
		s.recorded.restartedAt = time.Now()
	})
}

func (s *server) startDraining() { s.withLock(func() { s.drainingSince = time.Now() }) }

// Part serves one request, including the network latency.
func (s *server) Part(ctx context.Context, q part.Request) (part.Reply, signal.Signal, error) {
	time.Sleep(oneWay)
	if s.takeStall() {
		<-ctx.Done()
		return part.Reply{}, signal.Signal{Load: -1}, &failure.Failure{Upstream: s.name, Kind: failure.KindTimeout}
	}
	sig, duration, incarnation, err := s.arrive()
	if err != nil {
		time.Sleep(oneWay)
		return part.Reply{}, sig, err
	}
	if err := s.work(ctx, duration); err != nil {
		s.abort(incarnation)
		return part.Reply{}, signal.Signal{Load: -1}, err
	}
	if !s.finish(incarnation) {
		return part.Reply{}, signal.Signal{Load: -1}, &failure.Failure{Upstream: s.name, Kind: failure.KindReset}
	}
	time.Sleep(oneWay)
	return part.Reply{RequestID: q.RequestID}, sig, nil
}

// takeStall reports whether the request gets no response.
func (s *server) takeStall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalls--
	return s.stalls >= 0
}

// Order serves one order like a part.
func (s *server) Order(ctx context.Context, q order.Request) (order.Reply, signal.Signal, error) {
	_, sig, err := s.Part(ctx, part.Request{RequestID: q.RequestID})
	return order.Reply{RequestID: q.RequestID}, sig, err
}

// SetMaxConnections does nothing: the server counts the requests itself.
func (s *server) SetMaxConnections(int) {}

// SetDraining does nothing: the dispatcher itself has to refuse new work.
func (s *server) SetDraining(bool) {}

// Close does nothing.
func (s *server) Close() {}

func (s *server) arrive() (signal.Signal, time.Duration, int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recorded.arrivals++
	if !s.drainingSince.IsZero() && time.Since(s.drainingSince) > drainGrace {
		s.recorded.lateArrivals++
	}
	if s.shedRetryAfter > 0 {
		s.recorded.shed++
		f := &failure.Failure{Upstream: s.name, Kind: failure.KindShed, NotRun: true, RetryAfter: s.shedRetryAfter}
		return signal.Signal{Load: -1, Shed: true, RetryAfter: s.shedRetryAfter}, 0, 0, f
	}
	s.inFlight++
	duration := serviceTime * time.Duration(s.slowdown)
	if s.coldSuccessesLeft > 0 {
		duration *= coldFactor
		s.recorded.maxCold = max(s.recorded.maxCold, s.inFlight)
		if s.inFlight > testContract.ColdSlots+s.extraColdSlots {
			s.recorded.overload++
			s.recorded.lastOverload = time.Now()
			s.coldSuccessesLeft = testContract.WarmAfter
		}
	}
	return s.signal(), duration, s.incarnation, nil
}

func (s *server) signal() signal.Signal {
	sig := signal.Signal{Load: -1, Draining: !s.drainingSince.IsZero() && !s.hidesDraining, Cold: s.coldSuccessesLeft > 0}
	if s.reportedState != "" {
		sig.Cold = s.reportedState == "cold"
	}
	if !s.hidesIncarnation {
		sig.Incarnation = fmt.Sprint(s.name, s.incarnation)
	}
	return sig
}

// work occupies a slot for the duration. A cold server ignores the end of ctx.
func (s *server) work(ctx context.Context, duration time.Duration) error {
	s.mu.Lock()
	slots := s.slots
	if s.coldSuccessesLeft > 0 || s.ignoresCancel {
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
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return &failure.Failure{Upstream: s.name, Kind: failure.KindCanceled}
	}
}

func (s *server) abort(incarnation int) {
	s.withLock(func() {
		if incarnation == s.incarnation {
			s.inFlight--
		}
	})
}

// finish counts a served request. It returns false if the server has restarted since the request arrived.
func (s *server) finish(incarnation int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if incarnation != s.incarnation {
		return false
	}
	s.inFlight--
	s.recorded.served++
	if s.coldSuccessesLeft > 0 {
		s.coldSuccessesLeft--
		if s.coldSuccessesLeft == 0 {
			s.warmAt = time.Now()
		}
	}
	return true
}
