// Package scheduler shares a fixed capacity fairly between flows, each with a queue of its own. Admission has one scheduler
// for each class of callers.
//
// It implements start-time fair queueing with several requests in service, SFQ(D): Goyal, Vin and Cheng,
// "Start-time fair queueing", IEEE/ACM Transactions on Networking 5(5), 1997; Jin, Chase and Kaur,
// "Interposed proportional sharing for a storage service utility", SIGMETRICS 2004. While two flows
// are backlogged, the service that they receive in proportion to their weights differs by at most one request of each.
package scheduler

// Limits bounds one flow. Cost has the same unit as the capacity of the scheduler.
type Limits struct {
	Concurrency int
	Cost        int
	Weight      int // at least 1
}

// Scheduler decides which waiting request runs next. It is not safe for concurrent use.
type Scheduler struct {
	capacity    int
	cost        int     // in service
	requests    int     // in service
	virtualTime float64 // highest start tag of a request that was started
	backlogged  []*Flow // flows with waiting requests
}

// Flow holds the requests of one caller.
type Flow struct {
	scheduler *Scheduler
	limits    Limits
	cost      int     // in service
	requests  int     // in service
	finishTag float64 // of the request that was started last
	startTag  float64 // of the first waiting request
	queue     []*Waiter
}

// Waiter is one request in the queue of its flow.
type Waiter struct {
	flow    *Flow
	cost    int
	granted chan struct{}
}

// New returns a Scheduler without capacity.
func New() *Scheduler { return &Scheduler{} }

// NewFlow returns a new flow of the scheduler.
func (s *Scheduler) NewFlow() *Flow { return &Flow{scheduler: s} }

// SetCapacity changes the capacity. Requests in service above it continue.
func (s *Scheduler) SetCapacity(capacity int) {
	if capacity != s.capacity {
		s.capacity = capacity
		s.dispatch()
	}
}

// IsContended reports whether any request waits.
func (s *Scheduler) IsContended() bool { return len(s.backlogged) > 0 }

// SetLimits changes the limits of the flow. Requests in service above them continue.
func (f *Flow) SetLimits(l Limits) {
	if l != f.limits {
		f.limits = l
		f.scheduler.dispatch()
	}
}

// Start starts a request if it fits and no request that could run waits. It reports whether the request was started.
func (f *Flow) Start(cost int) bool {
	s := f.scheduler
	if len(f.queue) > 0 || !f.fits(cost) || !s.fits(cost) || s.next() != nil {
		return false
	}
	f.run(max(s.virtualTime, f.finishTag), cost)
	return true
}

// Enqueue adds a request to the end of the flow's queue. The request may be granted before Enqueue returns.
func (f *Flow) Enqueue(cost int) *Waiter {
	w := &Waiter{flow: f, cost: cost, granted: make(chan struct{})}
	f.queue = append(f.queue, w)
	if len(f.queue) == 1 {
		f.startTag = max(f.scheduler.virtualTime, f.finishTag)
		f.scheduler.backlogged = append(f.scheduler.backlogged, f)
	}
	f.scheduler.dispatch()
	return w
}

// Waiting returns the number of waiting requests.
func (f *Flow) Waiting() int { return len(f.queue) }

// IsIdle reports whether no request of the flow is in service or waits.
func (f *Flow) IsIdle() bool { return f.requests == 0 && len(f.queue) == 0 }

// Finish ends a request in service, which had the given cost.
func (f *Flow) Finish(cost int) {
	f.requests--
	f.cost -= cost
	f.scheduler.requests--
	f.scheduler.cost -= cost
	f.scheduler.dispatch()
}

// Granted returns a channel that is closed when the request may run.
func (w *Waiter) Granted() <-chan struct{} { return w.granted }

// Withdraw removes the request from its queue and reports whether it was still waiting.
func (w *Waiter) Withdraw() bool {
	f := w.flow
	for n, other := range f.queue {
		if other == w {
			f.queue = append(f.queue[:n], f.queue[n+1:]...)
			f.scheduler.removeIfEmpty(f)
			f.scheduler.dispatch()
			return true
		}
	}
	return false
}

// dispatch grants waiting requests in the order of their tags. The first one that fits its flow's limits but not the capacity
// blocks the others, so that large requests are not starved.
func (s *Scheduler) dispatch() {
	for f := s.next(); f != nil && s.fits(f.queue[0].cost); f = s.next() {
		w := f.queue[0]
		f.queue[0] = nil
		f.queue = f.queue[1:]
		f.run(f.startTag, w.cost)
		f.startTag = f.finishTag
		s.removeIfEmpty(f)
		close(w.granted)
	}
}

// next returns the flow with the lowest start tag among those whose first waiting request fits the flow's limits, or nil if
// there is none.
func (s *Scheduler) next() *Flow {
	var best *Flow
	for _, f := range s.backlogged {
		if f.fits(f.queue[0].cost) && (best == nil || f.startTag < best.startTag) {
			best = f
		}
	}
	return best
}

// removeIfEmpty removes the flow from the backlogged ones if its queue is empty.
func (s *Scheduler) removeIfEmpty(f *Flow) {
	if len(f.queue) > 0 {
		return
	}
	for n, other := range s.backlogged {
		if other == f {
			s.backlogged = append(s.backlogged[:n], s.backlogged[n+1:]...)
			return
		}
	}
}

// fits reports whether a request fits the capacity. A request above the total capacity may run alone.
func (s *Scheduler) fits(cost int) bool {
	return s.requests == 0 || s.cost+cost <= s.capacity
}

// fits reports whether a request fits the limits of the flow. A request above the flow's total cost may run alone.
func (f *Flow) fits(cost int) bool {
	return f.requests < f.limits.Concurrency && (f.requests == 0 || f.cost+cost <= f.limits.Cost)
}

// run puts a request with the given start tag into service.
func (f *Flow) run(startTag float64, cost int) {
	s := f.scheduler
	f.finishTag = startTag + float64(cost)/float64(f.limits.Weight)
	f.requests++
	f.cost += cost
	s.virtualTime = max(s.virtualTime, startTag)
	s.requests++
	s.cost += cost
}
