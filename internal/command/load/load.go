// Package load implements the command that sends searches to an instance at a constant rate.
package load

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"

	"crocuswing/internal/standin/caller"
	"crocuswing/internal/wire/call"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/subcommands"
)

const (
	requestTimeout = 10 * time.Second
	maxLatencyUS   = 60_000_000
	maxInFlight    = 10_000
)

// Command sends searches in an open loop: a slow response does not delay later requests.
type Command struct {
	stdout, stderr        io.Writer
	address, key, service string
	rate                  float64
	duration              time.Duration
	json                  bool
}

// result is the output of the command. Latencies are in milliseconds from the intended start of a request, so that they
// include any delay in sending it.
type result struct {
	Sent        int     `json:"sent"`
	Answered    int     `json:"answered"`
	Refused     int     `json:"refused"`
	Dropped     int     `json:"dropped"`
	MinCoverage float64 `json:"min-coverage"`
	Rate        float64 `json:"answers-per-s"`
	P50MS       float64 `json:"p50-ms"`
	P90MS       float64 `json:"p90-ms"`
	P99MS       float64 `json:"p99-ms"`
	P999MS      float64 `json:"p999-ms"`
}

// New returns the command.
func New(stdout, stderr io.Writer) *Command { return &Command{stdout: stdout, stderr: stderr} }

// Name returns the name of the subcommand.
func (*Command) Name() string { return "load" }

// Synopsis returns the one-line help text.
func (*Command) Synopsis() string { return "send searches to an instance at a constant rate" }

// Usage returns the full help text.
func (*Command) Usage() string {
	return `crocuswing load -addr IP:PORT -key KEY -service NAME [-rate N] [-duration D] [-json]

Sends searches to the caller address at a constant rate, whether or not earlier ones were answered,
and prints outcomes, coverage and quantiles of the latency, measured from the intended start.

Example:
  crocuswing load -addr 127.0.0.1:7001 -key demo-buyer-key -service buyer-search -rate 200 -duration 10s

`
}

// SetFlags registers the command's flags.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "addr", "", "caller address of the instance, `IP:PORT`")
	f.StringVar(&c.key, "key", "", "`KEY` of the caller")
	f.StringVar(&c.service, "service", "", "`NAME` of the search service")
	f.Float64Var(&c.rate, "rate", 100, "requests per second, `N`")
	f.DurationVar(&c.duration, "duration", 10*time.Second, "duration `D` of the load")
	f.BoolVar(&c.json, "json", false, "print one JSON object")
}

// Execute sends the requests and prints the result.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	_, err := netip.ParseAddrPort(c.address)
	if err != nil || c.key == "" || c.service == "" || c.rate <= 0 || c.duration <= 0 || f.NArg() > 0 {
		_, _ = fmt.Fprintln(c.stderr, "crocuswing load: want -addr IP:PORT, -key, -service, a positive -rate and -duration")
		return subcommands.ExitUsageError
	}
	r := c.run(ctx)
	if err := c.print(r); err != nil || r.Answered == 0 {
		_, _ = fmt.Fprintln(c.stderr, "crocuswing load: no request was answered")
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *Command) run(ctx context.Context) result {
	client := caller.New(c.key)
	defer client.Close()
	latencies := hdrhistogram.New(1, maxLatencyUS, 3)
	slots := make(chan struct{}, maxInFlight)
	r := result{MinCoverage: 1}
	var mu sync.Mutex
	var wg sync.WaitGroup
	begin := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		intended := begin.Add(time.Duration(float64(n) / c.rate * float64(time.Second)))
		if intended.Sub(begin) >= c.duration {
			break
		}
		time.Sleep(time.Until(intended))
		r.Sent++
		select {
		case slots <- struct{}{}:
		default:
			r.Dropped++
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			coverage, err := c.search(ctx, client, n)
			latency := time.Since(intended)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				r.Refused++
				return
			}
			r.Answered++
			r.MinCoverage = min(r.MinCoverage, coverage)
			_ = latencies.RecordValue(latency.Microseconds())
		})
	}
	wg.Wait()
	r.Rate = float64(r.Answered) / time.Since(begin).Seconds()
	r.P50MS = float64(latencies.ValueAtQuantile(50)) / 1000
	r.P90MS = float64(latencies.ValueAtQuantile(90)) / 1000
	r.P99MS = float64(latencies.ValueAtQuantile(99)) / 1000
	r.P999MS = float64(latencies.ValueAtQuantile(99.9)) / 1000
	return r
}

func (c *Command) search(ctx context.Context, client *caller.Caller, n int) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	a, err := client.Search(ctx, c.address, "", call.Search{Service: c.service, Query: fmt.Sprintf("load-%d", n)})
	return a.Coverage.Share(), err
}

func (c *Command) print(r result) error {
	if c.json {
		return json.NewEncoder(c.stdout).Encode(r)
	}
	_, err := fmt.Fprintf(c.stdout, "sent %d, answered %d, refused %d, dropped %d, lowest coverage %.3f\n"+
		"%.0f answers/s, p50 %.1f ms, p90 %.1f ms, p99 %.1f ms, p99.9 %.1f ms\n",
		r.Sent, r.Answered, r.Refused, r.Dropped, r.MinCoverage, r.Rate, r.P50MS, r.P90MS, r.P99MS, r.P999MS)
	return err
}
