// Package drive sends the demonstration's queries and orders and checks every answer against the stand-ins.
package drive

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"crocuswing/internal/demo/report"
	"crocuswing/internal/demo/site"
	"crocuswing/internal/order/outcome"
	"crocuswing/internal/query/answer"
	"crocuswing/internal/standin/caller"
	"crocuswing/internal/standin/upstream"
	"crocuswing/internal/wire/call"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	queryWorkers   = 8
	orderWorkers   = 4
	requestTimeout = 5 * time.Second
	maxLatencyUS   = 60_000_000
)

// Driver sends requests to a site and judges the answers.
type Driver struct {
	site   *site.Site
	caller *caller.Caller

	mu        sync.Mutex
	report    report.Report
	latencies *hdrhistogram.Histogram // in microseconds
	outcomes  map[string]string       // by the body of the order
}

// New makes a driver for a running site.
func New(s *site.Site) *Driver {
	return &Driver{
		site:      s,
		caller:    caller.New(site.CallerKey),
		report:    report.Report{MinCoverage: 1},
		latencies: hdrhistogram.New(1, maxLatencyUS, 3),
		outcomes:  make(map[string]string),
	}
}

// Run sends all queries and orders and returns the verdict.
func (d *Driver) Run(ctx context.Context, queries, orders int) report.Report {
	start := time.Now()
	var work sync.WaitGroup
	work.Go(func() { each(queries, queryWorkers, func(n int) { d.query(ctx, n) }) })
	work.Go(func() { each(orders, orderWorkers, func(n int) { d.order(ctx, n) }) })
	work.Wait()
	d.caller.Close()
	d.report.ElapsedMS = time.Since(start).Milliseconds()
	d.judge()
	return d.report
}

// each calls do for 0 to n-1 from a fixed number of goroutines.
func each(n, workers int, do func(int)) {
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

func (d *Driver) query(ctx context.Context, n int) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	id := fmt.Sprintf("demo-query-%d", n)
	text := fmt.Sprintf("cotton-%d", n)
	start := time.Now()
	a, err := d.caller.Search(ctx, d.site.Balancer.Pick(), id, call.Search{Service: site.SearchService, Query: text})
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
	total := d.site.Shards(a.Snapshot)
	return a.Coverage.Total == total && a.Coverage.Answered == len(shards) &&
		a.Coverage.Answered+len(a.Coverage.Missing) == total
}

func (d *Driver) order(ctx context.Context, n int) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	body := fmt.Sprintf("mattress-%d", n)
	state, err := d.place(ctx, body)

	d.mu.Lock()
	defer d.mu.Unlock()
	d.report.Orders++
	d.outcomes[body] = state
	if err != nil {
		d.countCut(err)
	}
}

// place takes a ticket from one instance and places the order through another.
func (d *Driver) place(ctx context.Context, body string) (string, error) {
	t, err := d.caller.Ticket(ctx, d.site.Balancer.Pick(), site.OrderService)
	if err != nil {
		return outcome.NotRun, err
	}
	m := call.Order{Ticket: t.Ticket, Service: site.OrderService, Key: body, Body: body}
	o, err := d.caller.Order(ctx, d.site.Balancer.Pick(), m)
	var refused *caller.StatusError
	if errors.As(err, &refused) {
		return refused.Refusal.Outcome, err
	}
	if err != nil {
		return outcome.Unknown, err
	}
	return o.State, nil
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
		for _, u := range d.site.Upstreams {
			ran += u.Ran(body)
		}
		d.judgeOrder(state, ran)
	}
	for _, u := range d.site.Upstreams {
		r := u.Record()
		d.report.ColdOverload += r.ColdOverload
		d.report.WorkAfterLeave += r.WorkAfterLeave
	}
	var first, extra int64
	for _, r := range d.site.Instances() {
		s := r.Status()
		first += s.FirstAttempts
		extra += s.ExtraAttempts
	}
	d.report.ExtraLoad = float64(extra) / float64(max(first, 1))
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
