// Package check implements the command that validates settings and configuration files.
package check

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"

	"crocuswing/internal/config/set"
	"crocuswing/internal/settings/document"
	"crocuswing/internal/settings/process"

	"github.com/google/subcommands"
)

// Command validates files before they are used or published.
type Command struct {
	stdout, stderr io.Writer
}

// New returns the command.
func New(stdout, stderr io.Writer) *Command { return &Command{stdout: stdout, stderr: stderr} }

// Name returns the name of the subcommand.
func (*Command) Name() string { return "check" }

// Synopsis returns the one-line help text.
func (*Command) Synopsis() string { return "validate settings or a configuration" }

// Usage returns the full help text.
func (*Command) Usage() string {
	return `crocuswing check FILE...

Validates each file: the settings of an instance, or a configuration as one object
{"revision": N, "values": {"in-force": {...}, "preset/ordinary": {...}, ...}}.
It uses the same validation code as the instances.

Example:
  crocuswing check south-1.json configuration.json

`
}

// SetFlags does nothing; the command has no flags.
func (*Command) SetFlags(*flag.FlagSet) {}

// Execute validates the files and reports each of them.
func (c *Command) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		_, _ = fmt.Fprintln(c.stderr, "crocuswing check: want at least one FILE")
		return subcommands.ExitUsageError
	}
	status := subcommands.ExitSuccess
	for _, file := range f.Args() {
		if err := checkFile(file); err != nil {
			_, _ = fmt.Fprintln(c.stderr, "crocuswing check:", err)
			status = subcommands.ExitFailure
			continue
		}
		_, _ = fmt.Fprintf(c.stdout, "%s: valid\n", file)
	}
	return status
}

type configuration struct {
	Revision uint64                     `json:"revision"`
	Values   map[string]json.RawMessage `json:"values"`
}

func checkFile(file string) error {
	doc, err := document.Read(file)
	if err != nil {
		return err
	}
	if !doc.HasKey("values") {
		_, err := process.Parse(doc)
		return err
	}
	var cfg configuration
	if err := doc.Decode(&cfg); err != nil {
		return err
	}
	values := make(map[string][]byte, len(cfg.Values))
	for name, text := range cfg.Values {
		values[name] = text
	}
	if _, err := set.Parse(cfg.Revision, values); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}
