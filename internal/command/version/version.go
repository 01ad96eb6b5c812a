// Package version implements the command that prints the version.
package version

import (
	"context"
	"flag"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"

	"github.com/google/subcommands"
)

// Command prints the version of the program and of the Go toolchain.
type Command struct{ stdout io.Writer }

// New returns the command.
func New(stdout io.Writer) *Command { return &Command{stdout: stdout} }

// Name returns the name of the subcommand.
func (*Command) Name() string { return "version" }

// Synopsis returns the one-line help text.
func (*Command) Synopsis() string { return "print the version" }

// Usage returns the full help text.
func (*Command) Usage() string { return "crocuswing version\n" }

// SetFlags does nothing; the command has no flags.
func (*Command) SetFlags(*flag.FlagSet) {}

// Execute prints the version.
func (c *Command) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	module := "(devel)"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		module = info.Main.Version
	}
	_, _ = fmt.Fprintf(c.stdout, "crocuswing %s %s\n", module, runtime.Version())
	return subcommands.ExitSuccess
}
