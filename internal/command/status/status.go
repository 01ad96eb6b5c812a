// Package status implements the command that prints the state of an instance.
package status

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/google/subcommands"
)

const requestTimeout = 5 * time.Second

// Command prints the status of one instance.
type Command struct {
	stdout, stderr io.Writer
	address        string
}

// New returns the command.
func New(stdout, stderr io.Writer) *Command { return &Command{stdout: stdout, stderr: stderr} }

// Name returns the name of the subcommand.
func (*Command) Name() string { return "status" }

// Synopsis returns the one-line help text.
func (*Command) Synopsis() string { return "print the state of an instance" }

// Usage returns the full help text.
func (*Command) Usage() string {
	return `crocuswing status -addr IP:PORT

Prints the state of the instance with this operator address as JSON: why it is not ready, revision and
preset in force, age of its view, excluded failure domains, whether it reads the platform for other instances,
its peers, cold upstreams, retry and hedge budgets, and requests in flight.

Example:
  crocuswing status -addr 127.0.0.1:7003

`
}

// SetFlags registers the command's flags.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "addr", "", "operator address of the instance, `IP:PORT`")
}

// Execute requests the status from the instance and prints it.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if _, err := netip.ParseAddrPort(c.address); err != nil || f.NArg() > 0 {
		_, _ = fmt.Fprintln(c.stderr, "crocuswing status: want -addr IP:PORT and nothing else")
		return subcommands.ExitUsageError
	}
	if err := c.print(ctx); err != nil {
		_, _ = fmt.Fprintln(c.stderr, "crocuswing status:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *Command) print(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+"/status", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("instance returned status %s, want 200 OK", resp.Status)
	}
	_, err = io.Copy(c.stdout, resp.Body)
	return err
}
