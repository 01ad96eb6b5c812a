package runner

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/experiment/testbed"
	"crocuswing/internal/experiment/topology"
	"crocuswing/internal/forward/aggregator"
	"crocuswing/internal/forward/reply"
	"crocuswing/internal/forward/request"
	"crocuswing/internal/operator/metric"
	"crocuswing/internal/published/state"
	"crocuswing/internal/routing/limits"
	"crocuswing/internal/routing/route"
	"crocuswing/internal/routing/table"
	"crocuswing/internal/workspace/credential"
	"crocuswing/internal/workspace/directory"
	"crocuswing/internal/workspace/quota"
	"crocuswing/internal/workspace/workspace"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// keyed is a harness whose configuration has workspaces. Its view can change while requests are in progress.
type keyed struct {
	*harness
	view     atomic.Pointer[state.View]
	age      atomic.Int64
	revision int64
}

func newKeyed(t *testing.T, s topology.Topology) *keyed {
	k := &keyed{harness: newHarness(t, s), revision: 1}
	k.runner = New(k.harness, k.Catalog, k, k.History, metric.New(), zap.NewNop())
	k.publishKeys(workspace.Workspace{Name: "w"}, "key")
	return k
}

func (k *keyed) View() *state.View { return k.view.Load() }

func (k *keyed) Age() (time.Duration, bool) { return time.Duration(k.age.Load()), true }

// publishKeys publishes a new configuration with one workspace.
func (k *keyed) publishKeys(w workspace.Workspace, keys ...string) {
	e := directory.Entry{Workspace: w}
	for _, key := range keys {
		e.Keys = append(e.Keys, credential.HashKey(key))
	}
	d, err := directory.New([]directory.Entry{e})
	require.NoError(k, err)
	rt, ok := k.Published.Table.Lookup("h", "/x")
	require.True(k, ok)
	public := *rt
	public.Name, public.Prefix, public.IsPublic = "public", "/public", true
	k.revision++
	v := *k.Published
	v.Table = table.New(k.revision, []route.Route{*rt, public}, nil, limits.Limits{}, table.WithWorkspaces(d))
	k.view.Store(&v)
}

// request returns a request with the key, or without one if it is empty.
func (k *keyed) request(key string) request.Request {
	q := k.NewRequest(timeout)
	if key != "" {
		q.Credential = credential.Parse([]string{"Bearer " + key})
	}
	return q
}

func (k *keyed) run(q request.Request) reply.Reply { return k.runner.Run(context.Background(), q) }

// arrivals returns the number of requests that the upstreams have received.
func (k *keyed) arrivals() int {
	n := 0
	for _, p := range k.AllReplicas() {
		n += len(p.ArrivalTimes())
	}
	return n
}

// TestKeys checks the reply to each kind of key, and that neither is the body read nor an upstream asked for one that is not valid.
func TestKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newKeyed(t, orderShape())
		defer k.stop()
		unread := func(q request.Request) request.Request {
			q.ReadBody = func() ([]byte, error) { t.Error("the body is read"); return nil, nil }
			return q
		}
		duplicated := k.request("")
		duplicated.Credential = credential.Parse([]string{"Bearer key", "Bearer key"})
		for name, q := range map[string]request.Request{"missing": k.request(""), "unknown": k.request("other"), "duplicated": duplicated} {
			start := time.Now()
			rep := k.run(unread(q))
			require.Equal(t, http.StatusUnauthorized, rep.Status, name)
			require.Zero(t, time.Since(start))
		}
		rep := k.run(k.request("key"))
		require.Equal(t, http.StatusOK, rep.Status)
		public := k.request("")
		public.Path = "/public/x"
		require.Equal(t, http.StatusOK, k.run(public).Status)
		require.Equal(t, 2, k.arrivals())

		k.age.Store(int64(staleViewAge + 1))
		rep = k.run(unread(k.request("new")))
		require.Equal(t, http.StatusServiceUnavailable, rep.Status, "another instance may know the key")
		require.Positive(t, rep.RetryAfter)
		require.Equal(t, http.StatusUnauthorized, k.run(unread(k.request(""))).Status, "no configuration has an empty key")
		require.Equal(t, http.StatusOK, k.run(k.request("key")).Status, "what is known stays in force")
		k.runner.SetMaxKeyAge(2 * staleViewAge)
		require.Equal(t, http.StatusOK, k.run(k.request("key")).Status)
		k.age.Store(int64(2*staleViewAge + 1))
		require.Equal(t, http.StatusServiceUnavailable, k.run(unread(k.request("key"))).Status, "the key may have been removed")

		k.view.Store(&state.View{})
		require.Equal(t, http.StatusServiceUnavailable, k.run(unread(k.request("other"))).Status, "never 401 without a configuration")
	})
}

