// Package demo implements the command that demonstrates the system in one process.
package demo

import (
	"context"
	"flag"
	"fmt"
	"io"

	"crocuswing/internal/demo/client"
	"crocuswing/internal/demo/driver"
	"crocuswing/internal/demo/fault"
	"crocuswing/internal/demo/naive"
	"crocuswing/internal/demo/report"
	"crocuswing/internal/demo/site"
	"crocuswing/internal/operator/log"

	"github.com/google/subcommands"
	"golang.org/x/sync/errgroup"
)

// Command runs simulated back-end servers and instances on loopback addresses and verifies the outcome of the requests.
type Command struct {
	stdout, stderr  io.Writer
	queries, orders int
	seed            uint64
	json            bool
	faults, naive   bool
	logLevel        string
}

// New returns the command.
func New(stdout, stderr io.Writer) *Command { return &Command{stdout: stdout, stderr: stderr} }

// Name returns the name of the subcommand.
func (*Command) Name() string { return "demo" }

// Synopsis returns the one-line help text.
func (*Command) Synopsis() string { return "demonstrate the system in one process" }

// Usage returns the full help text.
func (*Command) Usage() string {
	return `crocuswing demo [-queries N] [-orders N] [-faults] [-naive] [-seed N] [-json] [-log-level LEVEL]

Runs a simulated platform, simulated upstreams and four instances on loopback, sends queries and orders
as a caller, and compares the results with the records of the simulated servers. Exits with status 1 if
a promise was broken.
With -faults, upstreams become slow, crash, turn cold, stall and drain, the snapshot and the shards change,
a failure domain is taken out of service and returns, and an instance is replaced while the requests run.
With -naive, requests go to the first replica of each shard instead of the instances, for comparison.

Examples:
  crocuswing demo -queries 500 -json
  crocuswing demo -faults -seed 7

`
}

// SetFlags registers the command's flags.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.queries, "queries", 2000, "number of queries, `N`")
	f.IntVar(&c.orders, "orders", 500, "number of orders, `N`")
	f.BoolVar(&c.faults, "faults", false, "inject faults during the run")
	f.BoolVar(&c.naive, "naive", false, "use the naive baseline instead of the instances")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the simulated service times, `N`")
	f.BoolVar(&c.json, "json", false, "print one JSON object")
	f.StringVar(&c.logLevel, "log-level", "error", "minimum `LEVEL` of the instances' logs")
}

// Execute runs the demonstration.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.queries < 0 || c.orders < 0 || f.NArg() > 0 {
		_, _ = fmt.Fprintln(c.stderr, "crocuswing demo: want counts of at least 0 and no further arguments")
		return subcommands.ExitUsageError
	}
	r, err := c.run(ctx)
	if err != nil {
		_, _ = fmt.Fprintln(c.stderr, "crocuswing demo:", err)
		return subcommands.ExitFailure
	}
	write := r.WriteTable
	if c.json {
		write = r.WriteJSON
	}
	if err := write(c.stdout); err != nil || r.Violations() > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *Command) run(ctx context.Context) (report.Report, error) {
	logger := log.New(c.stderr, c.logLevel)
	s, err := site.Start(logger, c.seed)
	if err != nil {
		return report.Report{}, err
	}
	defer s.Close()
	var options []driver.Option
	var faults errgroup.Group
	if c.faults {
		options = append(options, driver.WithDuration(fault.Duration))
		faults.Go(func() error { return fault.New(s, logger, c.seed).Run(ctx) })
	}
	r := c.drive(ctx, s, options)
	first, extra := s.Attempts()
	r.ExtraLoad = float64(extra) / float64(max(first, 1))
	return r, faults.Wait()
}

func (c *Command) drive(ctx context.Context, s *site.Site, options []driver.Option) report.Report {
	if c.naive {
		baseline := naive.New(s.Backend)
		defer baseline.Close()
		return driver.New(s.Backend, baseline, options...).Run(ctx, c.queries, c.orders)
	}
	instances := client.New(s.Balancer)
	defer instances.Close()
	return driver.New(s.Backend, instances, options...).Run(ctx, c.queries, c.orders)
}
