// Package explain implements the command that explains the outcome of one request from log lines.
package explain

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"crocuswing/internal/operator/explanation"

	"github.com/google/subcommands"
)

// Command explains one request.
type Command struct {
	stdin          io.Reader
	stdout, stderr io.Writer
}

// New returns the command. It reads log lines from stdin if no files are given.
func New(stdin io.Reader, stdout, stderr io.Writer) *Command {
	return &Command{stdin: stdin, stdout: stdout, stderr: stderr}
}

// Name returns the name of the subcommand.
func (*Command) Name() string { return "explain" }

// Synopsis returns the one-line help text.
func (*Command) Synopsis() string { return "explain the outcome of a request from log lines" }

// Usage returns the full help text.
func (*Command) Usage() string {
	return `crocuswing explain REQUEST-ID [FILE...]

Reads the logs of instances on a shared platform, from files or from standard input, and prints the way
of one request in words: its status and reason, the aggregators and upstreams that were asked, and what each of
them did. Exits with 1 if the request is not found.

Example:
  crocuswing explain f12e4b74a43ea3a7 south-1.log north-2.log

`
}

// SetFlags registers no flags.
func (*Command) SetFlags(*flag.FlagSet) {}

// Execute reads the logs and prints the explanation.
func (c *Command) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 || f.Arg(0) == "" {
		_, _ = fmt.Fprintln(c.stderr, "crocuswing explain: the identifier of the request is missing")
		return subcommands.ExitUsageError
	}
	if err := c.explain(f.Arg(0), f.Args()[1:]); err != nil {
		_, _ = fmt.Fprintln(c.stderr, "crocuswing explain:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *Command) explain(id string, files []string) error {
	e := explanation.New(id)
	if len(files) == 0 {
		if err := e.Read(c.stdin); err != nil {
			return err
		}
	}
	for _, name := range files {
		if err := readFile(e, name); err != nil {
			return err
		}
	}
	if e.IsEmpty() {
		return fmt.Errorf("no log line of request %q was found", id)
	}
	return e.Write(c.stdout)
}

func readFile(e *explanation.Explanation, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := e.Read(file); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}
