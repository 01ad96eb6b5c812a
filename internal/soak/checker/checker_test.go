package checker

import (
	"errors"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"crocuswing/internal/routing/route"
	"crocuswing/internal/soak/record"
	"crocuswing/internal/soak/site"
	"crocuswing/internal/standin/replica"
	"crocuswing/internal/standin/workspace"

	"github.com/stretchr/testify/require"
)

var (
	headers = replica.HeaderNames{Proof: "Seal", Proofs: "Proofs", Missing: "Missing", Workspace: "Workspace"}
	noon    = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
)

const testKey = site.KeyPrefix + "w"

// at returns the time s seconds after the start of the test data.
func at(s float64) time.Time { return noon.Add(time.Duration(s * float64(time.Second))) }

// version returns a configuration that was acknowledged at second acked, with one order service and the given shards.
func version(revision int64, acked float64, orders string, shards ...string) record.Version {
	return record.Version{Revision: revision, Sent: at(acked), Acked: at(acked), Workspaces: []workspace.Workspace{{Name: "w", Keys: []string{testKey}, Rate: 1}}, Routes: []route.Route{
		{Prefix: site.SearchPath, Shards: shards, TopK: 3, MinShare: 0.5, MaxAttempts: 2},
		{Prefix: site.OrderPath, NonIdempotent: true, MaxAttempts: 2, Destinations: []route.Destination{{Service: orders, Weight: 1}}},
	}}
}

// arrival returns the arrival of q at an upstream at second s.
func arrival(q record.Request, upstream, service string, s float64, ran bool) record.Arrival {
	return record.Arrival{Service: service, Domain: "a", Arrival: replica.Arrival{
		Upstream: upstream, ID: q.ID, Method: q.Method, Target: q.Path, At: at(s), Ran: ran, Header: http.Header{"Workspace": {"w"}},
	}}
}

// order returns an order that was sent at second s, ran once at an upstream of service and was answered after 0.1 s.
func order(id string, s float64, service string) record.Request {
	q := record.Request{Key: testKey, ID: id, Method: "POST", Path: site.OrderPath + "1", Instance: "i", ProcessNumber: 1, Sent: at(s), Ended: at(s + 0.1), Timeout: time.Second, Status: http.StatusOK}
	q.Header = http.Header{"Seal": {"u." + id}}
	q.Body = replica.Part("u", id, 2)
	q.Arrivals = []record.Arrival{arrival(q, "u", service, s+0.05, true)}
	return q
}

// search returns a search whose answer merges one part of each service, which the upstream u-SERVICE served.
func search(id string, missing string, services ...string) record.Request {
	q := record.Request{Key: testKey, ID: id, Method: "GET", Path: site.SearchPath, Instance: "i", ProcessNumber: 1, Sent: at(20), Ended: at(20.1), Timeout: time.Second, Status: http.StatusOK}
	var proofs, records []string
	for _, s := range services {
		q.Arrivals = append(q.Arrivals, arrival(q, "u-"+s, s, 20, true))
		proofs = append(proofs, "u-"+s+"."+id)
		for part := replica.Part("u-"+s, id, 2); len(part) > 0; part = part[recordBytes:] {
			records = append(records, string(part[:recordBytes]))
		}
	}
	slices.Sort(records)
	slices.Reverse(records)
	q.Header = http.Header{"Proofs": {strings.Join(proofs, ", ")}, "Missing": {missing}}
	q.Body = []byte(strings.Join(records[:min(3, len(records))], ""))
	return q
}