// TestWorkspaceRoute checks that the rank and the regions of a workspace bind its requests.
func TestWorkspaceRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newKeyed(t, orderShape())
		defer k.stop()
		k.publishKeys(workspace.Workspace{Name: "w", Regions: []string{"elsewhere"}}, "key")
		require.Equal(t, http.StatusServiceUnavailable, k.run(k.request("key")).Status)
		require.Zero(t, k.arrivals())

		rank := 5
		k.publishKeys(workspace.Workspace{Name: "w", Rank: &rank}, "key")
		k.runner.limiter.SetLimit(10)
		require.True(t, k.runner.limiter.Acquire(6, 0))
		require.Equal(t, http.StatusServiceUnavailable, k.run(k.request("key")).Status, "refused at the share of rank 5")
		k.publishKeys(workspace.Workspace{Name: "w"}, "key")
		require.Equal(t, http.StatusOK, k.run(k.request("key")).Status, "accepted at the route's rank 0")
		k.runner.limiter.Release(6)
	})
}

// TestRemovedKey removes the key of a request in each of its states. A request of which nothing was sent must be refused with 401 and
// never run, and one that has begun must go on.
func TestRemovedKey(t *testing.T) {
	for _, c := range []struct {
		name  string
		delay time.Duration // after the start, when the key is removed
		body  time.Duration // that the body takes
		want  int
	}{
		{"before", 0, 0, http.StatusUnauthorized},
		{"while the body is read", 5 * time.Millisecond, 10 * time.Millisecond, http.StatusUnauthorized},
		{"while a connection is opened", 3 * time.Millisecond, 0, http.StatusUnauthorized},
		{"while an upstream works", 9 * time.Millisecond, 0, http.StatusOK},
		{"after the answer", 100 * time.Millisecond, 0, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := newKeyed(t, orderShape())
				defer k.stop()
				q := k.request("key")
				q.ReadBody = func() ([]byte, error) { time.Sleep(c.body); return nil, nil }
				remove := func() { k.publishKeys(workspace.Workspace{Name: "w"}, "another") }
				if c.delay == 0 {
					remove()
				} else {
					time.AfterFunc(c.delay, remove)
				}
				require.Equal(t, c.want, k.run(q).Status)
				time.Sleep(time.Second)
				require.Equal(t, c.want == http.StatusOK, k.arrivals() > 0)
				require.Equal(t, http.StatusUnauthorized, k.run(k.request("key")).Status)
			})
		})
	}
}

// TestKeyOfAgingView guards against the sending of a request whose view has become too old for its keys since the request arrived. Nobody
// knows whether the key was removed, so that the reply is 503.
func TestKeyOfAgingView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newKeyed(t, orderShape())
		defer k.stop()
		k.runner.SetMaxKeyAge(2 * staleViewAge)
		q := k.request("key")
		q.ReadBody = func() ([]byte, error) { k.age.Store(int64(2*staleViewAge + 1)); return nil, nil }
		require.Equal(t, http.StatusServiceUnavailable, k.run(q).Status)
		require.Zero(t, k.arrivals())

		k.age.Store(0)
		time.AfterFunc(3*time.Millisecond, func() { k.age.Store(int64(2*staleViewAge + 1)) })
		require.Equal(t, http.StatusServiceUnavailable, k.run(k.request("key")).Status, "while a connection is opened")
		require.Zero(t, k.arrivals())
	})
}

// TestRemovedKeyDuringGather checks that a search goes on to shards that were not reached before the key was removed, once a part of it
// has been sent, and that it is refused if none has.
func TestRemovedKeyDuringGather(t *testing.T) {
	for delay, want := range map[time.Duration]int{3 * time.Millisecond: http.StatusUnauthorized, 9 * time.Millisecond: http.StatusOK} {
		synctest.Test(t, func(t *testing.T) {
			k := newKeyed(t, lookupShape())
			defer k.stop()
			time.AfterFunc(delay, func() { k.publishKeys(workspace.Workspace{Name: "w"}, "another") })
			require.Equal(t, want, k.run(k.request("key")).Status)
			time.Sleep(time.Second)
			require.Equal(t, want == http.StatusOK, k.arrivals() > 0)
		})
	}
}

// TestKeyMovesToAnotherWorkspace checks that a request is not sent in the name of a workspace that no longer holds its key.
func TestKeyMovesToAnotherWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newKeyed(t, orderShape())
		defer k.stop()
		time.AfterFunc(3*time.Millisecond, func() { k.publishKeys(workspace.Workspace{Name: "other"}, "key") })
		require.Equal(t, http.StatusUnauthorized, k.run(k.request("key")).Status)
		require.Zero(t, k.arrivals())
		require.Equal(t, http.StatusOK, k.run(k.request("key")).Status)
	})
}

