// Package driver sends the demonstration's queries and orders and checks every answer and outcome against the records of the
// simulated upstreams.
package driver

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"crocuswing/internal/demo/backend"
	"crocuswing/internal/demo/report"
	"crocuswing/internal/order/outcome"
	"crocuswing/internal/query/answer"
	"crocuswing/internal/standin/caller"
	"crocuswing/internal/standin/upstream"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	queryWorkers   = 8
	orderWorkers   = 4
	requestTimeout = 5 * time.Second
	maxLatencyUS   = 60_000_000
)

// Target is the system that receives the demonstration's requests.
type Target interface {
	// Search runs a query. The error is a *caller.StatusError if the target refused the query.
	Search(ctx context.Context, id, text string) (answer.Answer, error)
	// Order places an order and returns the state of its outcome, which is valid even if the error is not nil.
	Order(ctx context.Context, body string) (string, error)
}

// Driver sends requests to a target and checks the answers against the records of the upstreams.
type Driver struct {
	backend  *backend.Backend
	target   Target
	duration time.Duration

	mu        sync.Mutex
	report    report.Report
	latencies *hdrhistogram.Histogram // in microseconds
	outcomes  map[string]string       // by order body
}

// Option configures a Driver.
type Option func(*Driver)

// WithDuration spreads the requests evenly over d. Without it, each worker sends its next request as soon as the previous one ends.
func WithDuration(d time.Duration) Option {
	return func(driver *Driver) { driver.duration = d }
}

// New returns a driver that sends requests to t.
func New(b *backend.Backend, t Target, options ...Option) *Driver {
	d := &Driver{
		backend:   b,
		target:    t,
		report:    report.Report{MinCoverage: 1},
		latencies: hdrhistogram.New(1, maxLatencyUS, 3),
		outcomes:  make(map[string]string),
	}
	for _, o := range options {
		o(d)
	}
	return d
}

// Run sends all queries and orders and returns the report.
func (d *Driver) Run(ctx context.Context, queries, orders int) report.Report {
	start := time.Now()
	var wg sync.WaitGroup
	wg.Go(func() { d.forEach(queries, queryWorkers, func(n int) { d.sendQuery(ctx, n) }) })
	wg.Go(func() { d.forEach(orders, orderWorkers, func(n int) { d.sendOrder(ctx, n) }) })
	wg.Wait()
	d.report.ElapsedMS = time.Since(start).Milliseconds()
	d.evaluate()
	return d.report
}

// forEach calls do for 0 to n-1, from a fixed number of workers or spread over the driver's duration.
func (d *Driver) forEach(n, workers int, do func(int)) {
	if d.duration > 0 {
		d.forEachPaced(n, do)
		return
	}
	jobs := make(chan int, workers)
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for job := range jobs {
				do(job)
			}
		})
	}
	for job := range n {
		jobs <- job
	}
	close(jobs)
	wg.Wait()
}

func (d *Driver) forEachPaced(n int, do func(int)) {
	var wg sync.WaitGroup
	start := time.Now()
	for job := range n {
		time.Sleep(time.Until(start.Add(d.duration * time.Duration(job) / time.Duration(n))))
		wg.Go(func() { do(job) })
	}
	wg.Wait()
}

func (d *Driver) sendQuery(ctx context.Context, n int) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	id := fmt.Sprintf("demo-query-%d", n)
	text := fmt.Sprintf("cotton-%d", n)
	start := time.Now()
	a, err := d.target.Search(ctx, id, text)
	latency := time.Since(start)

	d.mu.Lock()
	defer d.mu.Unlock()
	d.report.Queries++
	_ = d.latencies.RecordValue(latency.Microseconds())
	if err != nil {
		d.report.FailedQueries++
		d.countCutRequest(err)
		return
	}
	d.checkAnswer(a, id, text)
}

// checkAnswer checks an answer against its rows, which identify the shard, snapshot and query that an upstream served.
func (d *Driver) checkAnswer(a answer.Answer, id, text string) {
	shards := make(map[string]int)
	snapshots := make(map[string]bool)
	crossed := a.RequestID != id
	for _, row := range a.Rows {
		fields := strings.Split(row, "|")
		shards[fields[1]]++
		snapshots[fields[2]] = true
		crossed = crossed || fields[3] != text
	}
	if crossed {
		d.report.CrossedAnswers++
	}
	if len(snapshots) > 1 {
		d.report.MixedSnapshots++
	}
	if !d.isCoverageTrue(a, shards) {
		d.report.FalseCoverage++
	}
	d.report.MinCoverage = min(d.report.MinCoverage, a.Coverage.Share())
}

// isCoverageTrue reports whether the coverage of an answer agrees with its rows; shards holds the number of rows by shard.
func (d *Driver) isCoverageTrue(a answer.Answer, shards map[string]int) bool {
	for _, rows := range shards {
		if rows != upstream.RowsPerPart {
			return false
		}
	}
	for _, name := range a.Coverage.Missing {
		if shards[name] > 0 {
			return false
		}
	}
	total := d.backend.ShardCount(a.Snapshot)
	return a.Coverage.Total == total && a.Coverage.Answered == len(shards) &&
		a.Coverage.Answered+len(a.Coverage.Missing) == total
}

func (d *Driver) sendOrder(ctx context.Context, n int) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	body := fmt.Sprintf("mattress-%d", n)
	state, err := d.target.Order(ctx, body)

	d.mu.Lock()
	defer d.mu.Unlock()
	d.report.Orders++
	d.outcomes[body] = state
	if err != nil {
		d.countCutRequest(err)
	}
}

// countCutRequest counts a request that failed with err, unless the target refused it.
func (d *Driver) countCutRequest(err error) {
	var refused *caller.StatusError
	if !errors.As(err, &refused) {
		d.report.CutRequests++
	}
}

// evaluate compares the reported outcomes with the orders that the upstreams ran, and adds the violations that the upstreams
// counted and the latencies to the report.
func (d *Driver) evaluate() {
	for body, state := range d.outcomes {
		ran := 0
		for _, u := range d.backend.Upstreams() {
			ran += u.OrderRuns(body)
		}
		d.evaluateOrder(state, ran)
	}
	for _, u := range d.backend.Upstreams() {
		c := u.Counts()
		d.report.ColdOverload += c.ColdOverload
		d.report.WorkAfterLeave += c.WorkAfterLeave
		d.report.OverConnected += c.OverConnected
	}
	d.report.P50MS = float64(d.latencies.ValueAtQuantile(50)) / 1000
	d.report.P99MS = float64(d.latencies.ValueAtQuantile(99)) / 1000
}

func (d *Driver) evaluateOrder(state string, ran int) {
	if ran > 1 {
		d.report.DoubledOrders++
	}
	switch state {
	case outcome.Done:
		d.report.DoneOrders++
		if ran == 0 {
			d.report.LostOrders++
		}
	case outcome.NotRun:
		d.report.NotRunOrders++
		if ran > 0 {
			d.report.FalseNotRun++
		}
	default:
		d.report.UnknownOrders++
	}
}
