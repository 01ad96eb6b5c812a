package quota

import (
	"testing"
	"time"

	"crocuswing/internal/workspace/workspace"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestPlanFits checks that the parts of any quota sum to at most what is permitted, and that a quota with the usual room above it is lent
// as a whole.
func TestPlanFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Rule{
			Window:  time.Duration(rapid.Float64Range(0.1, 60).Draw(t, "window") * float64(time.Second)),
			Overage: rapid.Float64Range(0, 2).Draw(t, "overage"),
			Slack:   rapid.Float64Range(0, 100).Draw(t, "slack"),
		}
		q := workspace.Quota{Rate: rapid.Float64Range(0.001, 10_000).Draw(t, "rate"), Burst: rapid.Float64Range(0, 1000).Draw(t, "burst")}
		p := r.Plan(q)
		sum := p.Rate*float64(p.Lenders)*(p.Window+p.Life).Seconds() + p.Capacity*float64(p.Lenders) + float64(p.Reserve)
		require.LessOrEqual(t, sum, r.Permitted(q)+1e-6)
		require.GreaterOrEqual(t, p.Rate, 0.0)
		require.LessOrEqual(t, sum+p.Initial*float64(p.Lenders), r.Permitted(q)+1e-6)
	})
	r := Rule{Window: 5 * time.Second, Overage: 0.25, Slack: 20}
	for _, q := range []workspace.Quota{{Rate: 0.1}, {Rate: 0.16, Burst: 2}, {Rate: 1, Burst: 1}, {Rate: 12.8, Burst: 13}, {Rate: 100, Burst: 50}, {Rate: 5000, Burst: 100}} {
		p := r.Plan(q)
		require.GreaterOrEqual(t, p.Rate*float64(p.Lenders), q.Rate, "%+v %+v", q, p)
		require.GreaterOrEqual(t, p.Capacity, lenderCapacity)
		require.GreaterOrEqual(t, p.Lenders, 2)
		require.GreaterOrEqual(t, p.Reserve, 4)
	}
}
