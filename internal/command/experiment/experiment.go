// Package experiment implements the command that compares two request policies under the same load pattern.
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
	// baselineTime lets the policy learn normal latencies before the pattern's fault begins.
	baselineTime = 2 * time.Second
	// plotWidth is the number of characters of the bar for a value of 1.
	plotWidth    = 30
	plotInterval = 500 * time.Millisecond
)

// Command runs load patterns against the policy of this tier and a naive one.
type Command struct {
	stdout, stderr io.Writer

	pattern string
	time    time.Duration
	plot    bool
}

// New returns the command.
func New(stdout, stderr io.Writer) *Command { return &Command{stdout: stdout, stderr: stderr} }

// Name returns the name of the subcommand.
func (*Command) Name() string { return "experiment" }

// Synopsis returns the one-line help text.
func (*Command) Synopsis() string {
	return "compare this tier with a naive policy under a load pattern"
}

// Usage returns the full help text.
func (*Command) Usage() string {
	var names []string
	for _, p := range pattern.All() {
		names = append(names, fmt.Sprintf("  %-18s %s", p.Name, p.Description))
	}
	return `crocuswing experiment [-pattern NAME] [-time D] [-plot]

Runs a load pattern against the policy of one instance and against a naive policy, which sends to a random upstream of each
service and waits for all of them. The upstreams are simulated in memory without a network. Prints one row per policy: the
shares of requests that were served, served within the objective and served whole (without a missing part), the mean worth
(the square of the share of parts, a tenth of that if late), latency quantiles, the share of refusals, and the attempts beyond
the first of each part as a share. With -plot, prints the worth over time as well.

` + strings.Join(names, "\n") + `

Example:
  crocuswing experiment -pattern slow-replica -plot

`
}

// SetFlags registers the command's flags.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.pattern, "pattern", "", "`NAME` of the pattern; all if empty")
	f.DurationVar(&c.time, "time", 5*time.Second, "duration `D` of the run of each policy")
	f.BoolVar(&c.plot, "plot", false, "print the worth over time as bars")
}

// Execute runs the selected patterns.
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
		tier, naive := c.runPattern(p, false), c.runPattern(p, true)
		if err := c.write(p, tier, naive); err != nil {
			_, _ = fmt.Fprintln(c.stderr, "crocuswing experiment:", err)
			return subcommands.ExitFailure
		}
	}
	return subcommands.ExitSuccess
}

// result holds the outcomes of a pattern under one policy.
type result struct {
	name       string
	startedAt  time.Time
	outcomes   []outcome.Outcome
	extraShare float64
}

func (c *Command) runPattern(p pattern.Pattern, isNaive bool) result {
	s := p.Topology()
	w := testbed.New(s)
	defer w.Stop()
	tier := runner.New(w, w.Catalog, w, w.History, metric.New(), zap.NewNop())
	r := result{name: "tier"}
	policy := func(ctx context.Context, q request.Request) reply.Reply { return tier.Run(ctx, q) }
	if isNaive {
		r.name, policy = "naive", w.RunNaive
	}
	w.GenerateLoad(p.PerSecond, baselineTime, s.Route.Timeout, policy)
	p.InjectFault(w)
	before := countArrivals(w)
	r.startedAt = time.Now()
	r.outcomes = w.GenerateLoad(p.PerSecond, c.time, s.Route.Timeout, policy)
	tier.Wait(context.Background())
	firsts := len(r.outcomes) * s.Services
	r.extraShare = float64(countArrivals(w)-before-firsts) / float64(firsts)
	return r
}

func countArrivals(w *testbed.Testbed) int {
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
		share := func(matches func(o outcome.Outcome) bool) float64 {
			return float64(outcome.Count(r.outcomes, matches)) / float64(len(r.outcomes))
		}
		isServed := func(o outcome.Outcome) bool { return o.Status == http.StatusOK }
		_, _ = fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%v\t%v\t%.3f\t%+.3f\t\n", r.name, share(isServed),
			share(func(o outcome.Outcome) bool { return isServed(o) && o.Latency <= s.Route.Objective }),
			share(func(o outcome.Outcome) bool { return isServed(o) && o.Missing == 0 }),
			outcome.Worth(r.outcomes, s.Services, s.Route.Objective),
			outcome.Quantile(r.outcomes, 0.5).Round(time.Millisecond), outcome.Quantile(r.outcomes, 0.99).Round(time.Millisecond),
			share(func(o outcome.Outcome) bool { return o.Status == http.StatusServiceUnavailable }), r.extraShare)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if c.plot {
		c.writePlot(s.Services, s.Route.Objective, results)
	}
	_, err := fmt.Fprintln(c.stdout)
	return err
}

// writePlot writes one bar per half second for the worth of the requests that arrived in it.
func (c *Command) writePlot(services int, objective time.Duration, results []result) {
	for at := time.Duration(0); at < c.time; at += plotInterval {
		_, _ = fmt.Fprintf(c.stdout, "%5.1f s", at.Seconds())
		for _, r := range results {
			arrived := slices.DeleteFunc(slices.Clone(r.outcomes), func(o outcome.Outcome) bool {
				since := o.Arrived.Sub(r.startedAt)
				return since < at || since >= at+plotInterval
			})
			worth := 0.0
			if len(arrived) > 0 {
				worth = outcome.Worth(arrived, services, objective)
			}
			bar := strings.Repeat("#", int(worth*plotWidth+0.5))
			_, _ = fmt.Fprintf(c.stdout, "  %s |%-*s| %.2f", r.name, plotWidth, bar, worth)
		}
		_, _ = fmt.Fprintln(c.stdout)
	}
}