// fakeQuotas admits requests while there are permissions.
type fakeQuotas struct{ permissions int }

func (q *fakeQuotas) Admit(_ context.Context, w *workspace.Workspace) (giveBack func(), err error) {
	if q.permissions == 0 {
		return nil, &quota.ExceededError{Workspace: w.Name, Quota: w.Quota, RetryAfter: 700 * time.Millisecond}
	}
	q.permissions--
	return func() { q.permissions++ }, nil
}

// TestQuota checks that a request over the quota is refused before its body is read and without an upstream, that one that was not sent
// gives its permission back, and that public routes and workspaces without a limit need none.
func TestQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newKeyed(t, orderShape())
		defer k.stop()
		q := &fakeQuotas{permissions: 1}
		k.runner.quotas = q
		require.Equal(t, http.StatusOK, k.run(k.request("key")).Status)
		require.Equal(t, 1, q.permissions, "no limit")

		limited := workspace.Workspace{Name: "w", Quota: workspace.Quota{Rate: 1}}
		limited.Regions = []string{"elsewhere"}
		k.publishKeys(limited, "key")
		require.Equal(t, http.StatusServiceUnavailable, k.run(k.request("key")).Status)
		require.Equal(t, 1, q.permissions, "given back")
		broken := k.request("key")
		broken.ReadBody = func() ([]byte, error) { return nil, &request.BodyError{Status: http.StatusRequestEntityTooLarge} }
		require.Equal(t, http.StatusRequestEntityTooLarge, k.run(broken).Status)
		require.Equal(t, 1, q.permissions, "given back")

		limited.Regions = nil
		k.publishKeys(limited, "key")
		require.Equal(t, http.StatusOK, k.run(k.request("key")).Status)
		require.Zero(t, q.permissions)
		over := k.request("key")
		over.ReadBody = func() ([]byte, error) { t.Error("the body is read"); return nil, nil }
		arrivals := k.arrivals()
		rep := k.run(over)
		require.Equal(t, http.StatusTooManyRequests, rep.Status)
		require.Equal(t, 700*time.Millisecond, rep.RetryAfter)
		require.Equal(t, arrivals, k.arrivals())
		public := k.request("key")
		public.Path = "/public/x"
		require.Equal(t, http.StatusOK, k.run(public).Status)
	})
}

// TestAggregateOfWorkspace checks that an aggregator takes rank and regions from its own configuration, and refuses a workspace that it
// does not know or whose regions do not include its own.
func TestAggregateOfWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newKeyed(t, lookupShape())
		defer k.stop()
		k.runner.region = testbed.Region
		ask := func(name string) (*execution, error) {
			return k.runner.newAggregate(aggregator.Request{
				ID: "q", Path: "/x", Host: "h", Workspace: name, Revision: k.revision, Shards: aggregator.Set{}.With(0), TimeLeftUS: 1e6,
			})
		}
		rank := 3
		k.publishKeys(workspace.Workspace{Name: "w", Rank: &rank, Regions: []string{testbed.Region}}, "key")
		e, err := ask("w")
		require.NoError(t, err)
		require.Equal(t, rank, e.route.Rank)
		e, err = ask("")
		require.NoError(t, err, "a public route")
		require.Zero(t, e.route.Rank)
		var refused *RefusedError
		_, err = ask("unknown")
		require.ErrorAs(t, err, &refused)
		k.publishKeys(workspace.Workspace{Name: "w", Regions: []string{testbed.OtherRegion}}, "key")
		_, err = ask("w")
		require.ErrorAs(t, err, &refused)
	})
}

// TestPermitOfNearRequest guards against a request that an aggregator of the region has run counting as not sent: its permission would be
// used again, and a removed key would be answered with 401 after the request has run.
func TestPermitOfNearRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, thinShape(), fleetSize, false)
		defer f.stopAll()
		k := &keyed{harness: &harness{T: t, Testbed: f.Testbed}, revision: f.Published.Table.Revision()}
		limited := workspace.Workspace{Name: "w", Quota: workspace.Quota{Rate: 1}}
		k.publishKeys(limited, "key")
		for _, x := range f.instances {
			x.runner.viewer = k
		}
		q := &fakeQuotas{permissions: 2}
		_, others := f.aggregators()
		r := others[0].runner
		r.quotas = q
		require.Equal(t, http.StatusOK, r.Run(t.Context(), k.request("key")).Status)
		require.Positive(t, others[0].asked.Load())
		require.Equal(t, 1, q.permissions)

		time.AfterFunc(peerLatency+time.Millisecond, func() { k.publishKeys(limited, "another") })
		require.Equal(t, http.StatusOK, r.Run(t.Context(), k.request("key")).Status)
		require.Zero(t, q.permissions)
	})
}
