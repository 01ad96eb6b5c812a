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

	"crocuswing/internal/soak/fault"
	"crocuswing/internal/soak/judge"
	"crocuswing/internal/soak/record"
	"crocuswing/internal/soak/site"
	"crocuswing/internal/soak/traffic"
	"crocuswing/internal/task/pause"

	"go.uber.org/zap"
)

const (
	// settleTime is after which nothing more is expected to happen to a request that has ended.
	settleTime = 5 * time.Second
	lookEvery  = time.Second
	// startTime is what the instances may take to be ready at first.
	startTime = 20 * time.Second
	// recoverTime is what they may take to serve after the last disturbance, the users' smallest bound.
	recoverTime = 12 * time.Second
	probes      = 20
	// probeShare of the probes have to be served after the recovery.
	probeShare = 0.9
	// examples of each broken promise are told.
	examples = 3
	// linesShown is the number of log lines that a finding is told with.
	linesShown = 6
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
	options Options
	record  *record.Record
	site    *site.Site
	judge   *judge.Judge
	faults  *fault.Faults
}

// New starts a soak's store, upstreams and instances.
func New(s site.Store, o Options, log *zap.Logger) (*Run, error) {
	r := &Run{options: o, record: record.New()}
	random := rand.New(rand.NewPCG(o.Seed, 1))
	var err error
	if r.site, err = site.New(s, r.record, o.Program, o.Dir, o.Instances, random); err != nil {
		return nil, err
	}
	r.judge = judge.New(s.Headers(), site.Records, o.Timed, r.record.Find)
	r.faults = fault.New(r.site, log, o.Seed)
	for _, i := range r.site.Instances {
		r.record.Disturb(i.Name, true)
		if err := i.Start(); err != nil {
			return nil, fmt.Errorf("%s: %w", i.Name, err)
		}
	}
	return r, nil
}

// Play runs the soak until its time is over or ctx ends, and reports whether no promise was broken.
func (r *Run) Play(ctx context.Context) bool {
	defer func() { _ = r.site.Close() }()
	if !r.await(ctx, startTime, func() bool { return r.ready() == len(r.site.Instances) }) && ctx.Err() == nil {
		r.record.Find("instances are ready soon", "", fmt.Sprintf("%d of %d after %v", r.ready(), len(r.site.Instances), startTime))
	}
	for _, i := range r.site.Instances {
		r.record.Disturb(i.Name, false)
	}
	limited, cancel := context.WithTimeout(ctx, r.options.Time)
	defer cancel()
	sending, end := context.WithCancel(context.Background())
	defer end()
	sent, judged := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sent)
		traffic.New(r.site, r.options.Rate).Run(sending, r.options.Callers, r.options.Seed)
	}()
	go func() {
		defer close(judged)
		for pause.For(limited, lookEvery) {
			r.judge.Look(r.record.Before(time.Now().Add(-settleTime)))
		}
	}()
	r.faults.Run(limited)
	if ctx.Err() == nil {
		r.recover(ctx)
	}
	end()
	<-sent
	<-judged
	pause.For(ctx, settleTime)
	r.judge.End(r.record.Before(time.Now()))
	return len(r.record.Findings()) == 0
}

func (r *Run) ready() int {
	n := 0
	for _, i := range r.site.Instances {
		if i.InRotation() {
			n++
		}
	}
	return n
}

func (r *Run) await(ctx context.Context, limit time.Duration, done func() bool) bool {
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !done() {
		if !pause.For(limited, lookEvery/20) {
			return false
		}
	}
	return true
}

// recover checks that every instance serves again after the last disturbance.
func (r *Run) recover(ctx context.Context) {
	if !r.await(ctx, recoverTime, func() bool { return r.ready() == len(r.site.Instances) }) {
		r.record.Find("instances recover", "", fmt.Sprintf("%d of %d ready after %v", r.ready(), len(r.site.Instances), recoverTime))
		return
	}
	begun := time.Now()
	pause.For(ctx, recoverTime/2)
	served, asked := make(map[string]int), make(map[string]int)
	for _, q := range r.record.Before(time.Now()).Settled {
		if q.Sent.Before(begun.Add(recoverTime/4)) || q.Left {
			continue
		}
		asked[q.Instance]++
		if q.Status/100 == http.StatusOK/100 {
			served[q.Instance]++
		}
	}
	for _, i := range r.site.Instances {
		if n := asked[i.Name]; n >= probes && float64(served[i.Name]) < probeShare*float64(n) {
			r.record.Find("instances recover", "", fmt.Sprintf("%s served %d of %d", i.Name, served[i.Name], n))
		}
	}
}

// Report writes what was played and each broken promise with the lines of the logs that name its request.
func (r *Run) Report(w io.Writer) {
	found := r.record.Findings()
	_, _ = fmt.Fprintf(w, "seed %d: %d instances, %v; requests: %v; faults: %d; broken promises: %d\n",
		r.options.Seed, r.options.Instances, r.options.Time, r.judge, r.total(), len(found))
	told := make(map[string]int)
	for _, f := range found {
		if told[f.Promise]++; told[f.Promise] > examples {
			continue
		}
		_, _ = fmt.Fprintf(w, "broken: %s: request %q: %s (%s)\n", f.Promise, f.ID, f.Detail, f.At.Format(time.RFC3339Nano))
		if f.ID != "" {
			r.lines(w, f.ID)
		}
	}
}

func (r *Run) total() int {
	n := 0
	for _, of := range r.faults.Counts() {
		n += of
	}
	return n
}

// lines writes the lines of the logs that hold a text.
func (r *Run) lines(w io.Writer, text string) {
	left := linesShown
	for _, i := range r.site.Instances {
		f, err := os.Open(i.Log())
		if err != nil {
			_, _ = fmt.Fprintln(w, "  ", err)
			continue
		}
		lines := bufio.NewScanner(f)
		for left > 0 && lines.Scan() {
			if strings.Contains(lines.Text(), text) {
				_, _ = fmt.Fprintf(w, "  %s: %s\n", i.Name, lines.Text())
				left--
			}
		}
		_ = f.Close()
	}
}
