// Package serve implements the command that runs an instance.
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

// Command runs one instance until it receives SIGINT or SIGTERM.
type Command struct {
	stderr   io.Writer
	settings string
}

// New returns the command.
func New(stderr io.Writer) *Command { return &Command{stderr: stderr} }

// Name returns the name of the subcommand.
func (*Command) Name() string { return "serve" }

// Synopsis returns the one-line help text.
func (*Command) Synopsis() string { return "run an instance" }

// Usage returns the full help text.
func (*Command) Usage() string {
	return `crocuswing serve -settings FILE

Runs one instance. SIGTERM or SIGINT starts a planned stop, which completes all requests in flight. A second
signal ends the stop early; the log then lists the orders whose outcome is unknown.

Example:
  crocuswing serve -settings /etc/crocuswing/south-1.json

`
}

// SetFlags registers the command's flags.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "`FILE` with the settings of the instance")
}

// Execute loads the settings and runs the instance.
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
	forceStop, stop := signalsAfter(ctx)
	defer stop()
	if err := instance.New(s, log.New(c.stderr, s.LogLevel), instance.WithForceStop(forceStop)).Run(ctx); err != nil {
		_, _ = fmt.Fprintln(c.stderr, "crocuswing serve:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// signalsAfter returns a channel that receives the signals that arrive after ctx is done; stop releases it.
func signalsAfter(ctx context.Context) (forceStop <-chan os.Signal, stop func()) {
	signals := make(chan os.Signal, 1)
	unregister := context.AfterFunc(ctx, func() { signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM) })
	return signals, func() {
		unregister()
		signal.Stop(signals)
	}
}
