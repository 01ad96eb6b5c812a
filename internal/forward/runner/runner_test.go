package runner

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/experiment/outcome"
	"crocuswing/internal/experiment/world"
	"crocuswing/internal/published/board"
	"crocuswing/internal/standin/replica"

	"github.com/stretchr/testify/require"
)

// TestOnce sends requests that may run once through every fault of an answer. None runs twice, and none that ran is answered
// with a status that promises the opposite.
func TestOnce(t *testing.T) {
	for _, fault := range []replica.Fault{replica.Lost, replica.Truncated, replica.Doubled, replica.Foreign, replica.Errors, replica.Denies, replica.Mute, replica.Unframed} {
		synctest.Test(t, func(t *testing.T) {
			s := order()
			r := newRig(t, s)
			defer r.stop()
			for _, p := range r.All() {
				p.SetFault(func(r *rand.Rand) replica.Fault {
					if r.IntN(3) == 0 {
						return fault
					}
					return replica.Sound
				})
			}
			outcomes := r.Load(20, 10*time.Second, 1500*time.Millisecond, r.tier.Run)
			r.checkOnce(outcomes)
		})
	}
}

// TestForgottenConnections lets upstreams forget idle connections without notice: what is sent next on one is reset. A request that may
// run once does not find out.
func TestForgottenConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := order()
		r := newRig(t, s)
		defer r.stop()
		for range 100 {
			o := r.Load(1, time.Millisecond, 1500*time.Millisecond, r.tier.Run)
			require.Equal(t, http.StatusOK, o[0].Status)
			time.Sleep(200 * time.Millisecond)
			for _, l := range r.Listeners {
				for _, conn := range l.Conns() {
					conn.Forget()
				}
			}
		}
	})
}

// TestUnknownRoute denies what no configuration allows, and refuses it where the view may be old.
func TestUnknownRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, lookup())
		defer r.stop()
		known := r.Published
		q := r.Request(time.Second)
		q.Host = "elsewhere"
		require.Equal(t, http.StatusNotFound, r.tier.Run(t.Context(), q).Status)
		r.Stale = staleAfter + 1
		a := r.tier.Run(t.Context(), q)
		require.Equal(t, http.StatusServiceUnavailable, a.Status)
		require.Positive(t, a.RetryAfter)
		r.Published = &board.View{}
		require.Equal(t, http.StatusServiceUnavailable, r.tier.Run(t.Context(), q).Status)
		r.Published = known
	})
}

// TestClaim lets exactly one of sending and withdrawing happen.
func TestClaim(t *testing.T) {
	var sent claim
	require.True(t, sent.send())
	require.True(t, sent.send(), "on another connection, where nothing went out on the first")
	require.False(t, sent.withdraw())
	require.True(t, sent.isSent())
	var withdrawn claim
	require.True(t, withdrawn.withdraw())
	require.False(t, withdrawn.send())
	require.False(t, withdrawn.isSent())
}

// checkOnce holds what happened against what callers were told.
func (r *rig) checkOnce(outcomes []outcome.Outcome) {
	runs := make(map[string]int)
	for _, p := range r.All() {
		for id, n := range p.Runs() {
			runs[id] += n
		}
	}
	answered := 0
	for _, o := range outcomes {
		require.LessOrEqual(r, runs[o.ID], 1, "request %s", o.ID)
		if promisesNotRun(o.Status) {
			require.Zero(r, runs[o.ID], "request %s ran and got %d", o.ID, o.Status)
			require.Positive(r, o.RetryAfter)
		}
		if o.Status == http.StatusOK {
			answered++
			require.Equal(r, o.ID, o.Reply.Header.Get(names.RequestID))
			id := strings.TrimSuffix(o.Reply.Header.Get(names.Seal), "."+o.ID)
			require.Equal(r, replica.Part(id, o.ID, 12), o.Reply.Body, "the whole answer to this request")
		}
	}
	require.Greater(r, answered, len(outcomes)/2)
}

// TestRefusalsAreTrue overloads upstreams that may run a request once: what they refuse goes elsewhere or is refused.
func TestRefusalsAreTrue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := order()
		s.Replicas, s.Queue = 2, 0
		s.Work = func(*rand.Rand) time.Duration { return 60 * time.Millisecond }
		r := newRig(t, s)
		defer r.stop()
		outcomes := r.Load(100, 5*time.Second, 1500*time.Millisecond, r.tier.Run)
		r.checkOnce(outcomes)
	})
}

// TestGather answers with the greatest records of one part of each service, whatever goes wrong with the answers.
func TestGather(t *testing.T) {
	for _, fault := range []replica.Fault{replica.Sound, replica.Lost, replica.Truncated, replica.Doubled, replica.Foreign, replica.Errors, replica.Mute} {
		synctest.Test(t, func(t *testing.T) {
			s := lookup()
			r := newRig(t, s)
			defer r.stop()
			for _, p := range r.All() {
				p.SetFault(func(r *rand.Rand) replica.Fault {
					if r.IntN(50) == 0 {
						return fault
					}
					return replica.Sound
				})
			}
			outcomes := r.Load(20, 10*time.Second, 600*time.Millisecond, r.tier.Run)
			answered := 0
			for _, o := range outcomes {
				if o.Status == http.StatusOK {
					answered++
					require.GreaterOrEqual(t, s.Services-o.Missing, 18, "0.89 of 20 shards")
					r.checkMerged(o, s.Records, s.Route.TopK, s.Services)
				}
			}
			require.Greater(t, float64(answered), 0.95*float64(len(outcomes)))
		})
	}
}

