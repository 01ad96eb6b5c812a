// Package scheduler shares a fixed capacity fairly between flows, each with a queue of its own.
//
// It is start-time fair queueing with several requests in service, SFQ(D): Goyal, Vin and Cheng,
// "Start-time fair queueing", IEEE/ACM Transactions on Networking 5(5), 1997; Jin, Chase and Kaur,
// "Interposed proportional sharing for a storage service utility", SIGMETRICS 2004. While two flows
// wait, the service they get in proportion to their weights differs by at most one request of each.
package scheduler

// Limits bound one flow. Cost is in the unit of the scheduler's capacity.
type Limits struct {
	Concurrency int
	Cost        int
	Weight      int // at least 1
}

// Scheduler decides which waiting request runs next. It is not safe for concurrent use.
type Scheduler struct {
	capacity int
	cost     int // in service
	requests int // in service
	virtual  float64
	waiting  []*Flow // flows with a queue
}

// Flow is the requests of one caller.
type Flow struct {
	scheduler *Scheduler
	limits    Limits
	cost      int // in service
	requests  int // in service
	finish    float64
	start     float64 // tag of the first waiter
	queue     []*Waiter
}

// Waiter is one request that waits for its turn.
type Waiter struct {
	flow    *Flow
	cost    int
	granted chan struct{}
}

// New makes a scheduler without capacity.
func New() *Scheduler { return &Scheduler{} }

// NewFlow adds a flow.
func (s *Scheduler) NewFlow() *Flow { return &Flow{scheduler: s} }

// SetCapacity changes the capacity; what runs above it goes on.
func (s *Scheduler) SetCapacity(capacity int) {
	if capacity != s.capacity {
		s.capacity = capacity
		s.dispatch()
	}
}

// IsContended tells whether any request waits.
func (s *Scheduler) IsContended() bool { return len(s.waiting) > 0 }

// SetLimits changes the limits of the flow; what runs above them goes on.
func (f *Flow) SetLimits(l Limits) {
	if l != f.limits {
		f.limits = l
		f.scheduler.dispatch()
	}
}

// Start runs a request at once if it fits and no request that could run waits.
func (f *Flow) Start(cost int) bool {
	s := f.scheduler
	if len(f.queue) > 0 || !f.fits(cost) || !s.fits(cost) || s.next() != nil {
		return false
	}
	f.run(max(s.virtual, f.finish), cost)
	return true
}

// Enqueue adds a request behind the flow's waiting ones. It may run at once.
func (f *Flow) Enqueue(cost int) *Waiter {
	w := &Waiter{flow: f, cost: cost, granted: make(chan struct{})}
	f.queue = append(f.queue, w)
	if len(f.queue) == 1 {
		f.start = max(f.scheduler.virtual, f.finish)
		f.scheduler.waiting = append(f.scheduler.waiting, f)
	}
	f.scheduler.dispatch()
	return w
}

// Waiting is the number of waiting requests.
func (f *Flow) Waiting() int { return len(f.queue) }

// IsIdle tells whether nothing of the flow runs or waits.
func (f *Flow) IsIdle() bool { return f.requests == 0 && len(f.queue) == 0 }

// Finish ends a request that ran.
func (f *Flow) Finish(cost int) {
	f.requests--
	f.cost -= cost
	f.scheduler.requests--
	f.scheduler.cost -= cost
	f.scheduler.dispatch()
}

// Granted is closed when the request runs.
func (w *Waiter) Granted() <-chan struct{} { return w.granted }

// Withdraw removes the request and reports whether it was still waiting.
func (w *Waiter) Withdraw() bool {
	f := w.flow
	for n, other := range f.queue {
		if other == w {
			f.queue = append(f.queue[:n], f.queue[n+1:]...)
			f.scheduler.forgetIdle(f)
			f.scheduler.dispatch()
			return true
		}
	}
	return false
}

// dispatch runs waiting requests in the order of their tags. The first that fits its flow's limits
// but not the capacity holds the others back, so that large requests are not starved.
func (s *Scheduler) dispatch() {
	for f := s.next(); f != nil && s.fits(f.queue[0].cost); f = s.next() {
		w := f.queue[0]
		f.queue[0] = nil
		f.queue = f.queue[1:]
		f.run(f.start, w.cost)
		f.start = f.finish
		s.forgetIdle(f)
		close(w.granted)
	}
}

// next is the flow with the lowest tag among those whose first waiter fits the flow's limits.
func (s *Scheduler) next() *Flow {
	var best *Flow
	for _, f := range s.waiting {
		if f.fits(f.queue[0].cost) && (best == nil || f.start < best.start) {
			best = f
		}
	}
	return best
}

func (s *Scheduler) forgetIdle(f *Flow) {
	if len(f.queue) > 0 {
		return
	}
	for n, other := range s.waiting {
		if other == f {
			s.waiting = append(s.waiting[:n], s.waiting[n+1:]...)
			return
		}
	}
}

// fits lets a request above the whole capacity run alone.
func (s *Scheduler) fits(cost int) bool {
	return s.requests == 0 || s.cost+cost <= s.capacity
}

// fits lets a request above the flow's whole cost run alone.
func (f *Flow) fits(cost int) bool {
	return f.requests < f.limits.Concurrency && (f.requests == 0 || f.cost+cost <= f.limits.Cost)
}

func (f *Flow) run(start float64, cost int) {
	s := f.scheduler
	f.finish = start + float64(cost)/float64(f.limits.Weight)
	f.requests++
	f.cost += cost
	s.virtual = max(s.virtual, start)
	s.requests++
	s.cost += cost
}
