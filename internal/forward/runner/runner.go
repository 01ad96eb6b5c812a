// Package runner forwards the HTTP requests of callers to upstreams, as the routing table directs.
//
// It looks up the route of a request and sends a subrequest to one service of the route or to each of its shards. It retries
// and hedges the attempts and merges the parts into one reply. It sits between the handler of callers' requests and the
// clusters of upstreams.
package runner

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"crocuswing/internal/forward/reply"
	"crocuswing/internal/forward/request"
	"crocuswing/internal/forward/timing"
	"crocuswing/internal/policy/limiter"
	"crocuswing/internal/published/state"
	"crocuswing/internal/routing/split"
	"crocuswing/internal/stats/history"
	"crocuswing/internal/task/group"
	"crocuswing/internal/upstream/cluster"

	"go.uber.org/zap"
)

const (
	// retryDelay is the mean delay after which a refused caller may retry. Load balancers send the retry to another
	// instance, which may be in a better state.
	retryDelay = 50 * time.Millisecond
	// configLoadTime is roughly how long an instance takes to load the configuration after its start if the store answers.
	configLoadTime = 250 * time.Millisecond
	// staleViewAge is the age above which a view may lack a route that other instances know.
	staleViewAge = 2500 * time.Millisecond
)

// Protocol writes the headers of requests to upstreams and reads the signals in the headers of their responses.
type Protocol interface {
	// Header returns the headers of a request to an upstream, which may process the request for the time left.
	Header(req request.Request, upstream string, left time.Duration) http.Header
	// Signals returns the signals in the headers of a response. It fails if the response belongs to another request.
	Signals(req request.Request, status int, h http.Header) (cluster.Signals, error)
}

// Clusters looks up the upstreams of a service.
type Clusters interface {
	Cluster(service string) *cluster.Cluster
}

// Viewer provides the published configuration and registrations.
type Viewer interface {
	View() *state.View
	// Age returns the time since the view was last confirmed, and false if it never was.
	Age() (time.Duration, bool)
}

// Meter counts events by metric name and records the duration of requests.
type Meter interface {
	Count(name string)
	Observe(caller, class, kind string, took time.Duration, ok bool)
}

// Runner executes requests. It is safe for concurrent use.
type Runner struct {
	protocol Protocol
	clusters Clusters
	viewer   Viewer
	history  *history.History
	planner  *timing.Planner
	splitter *split.Splitter
	meter    Meter
	log      *zap.Logger
	inFlight group.Group
	limiter  *limiter.Limiter
	started  time.Time
	stopping chan struct{}             // closed by Stop
	end      atomic.Pointer[time.Time] // when all requests must have a reply; nil before Stop

	admission               // of workspaces
	region      string      // of this instance
	aggregators Aggregators // nil if there are none
	aggregates  sync.Map    // running *aggregate by aggregateKey
}

// Option configures a Runner.
type Option func(*Runner)

// WithLimiter returns an option that limits the subrequests of all requests in progress together.
func WithLimiter(l *limiter.Limiter) Option { return func(r *Runner) { r.limiter = l } }

// WithAggregators returns an option that lets other instances gather parts for this instance, which is in the given region.
func WithAggregators(region string, a Aggregators) Option {
	return func(r *Runner) { r.region, r.aggregators = region, a }
}

// New returns a Runner that sends requests to the clusters of c.
func New(p Protocol, c Clusters, v Viewer, h *history.History, m Meter, log *zap.Logger, options ...Option) *Runner {
	r := &Runner{
		protocol: p,
		clusters: c,
		viewer:   v,
		history:  h,
		planner:  timing.New(),
		splitter: split.New(),
		meter:    m,
		log:      log,
		limiter:  limiter.New(0),
		started:  time.Now(),
		stopping: make(chan struct{}),
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// Run executes one request and returns its reply. ctx ends when the caller disconnects.
func (r *Runner) Run(ctx context.Context, req request.Request) reply.Reply {
	h := handler{Runner: r, request: req, view: r.viewer.View()}
	h.viewAge, _ = r.viewer.Age()
	rep := h.run(ctx)
	h.report(rep)
	return rep
}

// Stop makes all requests, those in progress and later ones, get a reply by end. A non-idempotent request that may take longer is refused
// when it arrives. Stop must be called at most once.
func (r *Runner) Stop(end time.Time) {
	r.end.Store(&end)
	close(r.stopping)
}

// Wait blocks until no attempt is in flight or ctx ends.
func (r *Runner) Wait(ctx context.Context) { r.inFlight.Wait(ctx) }

// untilConfigured returns the time after which an instance that has just started probably knows the configuration. If the
// usual load time has passed, the instance waits for the store for an unknown time, and the result is a jittered default.
func (r *Runner) untilConfigured() time.Duration {
	if left := configLoadTime - time.Since(r.started); left > 0 {
		return left + rand.N(retryDelay)
	}
	return configLoadTime + rand.N(configLoadTime)
}

// refused returns a refusal with a jittered retry delay.
func refused(reason string) reply.Reply { return refusedFor(reason, 0) }

// refusedFor returns a refusal of a request that cannot be served for the given time. The retry delay has jitter.
func refusedFor(reason string, wait time.Duration) reply.Reply {
	return reply.Refused(reason, max(0, wait)+retryDelay/2+rand.N(retryDelay))
}
