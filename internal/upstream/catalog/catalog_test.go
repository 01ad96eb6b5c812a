package catalog

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/fleet/share"
	"crocuswing/internal/published/state"
	"crocuswing/internal/routing/limits"
	"crocuswing/internal/routing/service"
	"crocuswing/internal/routing/table"
	"crocuswing/internal/settings/deployment"
	"crocuswing/internal/stats/history"

	"github.com/stretchr/testify/require"
)

// TestSharesOfFleet guards against shares of the limits of an upstream that add up to more than the limits, or leave most of the cold rate
// unused where it is below the number of instances. An instance that does not know the fleet, or that has just started, gets none of it.
func TestSharesOfFleet(t *testing.T) {
	const coldBound, extraSlack, maxConnections = 35, 58, 64
	bounds := deployment.Bounds{ColdFactor: 1.5, ColdSlack: 5, ExtraSlack: extraSlack, ExtraRatio: 0.2, ExtraWindow: 10 * time.Second}
	view := &state.View{Table: table.New(1, nil, []service.Service{{Name: "s", MaxConnections: maxConnections, ColdRate: 20}}, limits.Limits{})}
	for _, n := range []int{1, 4, 24, 78, 300} {
		synctest.Test(t, func(t *testing.T) {
			names := make([]string, 0, n)
			for k := range n {
				names = append(names, fmt.Sprint("i-", k))
			}
			var cold int
			var extra, connections float64
			for k, self := range names {
				c := New(deployment.Settings{Instance: self, Bounds: bounds}, history.New())
				c.Update(view)
				require.Zero(t, c.coldShare("s")("u"), "the fleet is not known")
				require.LessOrEqual(t, c.extraSlack("s")*float64(n), float64(extraSlack), "the fleet is not known")
				require.LessOrEqual(t, float64(c.connectionShare("s"))*c.subsetFraction("s")*float64(n), float64(maxConnections), "the fleet is not known")
				c.SetFleet(share.New(self, append(names[:k:k], names[k+1:]...)))
				require.Zero(t, c.coldShare("s")("u"), "the former process may have used the share")
				time.Sleep(restartGuard)
				cold += c.coldShare("s")("u")
				extra += c.extraSlack("s")
				connections += float64(c.connectionShare("s")) * c.subsetFraction("s")
				c.SetFleet(nil)
				require.Zero(t, c.coldShare("s")("u"), "the fleet is not known any more")
			}
			require.LessOrEqual(t, cold, coldBound)
			require.GreaterOrEqual(t, cold, coldBound*4/5)
			require.LessOrEqual(t, extra, float64(extraSlack))
			require.LessOrEqual(t, connections, float64(maxConnections))
		})
	}
}
