// Package run executes one soak test: it starts the instances as processes, sends traffic, injects faults, checks the promises
// and reports the broken ones.
package run

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"

	"crocuswing/internal/soak/checker"
	"crocuswing/internal/soak/fault"
	"crocuswing/internal/soak/record"
	"crocuswing/internal/soak/site"
	"crocuswing/internal/soak/traffic"
	"crocuswing/internal/task/pause"

	"go.uber.org/zap"
)

const (
	// settleTime is how long after its end a request may still arrive at upstreams. It is checked after this time.
	settleTime    = 5 * time.Second
	checkInterval = time.Second
	// startTimeout is the maximum time from the start until all instances are ready.
	startTimeout = 20 * time.Second
	// recoveryTimeout is the maximum time from the last disruption until all instances are ready again. It is the smallest bound
	// in the users' deployments.
	recoveryTimeout = 12 * time.Second
	// minRequests is the number of requests from which minServedShare applies to an instance.
	minRequests = 20
	// minServedShare is the minimum share of successful requests, of those that are entitled, to each instance after the recovery.
	minServedShare = 0.9
	// maxFindingsShown is the maximum number of findings that the report lists for each broken promise.
	maxFindingsShown = 3
	// maxLogLines is the maximum number of log lines that the report shows with a finding.
	maxLogLines = 6
)

// Options configure a soak test.
type Options struct {
	Seed uint64
	// Duration is the time during which faults are started.
	Duration  time.Duration
	Instances int
	Callers   int
	// Rate is the number of requests per second that all callers together send.
	Rate float64
	// Timed enables the checks of promises with time limits, which need a machine that is not overloaded.
	Timed bool
	// Program is the command line of an instance without the -settings flag.
	Program []string
	// Dir is the directory for settings and logs.
	Dir string
}

// Run is one soak test.
type Run struct {
	options  Options
	record   *record.Record
	site     *site.Site
	checker  *checker.Checker
	injector *fault.Injector
}

// New starts the store, the upstreams and the instances of a soak test.
func New(s site.Store, o Options, log *zap.Logger) (*Run, error) {
	r := &Run{options: o, record: record.New()}
	random := rand.New(rand.NewPCG(o.Seed, 1))
	var err error
	if r.site, err = site.New(s, r.record, o.Program, o.Dir, o.Instances, random); err != nil {
		return nil, err
	}
	r.checker = checker.New(s.Headers(), site.RecordsPerPart, o.Timed, r.record.AddFinding)
	r.injector = fault.New(r.site, log, o.Seed)
	for _, i := range r.site.Instances {
		r.record.MarkDisrupted(i.Name, true)
		if err := i.Start(); err != nil {
			return nil, fmt.Errorf("%s: %w", i.Name, err)
		}
	}
	return r, nil
}

// Execute runs the soak test until its time is over or ctx is done, and reports whether no promise was broken.
func (r *Run) Execute(ctx context.Context) bool {
	defer func() { _ = r.site.Close() }()
	if !r.waitUntil(ctx, startTimeout, func() bool { return r.readyCount() == len(r.site.Instances) }) && ctx.Err() == nil {
		r.record.AddFinding("instances are ready soon", "", fmt.Sprintf("%d of %d instances ready after %v", r.readyCount(), len(r.site.Instances), startTimeout))
	}
	for _, i := range r.site.Instances {
		r.record.MarkDisrupted(i.Name, false)
	}
	faultCtx, cancel := context.WithTimeout(ctx, r.options.Duration)
	defer cancel()
	trafficCtx, stopTraffic := context.WithCancel(context.Background())
	defer stopTraffic()
	trafficDone, checksDone := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(trafficDone)
		traffic.New(r.site, r.options.Rate).Run(trafficCtx, r.options.Callers, r.options.Seed)
	}()
	go func() {
		defer close(checksDone)
		for pause.For(faultCtx, checkInterval) {
			r.checker.Check(r.record.SnapshotBefore(time.Now().Add(-settleTime)))
		}
	}()
	r.injector.Run(faultCtx)
	if ctx.Err() == nil {
		r.checkRecovery(ctx)
	}
	stopTraffic()
	<-trafficDone
	<-checksDone
	pause.For(ctx, settleTime)
	r.checker.Finish(r.record.SnapshotBefore(time.Now()))
	return len(r.record.Findings()) == 0
}

