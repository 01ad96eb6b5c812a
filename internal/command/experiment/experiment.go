// Package experiment holds the command that plays a pattern of load against two policies.
package experiment

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"crocuswing/internal/experiment/outcome"
	"crocuswing/internal/experiment/pattern"
	"crocuswing/internal/experiment/testbed"
	"crocuswing/internal/forward/reply"
	"crocuswing/internal/forward/request"
	"crocuswing/internal/forward/runner"
	"crocuswing/internal/operator/metric"

	"github.com/google/subcommands"
	"go.uber.org/zap"
)

const (
	// warmTime lets the policy learn what is usual before the trouble begins.
	warmTime = 2 * time.Second
	// plotWidth is the length of the bar of a full value.
	plotWidth = 30
	plotEvery = 500 * time.Millisecond
)

// Command plays patterns.
type Command struct {
	stdout, stderr io.Writer

	pattern string
	time    time.Duration
	plot    bool
}

// New makes the command.
func New(stdout, stderr io.Writer) *Command { return &Command{stdout: stdout, stderr: stderr} }

// Name is the word on the command line.
func (*Command) Name() string { return "experiment" }

// Synopsis is one line of help.
func (*Command) Synopsis() string {
	return "play a pattern of load against this tier and a naive policy"
}

// Usage is the help text.
func (*Command) Usage() string {
	var names []string
	for _, p := range pattern.All() {
		names = append(names, fmt.Sprintf("  %-18s %s", p.Name, p.Description))
	}
	return `crocuswing experiment [-pattern NAME] [-time D] [-plot]

Plays a pattern against one instance's policy and against a naive one, which asks a random upstream of each service and waits for
all. The upstreams are stand-ins in memory; nothing goes over a network. Prints a row for each policy: the share of requests that
were served, served within the objective and served whole, the mean worth (the square of the share of parts, a tenth of it when
late), the times, the refusals, and the attempts beyond the first of each part as a share. With -plot, the worth over time.

` + strings.Join(names, "\n") + `

Example:
  crocuswing experiment -pattern slow-replica -plot

`
}

// SetFlags defines the flags.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.pattern, "pattern", "", "`NAME` of the pattern; all if empty")
	f.DurationVar(&c.time, "time", 5*time.Second, "time `D` that each policy is played")
	f.BoolVar(&c.plot, "plot", false, "draw the worth over time")
}

// Execute plays the patterns.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	all := pattern.All()
	if c.pattern != "" {
		all = slices.DeleteFunc(all, func(p pattern.Pattern) bool { return p.Name != c.pattern })
	}
	if len(all) == 0 || c.time <= 0 || f.NArg() > 0 {
		_, _ = fmt.Fprintln(c.stderr, "crocuswing experiment: want the name of a pattern, a time above 0 and no further arguments")
		return subcommands.ExitUsageError
	}
	for _, p := range all {
		if ctx.Err() != nil {
			return subcommands.ExitFailure
		}
		tier, naive := c.play(p, false), c.play(p, true)
		if err := c.write(p, tier, naive); err != nil {
			_, _ = fmt.Fprintln(c.stderr, "crocuswing experiment:", err)
			return subcommands.ExitFailure
		}
	}
	return subcommands.ExitSuccess
}

// result is a pattern played against one policy.
type result struct {
	name     string
	begun    time.Time
	outcomes []outcome.Outcome
	extra    float64
}

func (c *Command) play(p pattern.Pattern, isNaive bool) result {
	s := p.Topology()
	w := testbed.New(s)
	defer w.Stop()
	tier := runner.New(w, w.Catalog, w, w.History, metric.New(), zap.NewNop())
	r := result{name: "tier"}
	policy := func(ctx context.Context, q request.Request) reply.Reply { return tier.Run(ctx, q) }
	if isNaive {
		r.name, policy = "naive", w.RunNaive
	}
	w.GenerateLoad(p.PerSecond, warmTime, s.Route.Timeout, policy)
	p.InjectFault(w)
	before := arrivals(w)
	r.begun = time.Now()
	r.outcomes = w.GenerateLoad(p.PerSecond, c.time, s.Route.Timeout, policy)
	tier.Wait(context.Background())
	firsts := len(r.outcomes) * s.Services
	r.extra = float64(arrivals(w)-before-firsts) / float64(firsts)
	return r
}

func arrivals(w *testbed.Testbed) int {
	n := 0
	for _, p := range w.AllReplicas() {
		n += len(p.ArrivalTimes())
	}
	return n
}

func (c *Command) write(p pattern.Pattern, results ...result) error {
	_, _ = fmt.Fprintf(c.stdout, "%s: %s; %d requests a second\n", p.Name, p.Description, p.PerSecond)
	if p.Source != "" {
		_, _ = fmt.Fprintf(c.stdout, "(%s)\n", p.Source)
	}
	s := p.Topology()
	table := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "policy\tserved\tin objective\twhole\tworth\tp50\tp99\trefused\textra\t")
	for _, r := range results {
		share := func(is func(o outcome.Outcome) bool) float64 {
			return float64(outcome.Count(r.outcomes, is)) / float64(len(r.outcomes))
		}
		isServed := func(o outcome.Outcome) bool { return o.Status == http.StatusOK }
		_, _ = fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%v\t%v\t%.3f\t%+.3f\t\n", r.name, share(isServed),
			share(func(o outcome.Outcome) bool { return isServed(o) && o.Latency <= s.Route.Objective }),
			share(func(o outcome.Outcome) bool { return isServed(o) && o.Missing == 0 }),
			outcome.Worth(r.outcomes, s.Services, s.Route.Objective),
			outcome.Quantile(r.outcomes, 0.5).Round(time.Millisecond), outcome.Quantile(r.outcomes, 0.99).Round(time.Millisecond),
			share(func(o outcome.Outcome) bool { return o.Status == http.StatusServiceUnavailable }), r.extra)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if c.plot {
		c.draw(s.Services, s.Route.Objective, results)
	}
	_, err := fmt.Fprintln(c.stdout)
	return err
}

// draw writes a bar for the worth of the requests that began in each half second.
func (c *Command) draw(services int, objective time.Duration, results []result) {
	for at := time.Duration(0); at < c.time; at += plotEvery {
		_, _ = fmt.Fprintf(c.stdout, "%5.1f s", at.Seconds())
		for _, r := range results {
			in := slices.DeleteFunc(slices.Clone(r.outcomes), func(o outcome.Outcome) bool {
				since := o.Arrived.Sub(r.begun)
				return since < at || since >= at+plotEvery
			})
			worth := 0.0
			if len(in) > 0 {
				worth = outcome.Worth(in, services, objective)
			}
			bar := strings.Repeat("#", int(worth*plotWidth+0.5))
			_, _ = fmt.Fprintf(c.stdout, "  %s |%-*s| %.2f", r.name, plotWidth, bar, worth)
		}
		_, _ = fmt.Fprintln(c.stdout)
	}
}
