// Package runner passes the requests of callers on to upstreams.
package runner

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"crocuswing/internal/forward/reply"
	"crocuswing/internal/forward/request"
	"crocuswing/internal/forward/timing"
	"crocuswing/internal/policy/limiter"
	"crocuswing/internal/published/board"
	"crocuswing/internal/routing/split"
	"crocuswing/internal/stats/history"
	"crocuswing/internal/task/group"
	"crocuswing/internal/upstream/cluster"

	"go.uber.org/zap"
)

const (
	// retrySoon is when a caller may find another instance in a better state; balancers send it to another one.
	retrySoon = 50 * time.Millisecond
	// startTime is about what an instance needs to learn the configuration after its start, if the store answers.
	startTime = 250 * time.Millisecond
	// staleAfter is the age from which a view may lack a route that others have.
	staleAfter = 2500 * time.Millisecond
)

// Protocol is the contract with upstreams.
type Protocol interface {
	// Header gives the headers with which a request goes to an upstream that may work on it for the time left.
	Header(q request.Request, upstream string, left time.Duration) http.Header
	// Signals reads what an answer tells, and fails if the answer belongs to another request.
	Signals(q request.Request, status int, h http.Header) (cluster.Signals, error)
}

// Clusters finds the upstreams of a service.
type Clusters interface {
	Cluster(service string) *cluster.Cluster
}

// Viewer gives what is published.
type Viewer interface {
	View() *board.View
	// Age is the time since the view was confirmed, and false before the first time.
	Age() (time.Duration, bool)
}

// Meter counts events by the name of their metric.
type Meter interface {
	Count(name string)
	Observe(caller, class, kind string, took time.Duration, ok bool)
}

// Runner runs requests. It is safe for concurrent use.
type Runner struct {
	wire     Protocol
	clusters Clusters
	viewer   Viewer
	history  *history.History
	pacer    *timing.Planner
	splitter *split.Splitter
	meter    Meter
	log      *zap.Logger
	attempts group.Group
	ceiling  *limiter.Limiter
	begun    time.Time
}

// Option changes how a runner is made.
type Option func(*Runner)

// WithCeiling bounds the legs of all requests together.
func WithCeiling(c *limiter.Limiter) Option { return func(r *Runner) { r.ceiling = c } }

// New makes a runner.
func New(w Protocol, c Clusters, v Viewer, h *history.History, m Meter, log *zap.Logger, options ...Option) *Runner {
	r := &Runner{
		wire:     w,
		clusters: c,
		viewer:   v,
		history:  h,
		pacer:    timing.New(),
		splitter: split.New(),
		meter:    m,
		log:      log,
		ceiling:  limiter.New(0),
		begun:    time.Now(),
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// Run answers one request. ctx ends when the caller has left.
func (r *Runner) Run(ctx context.Context, q request.Request) reply.Reply {
	h := handling{Runner: r, request: q, view: r.viewer.View()}
	h.age, _ = r.viewer.Age()
	a := h.run(ctx)
	h.report(a)
	return a
}

// Wait blocks until no attempt runs any more or ctx ends.
func (r *Runner) Wait(ctx context.Context) { r.attempts.Wait(ctx) }

// untilKnown is when an instance that has just started is likely to know the configuration; one that waits for the store cannot
// tell.
func (r *Runner) untilKnown() time.Duration {
	if left := startTime - time.Since(r.begun); left > 0 {
		return left + rand.N(retrySoon)
	}
	return startTime + rand.N(startTime)
}

func refuse(reason string) reply.Reply {
	return reply.Refused(reason, retrySoon/2+rand.N(retrySoon))
}
