// Package driver sends the demonstration's queries and orders and checks every answer against the stand-ins.
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

// Target answers the demonstration's requests.
type Target interface {
	// Search fails with *caller.StatusError if it was refused.
	Search(ctx context.Context, id, text string) (answer.Answer, error)
	// Order gives the state of the outcome, also beside an error.
	Order(ctx context.Context, body string) (string, error)
}

// Driver sends requests to a tier and judges the answers by the records of the upstreams.
type Driver struct {
	backend *backend.Backend
	tier    Target
	pace    time.Duration

	mu        sync.Mutex
	report    report.Report
	latencies *hdrhistogram.Histogram // in microseconds
	outcomes  map[string]string       // by the body of the order
}

// Option changes how a driver sends.
type Option func(*Driver)

// WithDuration spreads the requests evenly over d; without it each follows the last at once.
func WithDuration(d time.Duration) Option {
	return func(driver *Driver) { driver.pace = d }
}

// New makes a driver.
func New(b *backend.Backend, t Target, options ...Option) *Driver {
	d := &Driver{
		backend:   b,
		tier:      t,
		report:    report.Report{MinCoverage: 1},
		latencies: hdrhistogram.New(1, maxLatencyUS, 3),
		outcomes:  make(map[string]string),
	}
	for _, o := range options {
		o(d)
	}
	return d
}

// Run sends all queries and orders and returns the verdict.
func (d *Driver) Run(ctx context.Context, queries, orders int) report.Report {
	start := time.Now()
	var work sync.WaitGroup
	work.Go(func() { d.each(queries, queryWorkers, func(n int) { d.query(ctx, n) }) })
	work.Go(func() { d.each(orders, orderWorkers, func(n int) { d.order(ctx, n) }) })
	work.Wait()
	d.report.ElapsedMS = time.Since(start).Milliseconds()
	d.judge()
	return d.report
}

// each calls do for 0 to n-1 from a fixed number of goroutines, or at the driver's pace.
func (d *Driver) each(n, workers int, do func(int)) {
	if d.pace > 0 {
		d.eachPaced(n, do)
		return
	}
	jobs := make(chan int, workers)
	var work sync.WaitGroup
	for range workers {
		work.Go(func() {
			for job := range jobs {
				do(job)
			}
		})
	}
	for job := range n {
		jobs <- job
	}
	close(jobs)
	work.Wait()
}

func (d *Driver) eachPaced(n int, do func(int)) {
	var work sync.WaitGroup
	start := time.Now()
	for job := range n {
		time.Sleep(time.Until(start.Add(d.pace * time.Duration(job) / time.Duration(n))))
		work.Go(func() { do(job) })
	}
	work.Wait()
}

func (d *Driver) query(ctx context.Context, n int) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	id := fmt.Sprintf("demo-query-%d", n)
	text := fmt.Sprintf("cotton-%d", n)
	start := time.Now()
	a, err := d.tier.Search(ctx, id, text)
	took := time.Since(start)

	d.mu.Lock()
	defer d.mu.Unlock()
	d.report.Queries++
	_ = d.latencies.RecordValue(took.Microseconds())
	if err != nil {
		d.report.FailedQueries++
		d.countCut(err)
		return
	}
	d.check(a, id, text)
}

// check judges one answer by its rows, which only the upstreams make.
func (d *Driver) check(a answer.Answer, id, text string) {
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

func (d *Driver) order(ctx context.Context, n int) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	body := fmt.Sprintf("mattress-%d", n)
	state, err := d.tier.Order(ctx, body)

	d.mu.Lock()
	defer d.mu.Unlock()
	d.report.Orders++
	d.outcomes[body] = state
	if err != nil {
		d.countCut(err)
	}
}

// countCut counts an error that is not an answer of the tier.
func (d *Driver) countCut(err error) {
	var refused *caller.StatusError
	if !errors.As(err, &refused) {
		d.report.CutRequests++
	}
}

// judge compares the reported outcomes with what the upstreams ran.
func (d *Driver) judge() {
	for body, state := range d.outcomes {
		ran := 0
		for _, u := range d.backend.Upstreams() {
			ran += u.OrderRuns(body)
		}
		d.judgeOrder(state, ran)
	}
	for _, u := range d.backend.Upstreams() {
		r := u.Counts()
		d.report.ColdOverload += r.ColdOverload
		d.report.WorkAfterLeave += r.WorkAfterLeave
		d.report.OverConnected += r.OverConnected
	}
	d.report.P50MS = float64(d.latencies.ValueAtQuantile(50)) / 1000
	d.report.P99MS = float64(d.latencies.ValueAtQuantile(99)) / 1000
}

func (d *Driver) judgeOrder(state string, ran int) {
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
