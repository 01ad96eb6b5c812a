package enforcer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"crocuswing/internal/fleet/membership"
	"crocuswing/internal/workspace/workspace"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
)

// alone is a fleet of one instance.
type alone map[string]*workspace.Workspace

func (alone) Members() []membership.Member { return nil }

func (alone) Self() membership.Member { return membership.Member{Name: "i-0"} }

func (alone) Call(context.Context, string, string, any, any) error { return errLost }

func (a alone) Workspace(name string) (*workspace.Workspace, bool) { w, ok := a[name]; return w, ok }

func (alone) HasLimits() bool { return true }

// establishedAlone returns an Enforcer that lends.
func establishedAlone(all []*workspace.Workspace) *Enforcer {
	a := make(alone)
	for _, w := range all {
		a[w.Name] = w
	}
	e := New(a, rule, a, zap.NewNop())
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for range 10 {
		now = now.Add(time.Second)
		e.roster.Update(now, nil)
	}
	e.roster.Establish(now)
	return e
}

// BenchmarkAdmit measures the decision on a request, with a local lender, within and above the quota.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{81, 1000, 20_000} {
		for name, rate := range map[string]float64{"within": 1e6, "over": 0.1} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				var all []*workspace.Workspace
				for i := range n {
					all = append(all, &workspace.Workspace{Name: fmt.Sprint("w-", i), Quota: workspace.Quota{Rate: rate, Burst: rate}})
				}
				e := establishedAlone(all)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					_, _ = e.Admit(b.Context(), all[i%n])
				}
			})
		}
	}
}

// BenchmarkHandle measures what a lender does for a call, and reports the size of the messages.
func BenchmarkHandle(b *testing.B) {
	for _, n := range []int{81, 20_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var all []*workspace.Workspace
			for i := range n {
				all = append(all, &workspace.Workspace{Name: fmt.Sprint("workspace-", i), Quota: workspace.Quota{Rate: 10, Burst: 10}})
			}
			e := establishedAlone(all)
			bodies := make([][]byte, n)
			for i, w := range all {
				var err error
				bodies[i], err = msgpack.Marshal(Request{Name: "front-south-a-1", Address: "10.100.100.100:8106", Workspace: w.Name, Want: 1})
				require.NoError(b, err)
			}
			reply, err := msgpack.Marshal(Reply{Granted: 1, LifeUS: 1_000_000, IsLender: true, Known: 32})
			require.NoError(b, err)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				_, err := e.Handle(b.Context(), bodies[i%n])
				require.NoError(b, err)
			}
			b.ReportMetric(float64(len(bodies[0])+len(reply)), "B/call")
		})
	}
}
