// Package root holds the command line with all its commands.
package root

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"crocuswing/internal/command/check"
	"crocuswing/internal/command/demo"
	"crocuswing/internal/command/load"
	"crocuswing/internal/command/serve"
	"crocuswing/internal/command/status"
	"crocuswing/internal/command/version"

	"github.com/google/subcommands"
)

// Run executes the command that args name and gives the exit code:
// 0 for success, 1 for failure, 2 for wrong usage.
func Run(args []string, stdout, stderr io.Writer) int {
	top := flag.NewFlagSet("crocuswing", flag.ContinueOnError)
	top.SetOutput(stderr)
	commander := subcommands.NewCommander(top, "crocuswing")
	commander.Output = stdout
	commander.Error = stderr
	commander.Register(commander.HelpCommand(), "help")
	commander.Register(commander.FlagsCommand(), "help")
	commander.Register(serve.New(stderr), "")
	commander.Register(check.New(stdout, stderr), "")
	commander.Register(status.New(stdout, stderr), "")
	commander.Register(demo.New(stdout, stderr), "")
	commander.Register(load.New(stdout, stderr), "")
	commander.Register(version.New(stdout), "")
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
