// Package soak implements the command that runs instances as processes, injects faults and checks that they keep their
// promises.
package soak

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"crocuswing/internal/operator/log"
	"crocuswing/internal/soak/run"
	"crocuswing/internal/soak/site"

	"github.com/google/subcommands"
)

// Command runs one soak test per seed, one after the other.
type Command struct {
	stdout, stderr io.Writer
	store          func() site.Store
	instanceArgs   []string

	seeds                  string
	count                  int
	time                   time.Duration
	instances              int
	callers                int
	rate                   float64
	untimed                bool
	dir, logLevel, program string
}

// New returns the command. store creates a simulated store of the platform; instanceArgs are the arguments with which the
// program runs an instance.
func New(stdout, stderr io.Writer, store func() site.Store, instanceArgs ...string) *Command {
	return &Command{stdout: stdout, stderr: stderr, store: store, instanceArgs: instanceArgs}
}

// Name returns the name of the subcommand.
func (*Command) Name() string { return "soak" }

// Synopsis returns the one-line help text.
func (*Command) Synopsis() string {
	return "run instances as processes, inject faults and check promises"
}

// Usage returns the full help text.
func (*Command) Usage() string {
	return `crocuswing soak [-seeds N,N,... | -count N] [-time D] [-instances N] [-rate N] [-untimed] [-dir DIR]

Starts instances of this program as processes, together with a simulated store, simulated upstreams and callers. Faults are
drawn from a seed, which is printed first: processes are paused, killed, stopped and restarted, connections are delayed, reset,
stalled and blocked in one direction, the store and upstreams misbehave, and the configuration changes. The requests and
responses of callers and upstreams are checked during the run. Exits with status 1 if a promise was broken; each broken promise
is printed with its request and the log lines that mention the request, and the logs are kept in DIR. With -untimed, promises
with time limits are not checked, for machines that are busy with other work.

Examples:
  crocuswing soak -count 10 -time 1m
  crocuswing soak -seeds 17,23 -instances 6 -rate 300

`
}

// SetFlags registers the command's flags.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.seeds, "seeds", "", "seeds to run, `N,N,...`; random if empty")
	f.IntVar(&c.count, "count", 1, "number of random seeds, `N`")
	f.DurationVar(&c.time, "time", 30*time.Second, "time `D` during which faults are injected")
	f.IntVar(&c.instances, "instances", 4, "number of instances, `N`")
	f.IntVar(&c.callers, "callers", 12, "number of callers, `N`")
	f.Float64Var(&c.rate, "rate", 120, "requests per second, `N`")
	f.BoolVar(&c.untimed, "untimed", false, "do not check promises with time limits")
	f.StringVar(&c.dir, "dir", "", "`DIR` for settings and logs; a temporary one if empty")
	f.StringVar(&c.logLevel, "log-level", "error", "minimum `LEVEL` of the soak test's own log; info shows each fault")
	f.StringVar(&c.program, "program", "", "`FILE` with the program under test; this one if empty")
}

// Execute runs the seeds.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	seeds, err := c.parseSeeds()
	if err == nil && (f.NArg() > 0 || c.instances < 1 || c.instances > site.MaxInstances || c.callers < 1 || c.rate <= 0 || c.time <= 0) {
		err = fmt.Errorf("want 1 to %d instances, callers, rate and time above 0 and no further arguments", site.MaxInstances)
	}
	if err != nil {
		_, _ = fmt.Fprintln(c.stderr, "crocuswing soak:", err)
		return subcommands.ExitUsageError
	}
	status := subcommands.ExitSuccess
	for _, seed := range seeds {
		if ctx.Err() != nil {
			return subcommands.ExitFailure
		}
		passed, err := c.runSeed(ctx, seed)
		if err != nil {
			_, _ = fmt.Fprintln(c.stderr, "crocuswing soak:", err)
			return subcommands.ExitFailure
		}
		if !passed {
			status = subcommands.ExitFailure
		}
	}
	return status
}

// parseSeeds returns the seeds of the -seeds flag, or random ones if it is empty.
func (c *Command) parseSeeds() ([]uint64, error) {
	if c.seeds == "" {
		var drawn []uint64
		for range c.count {
			drawn = append(drawn, rand.Uint64N(1_000_000))
		}
		return drawn, nil
	}
	var seeds []uint64
	for text := range strings.SplitSeq(c.seeds, ",") {
		seed, err := strconv.ParseUint(strings.TrimSpace(text), 10, 64)
		if err != nil {
			return nil, fmt.Errorf("seed %q: %w", text, err)
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

// runSeed runs one soak test and reports whether no promise was broken. It removes the directory in that case.
func (c *Command) runSeed(ctx context.Context, seed uint64) (passed bool, err error) {
	_, _ = fmt.Fprintf(c.stdout, "seed %d\n", seed)
	dir, err := c.makeDir(seed)
	if err != nil {
		return false, err
	}
	bin := c.program
	if bin == "" {
		if bin, err = os.Executable(); err != nil {
			return false, err
		}
	}
	r, err := run.New(c.store(), run.Options{
		Seed: seed, Duration: c.time, Instances: c.instances, Callers: c.callers, Rate: c.rate, Timed: !c.untimed,
		Program: append([]string{bin}, c.instanceArgs...), Dir: dir,
	}, log.New(c.stderr, c.logLevel))
	if err != nil {
		return false, err
	}
	passed = r.Execute(ctx)
	r.Report(c.stdout)
	if passed {
		return true, os.RemoveAll(dir)
	}
	_, _ = fmt.Fprintf(c.stdout, "logs: %s\n", dir)
	return false, nil
}

// makeDir creates the directory for the settings and logs of a seed.
func (c *Command) makeDir(seed uint64) (string, error) {
	if c.dir == "" {
		return os.MkdirTemp("", fmt.Sprintf("crocuswing-soak-%d-", seed))
	}
	dir := filepath.Join(c.dir, strconv.FormatUint(seed, 10))
	return dir, os.MkdirAll(dir, 0o700)
}
