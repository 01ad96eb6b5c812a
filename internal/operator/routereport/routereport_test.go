package routereport_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"crocuswing/internal/operator/routereport"

	"github.com/stretchr/testify/require"
)

func ExampleReport_Write() {
	rep := routereport.Report{
		Instance: "south-1", FailureDomain: "south-a", Region: "south", Method: "GET", Host: "shop.example", Path: "/search", Revision: 7, StoreRevision: 120,
		ViewAgeMS: 412, Aggregators: []string{"south-2", "south-4"}, Available: 1, Required: 1, ServiceCount: 3,
		Route: &routereport.Route{Name: "search", Prefix: "/s", Gathers: true, MaxAttempts: 2, TimeoutMS: 1500, ObjectiveMS: 150, HedgeMS: 12},
		Services: []routereport.Service{{
			Name: "shard-1", CanServe: true, ExtraAttempts: 1.5, ByLoad: true, Leaving: 0.25,
			Domains: []routereport.Domain{{Name: "south-a", Share: 0.75, Load: 1.2, ExpectedMS: 14.5}, {Name: "north-a", Share: 0.25, Load: 0.4, ExpectedMS: 24}},
			Candidates: []routereport.Candidate{
				{Upstream: "u-1", Domain: "south-a", Distance: "same-domain", State: "available", Load: 1.2, LoadAgeMS: 30, WorkFactor: 1.1, InFlight: 1, LatencyMS: 9, CostMS: 18, Chance: 0.75},
				{Upstream: "u-2", Domain: "north-a", Distance: "other-region", State: "unavailable", Load: -1, RuledOut: "it is draining", Rank: 1, CostMS: 25},
			},
		}},
	}
	_ = rep.Write(os.Stdout)
	// Output:
	// instance       south-1 in south-a, south
	// request        GET shop.example/search
	// configuration  revision 7, store revision 120, confirmed 412 ms ago
	// route          search (prefix /s), rank 0, objective 150 ms, timeout 1500 ms, 2 attempts, hedge after 12 ms
	// gathered by    south-2, south-4
	// outcome        would be sent: 1 of 3 services can take it, 1 are needed
	//
	// service shard-1; 1.5 extra attempts left
	//   leaving the nearest failure domains: 0.25
	//   south-a: share 0.75, load 1.20, expected 14.5 ms
	//   north-a: share 0.25, load 0.40, expected 24.0 ms
	//   upstream  domain   distance      state        load  age ms  work  in flight  latency ms  rank  cost ms  chance  not used because
	//   u-1       south-a  same-domain   available    1.20  30.00   1.10  1          9.0         0     18.0     0.75    -
	//   u-2       north-a  other-region  unavailable  -     -       -     0          0.0         1     25.0     0.00    it is draining
	//
	// and 2 more services
}

// TestControlCharacters guards against a host or path whose control characters reach the terminal of an operator.
func TestControlCharacters(t *testing.T) {
	var b strings.Builder
	require.NoError(t, routereport.Report{Host: "h\x1b[2J\n", Path: "/\x07", Refusal: &routereport.Refusal{Status: 404, Reason: "no route"}}.Write(&b))
	require.NotContains(t, b.String(), "\x1b")
	require.NotContains(t, b.String(), "\x07")
}

func TestMS(t *testing.T) {
	require.Equal(t, "1.235", fmt.Sprint(routereport.MS(1234567*time.Nanosecond)))
}
