// Package standin holds the command that runs a platform and upstreams for instances in other processes.
package standin

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"crocuswing/internal/demo/backend"
	"crocuswing/internal/fleet/member"
	"crocuswing/internal/settings/process"

	"github.com/google/subcommands"
)

const (
	instances     = 4
	firstPort     = 7001
	portsEach     = 3 // caller, peer and operator address
	drainDelayMS  = 2000
	settingsMode  = 0o600
	directoryMode = 0o700
)

// Command runs the stand-ins and writes the settings of four instances.
type Command struct {
	stdout, stderr io.Writer
	directory      string
	seed           uint64
}

// New makes the command.
func New(stdout, stderr io.Writer) *Command { return &Command{stdout: stdout, stderr: stderr} }

// Name is the word on the command line.
func (*Command) Name() string { return "standin" }

// Synopsis is one line of help.
func (*Command) Synopsis() string { return "run a platform and upstreams to try instances against" }

// Usage is the help text.
func (*Command) Usage() string {
	return `crocuswing standin -dir DIR [-seed N]

Runs a platform and the demonstration's upstreams on loopback until a signal, and writes the settings
of four instances into DIR, so that each instance can be started as a process of its own.

Example:
  crocuswing standin -dir try &
  crocuswing serve -settings try/instance-0.json &
  crocuswing load -addr 127.0.0.1:7001 -key demo-buyer-key -service buyer-search

`
}

// SetFlags defines the flags.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.directory, "dir", "", "`DIR` for the settings")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the service times, `N`")
}

// Execute runs the stand-ins until ctx ends.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.directory == "" || f.NArg() > 0 {
		_, _ = fmt.Fprintln(c.stderr, "crocuswing standin: want -dir DIR and nothing else")
		return subcommands.ExitUsageError
	}
	if err := c.run(ctx); err != nil {
		_, _ = fmt.Fprintln(c.stderr, "crocuswing standin:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *Command) run(ctx context.Context) error {
	b, err := backend.Start(c.seed)
	if err != nil {
		return err
	}
	defer b.Close()
	if err := os.MkdirAll(c.directory, directoryMode); err != nil {
		return err
	}
	for n := range instances {
		if err := c.prepare(b, n); err != nil {
			return err
		}
	}
	_, _ = fmt.Fprintf(c.stdout, "platform on %s, settings of %d instances in %s\n", b.Address, instances, c.directory)
	<-ctx.Done()
	return nil
}

// prepare lists one instance and writes its settings.
func (c *Command) prepare(b *backend.Backend, n int) error {
	d := backend.Domains[n%len(backend.Domains)]
	port := firstPort + n*portsEach
	s := process.Settings{
		Instance:        fmt.Sprintf("instance-%d", n),
		FailureDomain:   d.Name,
		Region:          d.Region,
		CallerAddress:   fmt.Sprintf("127.0.0.1:%d", port),
		PeerAddress:     fmt.Sprintf("127.0.0.1:%d", port+1),
		OperatorAddress: fmt.Sprintf("127.0.0.1:%d", port+2),
		PlatformAddress: b.Address,
		TicketKey:       backend.TicketKey,
		DrainDelayMS:    drainDelayMS,
		LogLevel:        "info",
	}
	b.Platform.SetMember(member.Member{
		Name:          s.Instance,
		Kind:          member.KindInstance,
		FailureDomain: d.Name,
		Region:        d.Region,
		Address:       s.PeerAddress,
		State:         member.StateLive,
	})
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(c.directory, s.Instance+".json"), append(text, '\n'), settingsMode)
}
