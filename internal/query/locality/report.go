package locality

import (
	"math"
	"time"
)

// Report is what one upstream reported last.
type Report struct {
	Slots float64
	// Load is the number of running and waiting requests per slot; negative if unknown.
	Load float64
	Age  time.Duration
}

// WithReports returns the group with the slots, the load and the age of the report that stand for all of its upstreams. New reports weigh more.
func (g Group) WithReports(reports []Report) Group {
	weight, sum := 0.0, 0.0
	g.Slots, g.Load, g.LoadAge = 0, -1, 0
	for _, r := range reports {
		g.Slots += r.Slots
		if r.Load >= 0 { // false for NaN too
			w := r.Slots * math.Exp2(-float64(max(0, r.Age))/float64(loadHalfLife))
			weight += w
			sum += w * r.Load
		}
	}
	if weight > 0 && g.Slots > 0 {
		g.Load = sum / weight
		g.LoadAge = max(0, time.Duration(-math.Log2(weight/g.Slots)*float64(loadHalfLife)))
	}
	return g
}
