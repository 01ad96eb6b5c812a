// Package coalescer lets identical reads in flight from one caller share one execution.
package coalescer

import (
	"context"
	"sync"
	"time"

	"crocuswing/internal/query/answer"
)

// slackShare bounds what a read loses by joining: a tenth of its own time left.
const slackShare = 10

// Key identifies reads that may share an execution. All of them have the same caller.
type Key struct {
	Caller   string
	Revision uint64
	Service  string
	Query    string
	Key      string
}

// Func executes a read. It returns before the deadline of ctx with what it has by then.
type Func func(ctx context.Context) (answer.Answer, error)

// Coalescer holds the executions in flight. It is safe for concurrent use.
type Coalescer struct {
	mu         sync.Mutex
	executions map[Key]*execution
	joined     int
}

type execution struct {
	deadline time.Time
	waiting  int
	cancel   context.CancelFunc
	done     chan struct{} // closed when answer and err are set
	answer   answer.Answer
	err      error
}

// New makes an empty coalescer.
func New() *Coalescer { return &Coalescer{executions: make(map[Key]*execution)} }

// Do gives the answer of an execution of run. A read joins one that is in flight under the same key if
// that ends before its own deadline but not much before it. An execution is withdrawn only when
// all its readers have hung up. longest is the time that a read without a deadline may take.
func (f *Coalescer) Do(ctx context.Context, k Key, longest time.Duration, run Func) (answer.Answer, error) {
	deadline := time.Now().Add(longest)
	if own, ok := ctx.Deadline(); ok && own.Before(deadline) {
		deadline = own
	}
	x := f.enter(ctx, k, deadline, run)
	defer f.leave(k, x)
	select {
	case <-x.done:
		return x.answer, x.err
	case <-ctx.Done():
	}
	select { // an answer that came at the last moment counts
	case <-x.done:
		return x.answer, x.err
	default:
		return answer.Answer{}, ctx.Err()
	}
}

// Joined is the number of reads that shared the execution of another.
func (f *Coalescer) Joined() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.joined
}

func (f *Coalescer) enter(ctx context.Context, k Key, deadline time.Time, run Func) *execution {
	f.mu.Lock()
	defer f.mu.Unlock()
	if x, ok := f.executions[k]; ok && x.fits(deadline) {
		x.waiting++
		f.joined++
		return x
	}
	shared, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	x := &execution{deadline: deadline, waiting: 1, cancel: cancel, done: make(chan struct{})}
	f.executions[k] = x
	go func() {
		defer close(x.done)
		defer f.forget(k, x)
		x.answer, x.err = run(shared)
	}()
	return x
}

// fits tells whether a read with the given deadline is served well by the execution.
func (x *execution) fits(deadline time.Time) bool {
	slack := time.Until(deadline) / slackShare
	return !x.deadline.After(deadline) && deadline.Sub(x.deadline) <= slack
}

// leave withdraws the execution when its last reader has left.
func (f *Coalescer) leave(k Key, x *execution) {
	f.mu.Lock()
	defer f.mu.Unlock()
	x.waiting--
	if x.waiting > 0 {
		return
	}
	x.cancel()
	if f.executions[k] == x {
		delete(f.executions, k)
	}
}

// forget keeps reads that come after the end of an execution from joining it.
func (f *Coalescer) forget(k Key, x *execution) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.executions[k] == x {
		delete(f.executions, k)
	}
}
