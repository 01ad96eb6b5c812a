// Package serve holds the command that runs an instance.
package serve

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"crocuswing/internal/operator/log"
	"crocuswing/internal/serve/instance"
	"crocuswing/internal/settings/process"

	"github.com/google/subcommands"
)

// Command runs one instance until a signal asks it to stop.
type Command struct {
	stderr   io.Writer
	settings string
}

// New makes the command.
func New(stderr io.Writer) *Command { return &Command{stderr: stderr} }

// Name is the word on the command line.
func (*Command) Name() string { return "serve" }

// Synopsis is one line of help.
func (*Command) Synopsis() string { return "run an instance" }

// Usage is the help text.
func (*Command) Usage() string {
	return `crocuswing serve -settings FILE

Runs one instance. SIGTERM or SIGINT begins a planned stop, which cuts off no request. A second one
cuts the stop short; the log then names the orders whose outcome is unknown.

Example:
  crocuswing serve -settings /etc/crocuswing/south-1.json

`
}

// SetFlags defines the flags.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "`FILE` with the settings of the instance")
}

// Execute runs the instance.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings == "" || f.NArg() > 0 {
		_, _ = fmt.Fprintln(c.stderr, "crocuswing serve: want -settings FILE and nothing else")
		return subcommands.ExitUsageError
	}
	s, err := process.Load(c.settings)
	if err != nil {
		_, _ = fmt.Fprintln(c.stderr, "crocuswing serve:", err)
		return subcommands.ExitFailure
	}
	hurry, end := second(ctx)
	defer end()
	if err := instance.New(s, log.New(c.stderr, s.LogLevel), instance.WithForceStop(hurry)).Run(ctx); err != nil {
		_, _ = fmt.Fprintln(c.stderr, "crocuswing serve:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// second delivers the signals that arrive after ctx has ended.
func second(ctx context.Context) (hurry <-chan os.Signal, end func()) {
	signals := make(chan os.Signal, 1)
	unregister := context.AfterFunc(ctx, func() { signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM) })
	return signals, func() {
		unregister()
		signal.Stop(signals)
	}
}