// TestDeadShard loses all replicas of one shard: callers get the rest within the objective, and nobody waits for more.
func TestDeadShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := lookup()
		r := newRig(t, s)
		defer r.stop()
		r.Load(20, 3*time.Second, 600*time.Millisecond, r.tier.Run)
		for _, p := range r.Replicas["s07"] {
			p.SetDown(true)
		}
		outcomes := r.Load(20, 5*time.Second, 600*time.Millisecond, r.tier.Run)
		for _, o := range outcomes {
			require.Equal(t, http.StatusOK, o.Status)
			require.LessOrEqual(t, o.Took, s.Route.Objective)
			require.GreaterOrEqual(t, o.Missing, 1)
		}
	})
}

// TestHopeless loses more shards than an answer may lack: what has not been sent is refused at once, and no caller is kept
// beyond the timeout of the route.
func TestHopeless(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := lookup()
		r := newRig(t, s)
		defer r.stop()
		v := *r.Published
		v.Out = map[string]bool{world.Domain: true}
		v.Changed = nil
		r.Catalog.Update(&v)
		for _, o := range r.Load(20, time.Second, 600*time.Millisecond, r.tier.Run) {
			require.Equal(t, http.StatusServiceUnavailable, o.Status)
			require.Zero(t, o.Took)
			require.Positive(t, o.RetryAfter)
		}
		r.Catalog.Update(r.Published)
		for _, name := range []string{"s01", "s02", "s03"} {
			for _, p := range r.Replicas[name] {
				p.SetDown(true)
			}
		}
		for _, o := range r.Load(20, time.Second, 600*time.Millisecond, r.tier.Run) {
			require.Equal(t, http.StatusGatewayTimeout, o.Status)
			require.LessOrEqual(t, o.Took, s.Route.Timeout)
		}
	})
}

// TestCallerLeaves withdraws the attempts of a caller that has gone.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := lookup()
		s.Work = func(*rand.Rand) time.Duration { return 300 * time.Millisecond }
		r := newRig(t, s)
		defer r.stop()
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		start := time.Now()
		r.tier.Run(ctx, r.Request(600*time.Millisecond))
		require.Equal(t, 50*time.Millisecond, time.Since(start))
		r.tier.Wait(t.Context())
		require.Equal(t, 50*time.Millisecond, time.Since(start), "no attempt goes on")
	})
}

// TestMaxAttempts never sends a request to more upstreams of a service than its route allows.
func TestMaxAttempts(t *testing.T) {
	for _, most := range []int{1, 2} {
		synctest.Test(t, func(t *testing.T) {
			s := lookup()
			s.Replicas, s.Route.MaxAttempts = 3, most
			r := newRig(t, s)
			defer r.stop()
			for _, p := range r.All() {
				p.SetFault(func(r *rand.Rand) replica.Fault { return replica.Fault(r.IntN(int(replica.Unframed) + 1)) })
			}
			r.Load(20, 10*time.Second, 600*time.Millisecond, r.tier.Run)
			r.tier.Wait(t.Context())
			for name, of := range r.Replicas {
				servers := make(map[string]int)
				for _, p := range of {
					for id := range p.Runs() {
						servers[id]++
					}
				}
				for id, n := range servers {
					require.LessOrEqual(t, n, most, "service %s, request %s", name, id)
				}
			}
		})
	}
}

// TestRefusedIsNeverSent lets the time of a request end in the instant in which its connection opens. Whether the request was sent or
// not, what the caller is told holds afterwards.
func TestRefusedIsNeverSent(t *testing.T) {
	for step := range 40 {
		synctest.Test(t, func(t *testing.T) {
			s := order()
			s.Replicas = 1
			s.Route.Timeout = world.DialCost + time.Duration(step)*100*time.Microsecond
			r := newRig(t, s)
			defer r.stop()
			q := r.Request(s.Route.Timeout)
			a := r.tier.Run(t.Context(), q)
			time.Sleep(time.Second)
			ran := r.Replicas["s00"][0].Runs()[q.ID]
			require.LessOrEqual(t, ran, 1)
			if promisesNotRun(a.Status) {
				require.Zero(t, ran)
			}
		})
	}
}

// TestWithdraw settles for each attempt in flight whether it can still be sent, before the caller is told anything.
func TestWithdraw(t *testing.T) {
	none := func() {}
	waiting := &try{claim: new(claim), cancel: none}
	l := &leg{tries: []*try{waiting, {claim: new(claim), cancel: none, isEnded: true, notRun: true}}}
	require.False(t, l.withdraw())
	require.False(t, waiting.claim.send(), "it was waiting for a connection and never goes out")
	sent := &try{claim: new(claim), cancel: none}
	require.True(t, sent.claim.send())
	l.tries = append(l.tries, sent)
	require.True(t, l.withdraw())
	l.tries[2] = &try{claim: new(claim), cancel: none, isEnded: true}
	require.True(t, l.withdraw())
}
