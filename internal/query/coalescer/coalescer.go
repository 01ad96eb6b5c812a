// Package coalescer implements request coalescing: identical concurrent reads of one caller share one execution.
//
// The handler of searches and lookups calls it before the runner executes a query.
package coalescer

import (
	"context"
	"sync"
	"time"

	"crocuswing/internal/query/answer"
)

// slackDivisor limits how much earlier than its own deadline a read may end because it joined: a tenth of its remaining time.
const slackDivisor = 10

// Key identifies identical reads. Reads of different callers never share an execution.
type Key struct {
	Caller   string
	Revision uint64
	Service  string
	Query    string
	Key      string
}

// Func executes a read. It returns before the deadline of ctx, with the rows collected by then.
type Func func(ctx context.Context) (answer.Answer, error)

// Coalescer tracks the executions in flight. It is safe for concurrent use.
type Coalescer struct {
	mu         sync.Mutex
	executions map[Key]*execution
	joined     int
}

type execution struct {
	deadline time.Time
	readers  int
	cancel   context.CancelFunc
	done     chan struct{} // closed when answer and err are set
	answer   answer.Answer
	err      error
}

// New returns a Coalescer without executions.
func New() *Coalescer { return &Coalescer{executions: make(map[Key]*execution)} }

// Do returns the answer of run, or of an execution already in flight with the same key. A read joins an execution whose deadline is
// at most its own and not much earlier. An execution is canceled only after all its readers have left. maxDuration limits the time
// of a read, also without a deadline.
func (c *Coalescer) Do(ctx context.Context, k Key, maxDuration time.Duration, run Func) (answer.Answer, error) {
	deadline := time.Now().Add(maxDuration)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	x := c.join(ctx, k, deadline, run)
	defer c.leave(k, x)
	select {
	case <-x.done:
		return x.answer, x.err
	case <-ctx.Done():
	}
	select { // prefer an answer that arrived at the same time as the cancellation
	case <-x.done:
		return x.answer, x.err
	default:
		return answer.Answer{}, ctx.Err()
	}
}

// Joined returns the number of reads that joined the execution of another read.
func (c *Coalescer) Joined() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.joined
}

func (c *Coalescer) join(ctx context.Context, k Key, deadline time.Time, run Func) *execution {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x, ok := c.executions[k]; ok && x.canJoin(deadline) {
		x.readers++
		c.joined++
		return x
	}
	shared, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	x := &execution{deadline: deadline, readers: 1, cancel: cancel, done: make(chan struct{})}
	c.executions[k] = x
	go func() {
		defer close(x.done)
		defer c.remove(k, x)
		x.answer, x.err = run(shared)
	}()
	return x
}

// canJoin reports whether a read with the given deadline may share the execution: the execution must end by then, but not much earlier.
func (x *execution) canJoin(deadline time.Time) bool {
	slack := time.Until(deadline) / slackDivisor
	return !x.deadline.After(deadline) && deadline.Sub(x.deadline) <= slack
}

// leave removes a reader and cancels the execution if it was the last one.
func (c *Coalescer) leave(k Key, x *execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x.readers--
	if x.readers > 0 {
		return
	}
	x.cancel()
	if c.executions[k] == x {
		delete(c.executions, k)
	}
}

// remove deletes an execution that has ended, so that later reads do not join it.
func (c *Coalescer) remove(k Key, x *execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.executions[k] == x {
		delete(c.executions, k)
	}
}