// TestPromises breaks one promise per case and checks that the checker reports this one and no other.
func TestPromises(t *testing.T) {
	valid := func() record.Snapshot {
		return record.Snapshot{
			Versions: []record.Version{version(1, 0, "old", "a", "b"), version(4, 30, "new", "a", "b", "c")},
			Settled:  []record.Request{order("o1", 20, "old"), search("s1", "0", "a", "b"), search("s2", "1", "b"), order("o2", 40, "new")},
		}
	}
	for _, c := range []struct {
		name, want string
		corrupt    func(s *record.Snapshot)
	}{
		{"nothing", "", func(*record.Snapshot) {}},
		{"unmatched", "upstreams get only what callers sent", func(s *record.Snapshot) {
			s.Unmatched = []record.Arrival{arrival(order("x", 20, "old"), "u", "old", 20, true)}
		}},
		{"other path", "requests are passed on unchanged", func(s *record.Snapshot) { s.Settled[0].Arrivals[0].Target = "/x" }},
		{"other service", "requests go where a configuration sends them", func(s *record.Snapshot) { s.Settled[0].Arrivals[0].Service = "x" }},
		{"twice", "a request that may run once runs once", func(s *record.Snapshot) {
			s.Settled[0].Arrivals = append(s.Settled[0].Arrivals, arrival(s.Settled[0], "u", "old", 20.06, true))
		}},
		{"too many upstreams", "a request runs on no more upstreams than its route allows", func(s *record.Snapshot) {
			for _, u := range []string{"x", "y"} {
				s.Settled[1].Arrivals = append(s.Settled[1].Arrivals, arrival(s.Settled[1], u, "a", 20.06, true))
			}
		}},
		{"refused and run", "what is refused has not run", func(s *record.Snapshot) { s.Settled[0].Status = http.StatusServiceUnavailable }},
		{"other answer", "an answer is whole", func(s *record.Snapshot) { s.Settled[0].Body = s.Settled[0].Body[1:] }},
		{"other proof", "an answer is an upstream's own", func(s *record.Snapshot) { s.Settled[0].Header = http.Header{"Seal": {"u.o2"}} }},
		{"part twice", "a merged answer is whole", func(s *record.Snapshot) { s.Settled[1].Header["Proofs"] = []string{"u-a.s1, u-a.s1"} }},
		{"other records", "a merged answer is whole", func(s *record.Snapshot) { s.Settled[1].Body = s.Settled[1].Body[recordBytes:] }},
		{"false count", "a merged answer is whole", func(s *record.Snapshot) { s.Settled[1].Header["Missing"] = []string{"3"} }},
		{"too few", "a merged answer is whole", func(s *record.Snapshot) { s.Settled[2] = search("s2", "2", "a") }},
		{"late", "a request ends in its time", func(s *record.Snapshot) { s.Settled[0].Ended = at(22) }},
		{"sent after the caller left", "nothing is sent on for a caller that left", func(s *record.Snapshot) {
			s.Settled[0].Canceled, s.Settled[0].Arrivals[0].At = true, at(20.7)
		}},
		{"cut", "what was read is answered, also at a planned stop", func(s *record.Snapshot) {
			s.Settled[0].Status, s.Settled[0].Err = 0, errors.New("reset")
		}},
		{"unsent and cut by a stop", "what was read is answered, also at a planned stop", func(s *record.Snapshot) {
			s.Settled[0].Status, s.Settled[0].Arrivals, s.Settled[0].Ended = 0, nil, at(20.5)
			s.PlannedStops = map[string][]record.Span{"i": {{From: at(19), Until: at(23)}}}
		}},
		{"leaving", "an upstream that leaves gets no work", func(s *record.Snapshot) { s.Draining = map[string]time.Time{"u": at(17)} }},
		{"out", "a failure domain that is out gets no work", func(s *record.Snapshot) {
			s.Excluded = map[string][]record.Span{"a": {{From: at(14), Until: at(21)}}}
		}},
		{"old version", "a configuration is in force in time", func(s *record.Snapshot) { s.Settled[3].Arrivals[0].Service = "old" }},
		{"reverts", "a revision never reverts", func(s *record.Snapshot) {
			s.Settled = []record.Request{order("o1", 30.5, "new"), order("o2", 31, "old")}
		}},
		{"reverts with the store", "a failure domain that is out gets no work", func(s *record.Snapshot) {
			s.Excluded = map[string][]record.Span{"a": {{From: at(14), Until: at(21)}}}
			s.Restored = []record.Span{{From: at(18), Until: at(19)}}
		}},
		{"lost by the store", "", func(s *record.Snapshot) {
			s.Excluded = map[string][]record.Span{"a": {{From: at(14), Until: at(21)}}}
			s.Restored = []record.Span{{From: at(16), Until: at(17)}}
		}},
		{"no end", "every request ends", func(s *record.Snapshot) { s.Unfinished = 1 }},
		{"extra attempts", "extra attempts stay within their bound", func(s *record.Snapshot) {
			for range site.Bounds.ExtraSlack + 2 {
				s.Settled[0].Arrivals = append(s.Settled[0].Arrivals, arrival(s.Settled[0], "u", "old", 20.06, false))
			}
		}},
		{"key passed on", "no upstream gets a key", func(s *record.Snapshot) { s.Settled[0].Arrivals[0].Header.Set("Other", "Bearer "+testKey) }},
		{"other workspace", "an upstream gets the workspace of the key", func(s *record.Snapshot) { s.Settled[0].Arrivals[0].Header.Set("Workspace", "x") }},
		{"unknown key", "a key that no configuration held runs nothing", func(s *record.Snapshot) { s.Settled[0].Key = "unknown" }},
		{"withdrawn key", "a withdrawn key runs nothing after its time", func(s *record.Snapshot) { s.Versions[1].Workspaces = nil }},
		{"above the quota", "a workspace stays within its quota", func(s *record.Snapshot) {
			for range 30 {
				s.Settled = append(s.Settled, search("s3", "0", "a", "b"))
			}
		}},
		{"cold", "a cold upstream gets no more than it bears", func(s *record.Snapshot) {
			s.Cold = map[string][]record.Span{"u": {{From: at(19), Until: at(23)}}}
			for range int(site.MaxColdRate) + 1 {
				s.Settled[0].Arrivals = append(s.Settled[0].Arrivals, arrival(s.Settled[0], "u", "old", 20.06, false))
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := valid()
			c.corrupt(&s)
			broken := make(map[string]bool)
			New(headers, 2, true, func(promise, _, _ string) { broken[promise] = true }).Finish(s)
			if c.want == "" {
				require.Empty(t, broken)
				return
			}
			require.Equal(t, map[string]bool{c.want: true}, broken)
		})
	}
}

// TestNoTimeLimitsAfterDisruption checks that time limits do not apply to an instance that was disrupted shortly before, nor to
// any instance while the store was.
func TestNoTimeLimitsAfterDisruption(t *testing.T) {
	for _, name := range []string{"i", record.Store} {
		broken := 0
		late := order("o1", 20, "old")
		late.Ended = at(25)
		s := record.Snapshot{
			Versions:    []record.Version{version(1, 0, "old")},
			Settled:     []record.Request{late},
			Disruptions: map[string][]record.Span{name: {{From: at(15), Until: at(17)}}},
		}
		New(headers, 2, true, func(string, string, string) { broken++ }).Finish(s)
		require.Zero(t, broken)
	}
}
