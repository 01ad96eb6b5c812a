// Package standin implements the command that runs a simulated platform and upstreams for instances in other processes.
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
	instances        = 4
	firstPort        = 7001
	portsPerInstance = 3 // caller, peer and operator address
	drainDelayMS     = 2000
	settingsMode     = 0o600
	directoryMode    = 0o700
)

// Command runs the simulated servers and writes the settings of four instances.
type Command struct {
	stdout, stderr io.Writer
	directory      string
	seed           uint64
}

// New returns the command.
func New(stdout, stderr io.Writer) *Command { return &Command{stdout: stdout, stderr: stderr} }

// Name returns the name of the subcommand.
func (*Command) Name() string { return "standin" }

// Synopsis returns the one-line help text.
func (*Command) Synopsis() string { return "run a simulated platform and upstreams for instances" }

// Usage returns the full help text.
func (*Command) Usage() string {
	return `crocuswing standin -dir DIR [-seed N]

Runs a simulated platform and the upstreams of the demo command on loopback until it receives a signal, and
writes the settings of four instances to DIR, so that each instance can be started as a separate process.

Example:
  crocuswing standin -dir try &
  crocuswing serve -settings try/instance-0.json &
  crocuswing load -addr 127.0.0.1:7001 -key demo-buyer-key -service buyer-search

`
}

// SetFlags registers the command's flags.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.directory, "dir", "", "`DIR` for the settings")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the simulated service times, `N`")
}

// Execute runs the simulated servers until ctx is done.
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
		if err := c.addInstance(b, n); err != nil {
			return err
		}
	}
	_, _ = fmt.Fprintf(c.stdout, "platform on %s, settings of %d instances in %s\n", b.Address, instances, c.directory)
	<-ctx.Done()
	return nil
}

// addInstance adds the instance with number n to the member list of the platform and writes its settings.
func (c *Command) addInstance(b *backend.Backend, n int) error {
	d := backend.Domains[n%len(backend.Domains)]
	port := firstPort + n*portsPerInstance
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
