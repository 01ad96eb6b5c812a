// Package soak holds the command that runs instances as processes under faults and judges them.
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

// Command runs soaks one after the other.
type Command struct {
	stdout, stderr io.Writer
	store          func() site.Store
	program        []string

	seeds           string
	count           int
	time            time.Duration
	instances       int
	callers         int
	rate            float64
	untimed         bool
	dir, level, bin string
}

// New makes the command. store makes a stand-in of the platform's store, and program is the command of an instance.
func New(stdout, stderr io.Writer, store func() site.Store, program ...string) *Command {
	return &Command{stdout: stdout, stderr: stderr, store: store, program: program}
}

// Name is the word on the command line.
func (*Command) Name() string { return "soak" }

// Synopsis is one line of help.
func (*Command) Synopsis() string { return "run instances as processes under faults and judge them" }

// Usage is the help text.
func (*Command) Usage() string {
	return `crocuswing soak [-seeds N,N,... | -count N] [-time D] [-instances N] [-rate N] [-untimed] [-dir DIR]

Starts instances of this program as processes among stand-ins of the store and the upstreams, and callers. Faults are
drawn from a seed, which is printed first: processes are paused, killed, stopped and restarted, connections are delayed, reset, cut
one way and silenced, the store and upstreams misbehave, and the configuration changes. What callers and upstreams see is judged
while that goes on. Exit 1 if a promise was broken; each is told with the request and the log lines that name it. The logs stay in DIR
then. With -untimed, promises with times are not judged, for machines that are busy with other work.

Examples:
  crocuswing soak -count 10 -time 1m
  crocuswing soak -seeds 17,23 -instances 6 -rate 300

`
}

// SetFlags defines the flags.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.seeds, "seeds", "", "seeds to play, `N,N,...`; drawn if there are none")
	f.IntVar(&c.count, "count", 1, "number of seeds to draw, `N`")
	f.DurationVar(&c.time, "time", 30*time.Second, "time `D` in which faults are begun")
	f.IntVar(&c.instances, "instances", 4, "number of instances, `N`")
	f.IntVar(&c.callers, "callers", 12, "number of callers, `N`")
	f.Float64Var(&c.rate, "rate", 120, "requests a second, `N`")
	f.BoolVar(&c.untimed, "untimed", false, "do not judge promises with times")
	f.StringVar(&c.dir, "dir", "", "`DIR` for settings and logs; a temporary one if empty")
	f.StringVar(&c.level, "log-level", "error", "lowest `LEVEL` of the soak's own log; info shows each fault")
	f.StringVar(&c.bin, "program", "", "`FILE` with the program under test; this one if empty")
}

// Execute plays the seeds.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	seeds, err := c.draw()
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
		kept, err := c.play(ctx, seed)
		if err != nil {
			_, _ = fmt.Fprintln(c.stderr, "crocuswing soak:", err)
			return subcommands.ExitFailure
		}
		if !kept {
			status = subcommands.ExitFailure
		}
	}
	return status
}

func (c *Command) draw() ([]uint64, error) {
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

func (c *Command) play(ctx context.Context, seed uint64) (kept bool, err error) {
	_, _ = fmt.Fprintf(c.stdout, "seed %d\n", seed)
	dir, err := c.place(seed)
	if err != nil {
		return false, err
	}
	bin := c.bin
	if bin == "" {
		if bin, err = os.Executable(); err != nil {
			return false, err
		}
	}
	r, err := run.New(c.store(), run.Options{
		Seed: seed, Time: c.time, Instances: c.instances, Callers: c.callers, Rate: c.rate, Timed: !c.untimed,
		Program: append([]string{bin}, c.program...), Dir: dir,
	}, log.New(c.stderr, c.level))
	if err != nil {
		return false, err
	}
	kept = r.Play(ctx)
	r.Report(c.stdout)
	if kept {
		return true, os.RemoveAll(dir)
	}
	_, _ = fmt.Fprintf(c.stdout, "logs: %s\n", dir)
	return false, nil
}

// place makes the folder of a seed.
func (c *Command) place(seed uint64) (string, error) {
	if c.dir == "" {
		return os.MkdirTemp("", fmt.Sprintf("crocuswing-soak-%d-", seed))
	}
	dir := filepath.Join(c.dir, strconv.FormatUint(seed, 10))
	return dir, os.MkdirAll(dir, 0o700)
}
