// Package route implements the command that prints where a request would go and why.
package route

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"crocuswing/internal/operator/routereport"

	"github.com/google/subcommands"
)

const (
	requestTimeout = 5 * time.Second
	// maxReportBytes is far above the size of a report with the most services and candidates.
	maxReportBytes = 4 << 20
)

// Command asks one instance where a request would go.
type Command struct {
	stdout, stderr                io.Writer
	address                       string
	host, path, method, workspace string
	asJSON                        bool
}

// New returns the command.
func New(stdout, stderr io.Writer) *Command { return &Command{stdout: stdout, stderr: stderr} }

// Name returns the name of the subcommand.
func (*Command) Name() string { return "route" }

// Synopsis returns the one-line help text.
func (*Command) Synopsis() string { return "print where a request would go now and why" }

// Usage returns the full help text.
func (*Command) Usage() string {
	return `crocuswing route -addr IP:PORT -host HOST -path PATH [-method M] [-workspace NAME] [-json]

Asks the instance with this metrics address where a request would go now, without sending it: route and revision,
who gathers, the upstreams of each service with state, reported load, rank and cost, what rules each of them out,
which share of requests leaves the failure domain, and what would be refused with which status.

Example:
  crocuswing route -addr 127.0.0.1:7003 -host shop.example -path /search

`
}

// SetFlags registers the command's flags.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "addr", "", "metrics address of the instance, `IP:PORT`")
	f.StringVar(&c.host, "host", "", "`HOST` of the request")
	f.StringVar(&c.path, "path", "", "`PATH` of the request")
	f.StringVar(&c.method, "method", http.MethodGet, "`METHOD` of the request")
	f.StringVar(&c.workspace, "workspace", "", "`NAME` of the workspace of the caller")
	f.BoolVar(&c.asJSON, "json", false, "print JSON")
}

// Execute requests the report from the instance and prints it.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if _, err := netip.ParseAddrPort(c.address); err != nil || c.host == "" || !strings.HasPrefix(c.path, "/") || f.NArg() > 0 {
		_, _ = fmt.Fprintln(c.stderr, "crocuswing route: want -addr IP:PORT, -host HOST and -path with a leading slash")
		return subcommands.ExitUsageError
	}
	if err := c.print(ctx); err != nil {
		_, _ = fmt.Fprintln(c.stderr, "crocuswing route:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *Command) print(ctx context.Context) error {
	rep, err := c.report(ctx)
	if err != nil {
		return err
	}
	if !c.asJSON {
		return rep.Write(c.stdout)
	}
	enc := json.NewEncoder(c.stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(rep)
}

// report requests the report from the instance.
func (c *Command) report(ctx context.Context) (rep routereport.Report, err error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	query := url.Values{
		routereport.ParamHost: {c.host}, routereport.ParamPath: {c.path}, routereport.ParamMethod: {c.method}, routereport.ParamWorkspace: {c.workspace},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+routereport.Path+"?"+query.Encode(), nil)
	if err != nil {
		return rep, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return rep, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return rep, fmt.Errorf("instance returned status %s, want 200 OK", resp.Status)
	}
	return rep, json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&rep)
}
