// Package root implements the command line: it registers all subcommands and runs the selected one.
package root

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"crocuswing/internal/command/check"
	"crocuswing/internal/command/demo"
	"crocuswing/internal/command/experiment"
	"crocuswing/internal/command/explain"
	"crocuswing/internal/command/load"
	"crocuswing/internal/command/route"
	"crocuswing/internal/command/serve"
	"crocuswing/internal/command/soak"
	"crocuswing/internal/command/standin"
	"crocuswing/internal/command/status"
	"crocuswing/internal/command/version"
	"crocuswing/internal/soak/site"
	platform "crocuswing/platform/command"
	platformstandin "crocuswing/platform/standin"

	"github.com/google/subcommands"
)

// Run executes the subcommand that args select and returns the exit code:
// 0 for success, 1 for failure, 2 for a usage error.
func Run(args []string, stdout, stderr io.Writer) int {
	top := flag.NewFlagSet("crocuswing", flag.ContinueOnError)
	top.SetOutput(stderr)
	commander := subcommands.NewCommander(top, "crocuswing")
	commander.Output = stdout
	commander.Error = stderr
	commander.Register(commander.HelpCommand(), "help")
	commander.Register(commander.FlagsCommand(), "help")
	commands := []subcommands.Command{
		serve.New(stderr),
		platform.New(stdout, stderr),
		check.New(stdout, stderr),
		status.New(stdout, stderr),
		explain.New(os.Stdin, stdout, stderr),
		route.New(stdout, stderr),
		demo.New(stdout, stderr),
		experiment.New(stdout, stderr),
		load.New(stdout, stderr),
		standin.New(stdout, stderr),
		soak.New(stdout, stderr, func() site.Store { return platformstandin.New() }, "platform"),
		version.New(stdout),
	}
	for _, c := range commands {
		commander.Register(briefCommand{Command: c, stderr: stderr}, "")
	}
	if err := top.Parse(args); err != nil {
		return int(subcommands.ExitUsageError)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	if top.NArg() == 0 {
		_, _ = fmt.Fprintln(stderr, "crocuswing: a command is missing; see 'crocuswing help'")
		return int(subcommands.ExitUsageError)
	}
	return int(commander.Execute(ctx))
}

// briefCommand is a command that prints a one-line hint instead of its full help text on an invalid flag.
type briefCommand struct {
	subcommands.Command
	stderr io.Writer
}

// SetFlags registers the command's flags and redirects the messages of the flag parser to stderr.
func (b briefCommand) SetFlags(f *flag.FlagSet) {
	if f.Output() == os.Stderr {
		f.SetOutput(b.stderr)
		f.Usage = func() { _, _ = fmt.Fprintf(b.stderr, "see 'crocuswing help %s'\n", b.Name()) }
	}
	b.Command.SetFlags(f)
}
