package runner

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/forward/aggregator"
	"crocuswing/internal/forward/reply"
	"crocuswing/internal/routing/route"
	"crocuswing/internal/standin/replica"
	"crocuswing/internal/upstream/cluster"
	"crocuswing/internal/upstream/connection"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// mergeCase is a request whose shards are divided among aggregators, while this instance gets some parts itself. Parts hold few distinct
// records, so that equal ones are frequent.
type mergeCase struct {
	*rapid.T
	route       *route.Route
	request     *execution
	delegations []*delegation
	aggregates  []*aggregate
	bodies      map[string][]byte // by proof
	want        []string          // the proof that the answer must have, by shard; empty without a part
}

func newExecutionOfShards(rt *route.Route) *execution {
	e := &execution{Runner: &Runner{}, route: rt}
	for i := range rt.Shards {
		e.subrequests = append(e.subrequests, &subrequest{execution: e, index: i})
	}
	return e
}

func newMergeCase(t *rapid.T) *mergeCase {
	shards, groups := rapid.IntRange(1, 12).Draw(t, "shards"), rapid.IntRange(1, 3).Draw(t, "groups")
	rt := &route.Route{TopK: rapid.IntRange(0, 12).Draw(t, "top-k"), Shards: make([]string, shards)}
	m := &mergeCase{T: t, route: rt, request: newExecutionOfShards(rt), bodies: make(map[string][]byte), want: make([]string, shards)}
	for range groups {
		m.delegations = append(m.delegations, &delegation{execution: m.request})
		m.aggregates = append(m.aggregates, &aggregate{execution: &execution{Runner: &Runner{}, route: rt, isNear: true}})
	}
	for i, s := range m.request.subrequests {
		g := rapid.IntRange(0, groups-1).Draw(t, "group")
		m.delegations[g].members = append(m.delegations[g].members, s)
		m.aggregates[g].subrequests = append(m.aggregates[g].subrequests, &subrequest{execution: m.aggregates[g].execution, index: i})
	}
	return m
}

// answer lets the attempt of an instance on a shard return a part. Upstreams of a shard may return different ones.
func (m *mergeCase) answer(s *subrequest, from string) {
	proof := fmt.Sprintf("%s-%d", from, s.index)
	if _, ok := m.bodies[proof]; !ok {
		m.bodies[proof] = replica.Part("u", rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(m.T, "part"), rapid.IntRange(0, 8).Draw(m.T, "records"))
	}
	s.complete(&attempt{}, result{response: connection.Response{Body: m.bodies[proof]}, signals: cluster.Signals{Proof: proof}})
}

// answerDirectly lets an attempt of the instance that asks return a part. A merged part is kept, since it cannot be taken out.
func (m *mergeCase) answerDirectly(s *subrequest) {
	if m.want[s.index] == "" && !s.hasFailed {
		m.want[s.index] = fmt.Sprintf("own-%d", s.index)
	}
	m.answer(s, "own")
}

// fail lets a shard fail at the instance that asks.
func (m *mergeCase) fail(s *subrequest) {
	if !s.isAnswered && !s.hasFailed {
		s.hasFailed = true
		s.failed++
	}
}

// exchange lets an aggregator reply with what has arrived. The reply may be lost.
func (m *mergeCase) exchange(g int) {
	encoded, err := msgpack.Marshal(m.aggregates[g].reply())
	require.NoError(m, err)
	if rapid.IntRange(0, 3).Draw(m.T, "lost") == 0 {
		return
	}
	var r aggregator.Reply
	require.NoError(m, msgpack.Unmarshal(encoded, &r))
	m.delegations[g].complete(r)
	for i := range m.want {
		if r.Answered.Has(i) {
			m.want[i] = fmt.Sprintf("merged-%d", i)
		}
	}
}

// direct returns the reply of an instance that has got the wanted parts itself.
func (m *mergeCase) direct() reply.Reply {
	e := newExecutionOfShards(m.route)
	for i, s := range e.subrequests {
		if m.want[i] != "" {
			s.complete(&attempt{}, result{response: connection.Response{Body: m.bodies[m.want[i]]}, signals: cluster.Signals{Proof: m.want[i]}})
		}
	}
	return e.successReply()
}

// TestNearMerge guards against records that are lost, doubled or out of order in the answers that aggregators take part in: for any split of
// the shards, any order of parts, replies, fallbacks and losses, and equal records, the answer is the one of an instance that has got the
// same parts itself.
func TestNearMerge(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "1"))
	rapid.Check(t, func(t *rapid.T) {
		m := newMergeCase(t)
		for range rapid.IntRange(0, 40).Draw(t, "events") {
			i := rapid.IntRange(0, len(m.want)-1).Draw(t, "shard")
			g := rapid.IntRange(0, len(m.aggregates)-1).Draw(t, "aggregate")
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				m.exchange(g)
			case 1:
				m.answerDirectly(m.request.subrequests[i])
			case 2:
				m.fail(m.request.subrequests[i])
			default:
				for _, a := range m.aggregates {
					for _, s := range a.subrequests {
						if s.index == i {
							m.answer(s, "merged")
						}
					}
				}
			}
		}
		for g := range m.aggregates {
			m.exchange(g)
		}
		require.Equal(t, m.direct(), m.request.successReply())
		answered, failed := 0, 0
		for i, s := range m.request.subrequests {
			switch {
			case m.want[i] != "":
				answered++
			case s.hasFailed:
				failed++
			}
		}
		require.Equal(t, answered, m.request.answered)
		require.Equal(t, failed, m.request.failed)
	})
}

// TestLatePartsByObjective guards against late parts that reach the instance after the objective of its caller, and so are missing from the
// answer, because the way to the aggregator and back was left out of the time at which its reply is due. One shard never answers, so that
// the reply waits until it is due, and another answers after the first reply and well before the objective.
func TestLatePartsByObjective(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topo := thinShape()
		topo.ServiceTime = func(*rand.Rand) time.Duration { return 7 * time.Millisecond }
		f := newFleet(t, topo, fleetSize, false)
		defer f.stopAll()
		f.load(40, 10*time.Second)
		for _, p := range f.Replicas["s00"] {
			p.SetUnresponsive(true)
		}
		for _, p := range f.Replicas["s01"] {
			p.SetSlowdown(8) // 56 ms
		}
		gathering, others := f.aggregators()
		var start time.Time
		var mu sync.Mutex
		var replies []time.Duration // when replies with late parts reach the instance, from its caller's request on
		for _, x := range gathering {
			x.setFault(func(_ context.Context, method string, call func() (aggregator.Reply, error)) (aggregator.Reply, error) {
				r, err := call()
				mu.Lock()
				defer mu.Unlock()
				if method == aggregator.RestMethod && r.Answered.Has(1) {
					replies = append(replies, time.Since(start)+peerLatency)
				}
				return r, err
			})
		}
		start = time.Now()
		rep := others[0].runner.Run(t.Context(), f.NewRequest(600*time.Millisecond))
		mu.Lock()
		defer mu.Unlock()
		t.Logf("answer after %v without %d parts, late parts after %v", time.Since(start), rep.Missing, replies)
		require.Equal(t, http.StatusOK, rep.Status)
		require.Equal(t, 1, rep.Missing, "the part of the slow shard is in the answer")
		require.LessOrEqual(t, time.Since(start), topo.Route.Objective)
		require.Len(t, replies, 1)
		require.LessOrEqual(t, replies[0], topo.Route.Objective)
	})
}