// readyCount returns the number of instances in rotation.
func (r *Run) readyCount() int {
	n := 0
	for _, i := range r.site.Instances {
		if i.InRotation() {
			n++
		}
	}
	return n
}

// waitUntil polls done and reports whether it returned true before the timeout and the end of ctx.
func (r *Run) waitUntil(ctx context.Context, timeout time.Duration, done func() bool) bool {
	waitCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !done() {
		if !pause.For(waitCtx, checkInterval/20) {
			return false
		}
	}
	return true
}

// checkRecovery waits until every instance is ready after the last disruption, then checks that each serves the requests that
// neither their key nor a quota refuses.
func (r *Run) checkRecovery(ctx context.Context) {
	if !r.waitUntil(ctx, recoveryTimeout, func() bool { return r.readyCount() == len(r.site.Instances) }) {
		r.record.AddFinding("instances recover", "", fmt.Sprintf("%d of %d instances ready after %v", r.readyCount(), len(r.site.Instances), recoveryTimeout))
		return
	}
	start := time.Now()
	pause.For(ctx, recoveryTimeout/2)
	served, requests := make(map[string]int), make(map[string]int)
	for _, q := range r.record.SnapshotBefore(time.Now()).Settled {
		if q.Sent.Before(start.Add(recoveryTimeout/4)) || q.Canceled || !q.IsEntitled {
			continue
		}
		requests[q.Instance]++
		if q.Status/100 == http.StatusOK/100 {
			served[q.Instance]++
		}
	}
	for _, i := range r.site.Instances {
		if n := requests[i.Name]; n >= minRequests && float64(served[i.Name]) < minServedShare*float64(n) {
			r.record.AddFinding("instances recover", "", fmt.Sprintf("%s served %d of %d requests", i.Name, served[i.Name], n))
		}
	}
}

// Report writes a summary of the soak test, and the first findings of each broken promise with the log lines that mention the
// request.
func (r *Run) Report(w io.Writer) {
	findings := r.record.Findings()
	_, _ = fmt.Fprintf(w, "seed %d: %d instances, %v; requests: %v; faults: %d; broken promises: %d\n",
		r.options.Seed, r.options.Instances, r.options.Duration, r.checker, r.faultCount(), len(findings))
	count := make(map[string]int)
	for _, f := range findings {
		if count[f.Promise]++; count[f.Promise] > maxFindingsShown {
			continue
		}
		_, _ = fmt.Fprintf(w, "broken: %s: request %q: %s (%s)\n", f.Promise, f.ID, f.Detail, f.At.Format(time.RFC3339Nano))
		if f.ID != "" {
			r.writeLogLines(w, f.ID)
		}
	}
}

// faultCount returns the number of faults and planned operations started.
func (r *Run) faultCount() int {
	n := 0
	for _, count := range r.injector.Counts() {
		n += count
	}
	return n
}

// writeLogLines writes up to maxLogLines lines of the instances' logs that contain text.
func (r *Run) writeLogLines(w io.Writer, text string) {
	remaining := maxLogLines
	for _, i := range r.site.Instances {
		f, err := os.Open(i.LogFile())
		if err != nil {
			_, _ = fmt.Fprintln(w, "  ", err)
			continue
		}
		scanner := bufio.NewScanner(f)
		for remaining > 0 && scanner.Scan() {
			if strings.Contains(scanner.Text(), text) {
				_, _ = fmt.Fprintf(w, "  %s: %s\n", i.Name, scanner.Text())
				remaining--
			}
		}
		_ = f.Close()
	}
}
