// Package run plays one soak: instances as processes, callers, faults and a judge.
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
	// settleTime is after which nothing more is expected to happen to a request that has ended.
	settleTime    = 5 * time.Second
	checkInterval = time.Second
	// startTimeout is what the instances may take to be ready at first.
	startTimeout = 20 * time.Second
	// recoveryTimeout is what they may take to serve after the last disturbance, the users' smallest bound.
	recoveryTimeout = 12 * time.Second
	minRequests     = 20
	// minServedShare of the probes have to be served after the recovery.
	minServedShare = 0.9
	// maxFindingsShown of each broken promise are told.
	maxFindingsShown = 3
	// maxLogLines is the number of log lines that a finding is told with.
	maxLogLines = 6
)

// Options describe a soak.
type Options struct {
	Seed      uint64
	Time      time.Duration
	Instances int
	Callers   int
	Rate      float64
	// Timed tells whether promises with times are checked, which needs a machine that is not overloaded.
	Timed bool
	// Program is the command line of an instance, without its settings.
	Program []string
	// Dir takes settings and logs.
	Dir string
}

// Run is one soak.
type Run struct {
	options  Options
	record   *record.Record
	site     *site.Site
	checker  *checker.Checker
	injector *fault.Injector
}

// New starts a soak's store, upstreams and instances.
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

// Play runs the soak until its time is over or ctx ends, and reports whether no promise was broken.
func (r *Run) Play(ctx context.Context) bool {
	defer func() { _ = r.site.Close() }()
	if !r.waitUntil(ctx, startTimeout, func() bool { return r.readyCount() == len(r.site.Instances) }) && ctx.Err() == nil {
		r.record.AddFinding("instances are ready soon", "", fmt.Sprintf("%d of %d after %v", r.readyCount(), len(r.site.Instances), startTimeout))
	}
	for _, i := range r.site.Instances {
		r.record.MarkDisrupted(i.Name, false)
	}
	faultCtx, cancel := context.WithTimeout(ctx, r.options.Time)
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

func (r *Run) readyCount() int {
	n := 0
	for _, i := range r.site.Instances {
		if i.InRotation() {
			n++
		}
	}
	return n
}

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

// checkRecovery checks that every instance serves again after the last disturbance.
func (r *Run) checkRecovery(ctx context.Context) {
	if !r.waitUntil(ctx, recoveryTimeout, func() bool { return r.readyCount() == len(r.site.Instances) }) {
		r.record.AddFinding("instances recover", "", fmt.Sprintf("%d of %d ready after %v", r.readyCount(), len(r.site.Instances), recoveryTimeout))
		return
	}
	start := time.Now()
	pause.For(ctx, recoveryTimeout/2)
	served, requests := make(map[string]int), make(map[string]int)
	for _, q := range r.record.SnapshotBefore(time.Now()).Settled {
		if q.Sent.Before(start.Add(recoveryTimeout/4)) || q.Canceled {
			continue
		}
		requests[q.Instance]++
		if q.Status/100 == http.StatusOK/100 {
			served[q.Instance]++
		}
	}
	for _, i := range r.site.Instances {
		if n := requests[i.Name]; n >= minRequests && float64(served[i.Name]) < minServedShare*float64(n) {
			r.record.AddFinding("instances recover", "", fmt.Sprintf("%s served %d of %d", i.Name, served[i.Name], n))
		}
	}
}

// Report writes what was played and each broken promise with the lines of the logs that name its request.
func (r *Run) Report(w io.Writer) {
	findings := r.record.Findings()
	_, _ = fmt.Fprintf(w, "seed %d: %d instances, %v; requests: %v; faults: %d; broken promises: %d\n",
		r.options.Seed, r.options.Instances, r.options.Time, r.checker, r.faultCount(), len(findings))
	count := make(map[string]int)
	for _, f := range findings {
		if count[f.Guarantee]++; count[f.Guarantee] > maxFindingsShown {
			continue
		}
		_, _ = fmt.Fprintf(w, "broken: %s: request %q: %s (%s)\n", f.Guarantee, f.ID, f.Detail, f.At.Format(time.RFC3339Nano))
		if f.ID != "" {
			r.writeLogLines(w, f.ID)
		}
	}
}

func (r *Run) faultCount() int {
	n := 0
	for _, count := range r.injector.Counts() {
		n += count
	}
	return n
}

// writeLogLines writes the lines of the logs that hold a text.
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
