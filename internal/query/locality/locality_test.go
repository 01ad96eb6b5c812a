package locality

import (
	"flag"
	"fmt"
	"math"
	"os"
	"slices"
	"testing"
	"time"

	"crocuswing/internal/query/balancer"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain fixes the random cases, so that the verdict is the same on every run. Flags of the command line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": checks, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// checks is the number of random cases of each property. 2,000 passed once; 60 take a minute under the race detector on a busy machine.
const checks = "60"

// fluid is a model of several failure domains whose demands and loads are continuous. Each domain has upstreams of its own, and its
// instances see all loads late.
type fluid struct {
	work     time.Duration
	capacity []float64 // slots by domain
	demand   func(domain int, at time.Duration) float64
	factor   func(domain int, at time.Duration) float64 // nil for 1
	delay    [][]time.Duration                          // of reports, by reader and domain; the reader sees half of it as age
	price    time.Duration
	isOff    bool // all requests stay

	loads   [][]float64 // by step and domain
	shares  []Shares    // by domain
	leaving [][]float64 // by step and domain
	latency float64     // mean over all requests, in work
	served  float64
}

const fluidStep = 2 * time.Millisecond

// fluidDistance puts two neighboring domains into each region.
func fluidDistance(a, b int) balancer.Distance {
	switch {
	case a == b:
		return balancer.SameDomain
	case a/2 == b/2:
		return balancer.SameRegion
	}
	return balancer.OtherRegion
}

func (f *fluid) factorAt(domain int, at time.Duration) float64 {
	if f.factor == nil {
		return 1
	}
	return f.factor(domain, at)
}

func (f *fluid) groups(reader int, step int) []Group {
	var groups []Group
	for domain := range f.capacity {
		seen := max(0, step-int(f.delay[reader][domain]/fluidStep))
		load := 0.0
		if len(f.loads) > 0 {
			load = f.loads[min(seen, len(f.loads)-1)][domain]
		}
		d := fluidDistance(reader, domain)
		groups = append(groups, Group{
			Domain: fmt.Sprint(domain), Distance: d, Slots: f.capacity[domain], Load: load, LoadAge: f.delay[reader][domain] / 2,
			Work: time.Duration(float64(f.work) * f.factorAt(domain, time.Duration(seen)*fluidStep)),
			Path: [...]time.Duration{0, 6 * time.Millisecond, 16 * time.Millisecond}[d],
		})
	}
	return groups
}

// run advances the model for d.
func (f *fluid) run(d time.Duration) {
	n := len(f.capacity)
	f.shares = make([]Shares, n)
	load := make([]float64, n)
	start := time.Unix(1, 0)
	sum := 0.0
	for step := range int(d / fluidStep) {
		at := time.Duration(step) * fluidStep
		inflow := make([]float64, n)
		leaving := make([]float64, n)
		for i := range n {
			now := start.Add(at)
			if f.shares[i].IsDue(now) {
				f.shares[i] = f.shares[i].Next(f.groups(i, step), Policy{Domains: n, Price: f.price, Objective: 300 * time.Millisecond}, now)
			}
			leaving[i] = f.shares[i].Leaving()
			for j := range n {
				share := f.shares[i].of(fmt.Sprint(j))
				if f.isOff {
					share, leaving[i] = 0, 0
					if i == j {
						share = 1
					}
				}
				flow := share * f.demand(i, at)
				inflow[j] += flow
				path := [...]float64{0, 6, 16}[fluidDistance(i, j)] / f.work.Seconds() / 1000
				sum += flow * (path + max(1, load[j]/max(1e-9, served(load[j])))*f.factorAt(j, at))
				f.served += flow
			}
		}
		for j := range n {
			// inflow is in slots of work at the usual duration.
			work := f.work.Seconds() * f.factorAt(j, at)
			load[j] = max(0, load[j]+fluidStep.Seconds()*(inflow[j]/f.capacity[j]*f.factorAt(j, at)-served(load[j]))/work)
		}
		f.loads = append(f.loads, append([]float64(nil), load...))
		f.leaving = append(f.leaving, leaving)
	}
	f.latency = sum / f.served
}

// served returns the part of the slots that works at a given load; with a load around 1, some slots are idle by chance.
func served(load float64) float64 { return load / math.Pow(1+math.Pow(load, 4), 0.25) }

// reversals returns the number of times that the series turns by more than amplitude.
func reversals(series []float64, amplitude float64) int {
	count, low, high, direction := 0, series[0], series[0], 0
	for _, v := range series {
		low, high = min(low, v), max(high, v)
		switch {
		case direction <= 0 && v-low > amplitude:
			if direction < 0 {
				count++
			}
			direction, high = 1, v
		case direction >= 0 && high-v > amplitude:
			if direction > 0 {
				count++
			}
			direction, low = -1, v
		}
		if direction > 0 {
			low = v
		} else if direction < 0 {
			high = v
		}
	}
	return count
}

func column(rows [][]float64, i int) []float64 {
	out := make([]float64, len(rows))
	for k := range rows {
		out[k] = rows[k][i]
	}
	return out
}

func uniformDelay(n int, d time.Duration) [][]time.Duration {
	rows := make([][]time.Duration, n)
	for i := range rows {
		rows[i] = make([]time.Duration, n)
		for j := range rows[i] {
			rows[i][j] = d
		}
	}
	return rows
}

// turns returns the highest number of reversals of the leaving share of a domain after the given time.
func (f *fluid) turns(after time.Duration) int {
	most := 0
	for i := range f.capacity {
		most = max(most, reversals(column(f.leaving[after/fluidStep:], i), 0.05))
	}
	return most
}

// highestLoad returns the highest load of a domain.
func (f *fluid) highestLoad(domain int) float64 {
	return slices.Max(column(f.loads, domain))
}

const testSlots = 8

// wave is the demand of a domain in deployment "uneven", at two thirds of the capacity.
func wave(domain int, at time.Duration) float64 {
	return testSlots * 0.65 * (1 + 0.55*math.Sin(2*math.Pi*(at.Seconds()/13+float64(domain)/6)))
}

// during returns high from 5 to 12 s for the domains that match, else low.
func during(match func(domain int) bool, high, low float64) func(int, time.Duration) float64 {
	return func(domain int, at time.Duration) float64 {
		if match(domain) && at > 5*time.Second && at < 12*time.Second {
			return high
		}
		return low
	}
}

// TestScenarios compares six domains with the decision off and on. It guards against a decision that is slower than staying, that turns
// back and forth, or that overloads the domain with the least demand.
func TestScenarios(t *testing.T) {
	isFirst := func(domain int) bool { return domain == 0 }
	isNotFirst := func(domain int) bool { return domain != 0 }
	for _, c := range []struct {
		name     string
		demand   func(domain int, at time.Duration) float64
		factor   func(domain int, at time.Duration) float64
		delay    time.Duration
		maxRatio float64 // of the mean duration with the decision on to that with it off
		maxTurns int     // of the leaving share: one for each rise and fall of the demand but the first
	}{
		{"waves", wave, nil, 50 * time.Millisecond, 0.96, 3},
		{"waves, late reports", wave, nil, 400 * time.Millisecond, 1.01, 3},
		{"burst in one domain", during(isFirst, testSlots*1.5, testSlots*0.5), nil, 50 * time.Millisecond, 0.1, 1},
		{"burst, late reports", during(isFirst, testSlots*1.5, testSlots*0.5), nil, 400 * time.Millisecond, 0.15, 3},
		{"slow upstreams", during(isFirst, testSlots*0.5, testSlots*0.5), during(isFirst, 3, 1), 50 * time.Millisecond, 0.25, 1},
		{"burst in five domains", during(isNotFirst, testSlots*1.3, testSlots*0.4), nil, 200 * time.Millisecond, 0.75, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var runs [2]fluid
			for i := range runs {
				runs[i] = fluid{work: 20 * time.Millisecond, capacity: slices.Repeat([]float64{testSlots}, 6), demand: c.demand, factor: c.factor, delay: uniformDelay(6, c.delay), isOff: i == 0}
				runs[i].run(26 * time.Second)
				t.Logf("on=%-5v mean %.2f of the work, highest load of domain 0 %.2f, of 1 %.2f, turns %d", i == 1, runs[i].latency, runs[i].highestLoad(0), runs[i].highestLoad(1), runs[i].turns(0))
			}
			require.Less(t, runs[1].latency, c.maxRatio*runs[0].latency)
			require.LessOrEqual(t, runs[1].turns(0), c.maxTurns)
			require.Less(t, min(runs[1].highestLoad(0), runs[1].highestLoad(1)), max(1.2, 1.05*min(runs[0].highestLoad(0), runs[0].highestLoad(1))))
		})
	}
}

// TestStable guards against shares that swing although the demand does not, and against a domain with little demand that is overloaded by
// the others, for random demands, capacities, work factors, prices and delays of reports.
func TestStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "domains")
		f := fluid{work: time.Duration(rapid.IntRange(5, 40).Draw(t, "work")) * time.Millisecond, price: time.Duration(rapid.IntRange(0, 10).Draw(t, "price")) * time.Millisecond}
		demand, factors := make([]float64, n), make([]float64, n)
		needed, capacity := 0.0, 0.0
		for i := range n {
			f.capacity = append(f.capacity, float64(rapid.IntRange(4, 16).Draw(t, "slots")))
			factors[i] = rapid.Float64Range(0.7, 1.5).Draw(t, "factor")
			demand[i] = f.capacity[i] * rapid.Float64Range(0.1, 1.4).Draw(t, "demand")
			needed += demand[i] * factors[i]
			capacity += f.capacity[i]
		}
		for i := range n {
			demand[i] *= min(1, 0.8*capacity/needed)
			f.delay = append(f.delay, make([]time.Duration, n))
			for j := range n {
				f.delay[i][j] = time.Duration(rapid.IntRange(2, 400).Draw(t, "delay")) * time.Millisecond
			}
		}
		f.demand = func(domain int, _ time.Duration) float64 { return demand[domain] }
		f.factor = func(domain int, _ time.Duration) float64 { return factors[domain] }
		f.run(12 * time.Second)
		require.LessOrEqual(t, f.turns(6*time.Second), 1)
		for i := range n {
			if demand[i]*factors[i] <= 0.6*f.capacity[i] {
				require.Less(t, f.highestLoad(i), 1.3, "domain %d", i)
			}
		}
	})
}

// TestShareSum guards against shares that do not add up, for domains that come, go and report odd loads.
func TestShareSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Shares
		now := time.Unix(1, 0)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-10, 3000).Draw(t, "step")) * time.Millisecond)
			var groups []Group
			for domain := range 5 {
				if rapid.Bool().Draw(t, "present") {
					groups = append(groups, Group{
						Domain: fmt.Sprint(domain), Distance: fluidDistance(0, domain), Slots: float64(rapid.IntRange(0, 9).Draw(t, "slots")),
						Load: rapid.SampledFrom([]float64{0, 0.5, 1, 3, 2e6, -1, math.NaN()}).Draw(t, "load"), LoadAge: time.Duration(rapid.IntRange(0, 9000).Draw(t, "age")) * time.Millisecond,
						Work: time.Duration(rapid.IntRange(0, 9000).Draw(t, "work")) * time.Millisecond, IsCold: rapid.Bool().Draw(t, "cold"),
					})
				}
			}
			s = s.Next(groups, Policy{Domains: rapid.IntRange(0, 7).Draw(t, "domains")}, now)
			sum := 0.0
			for _, share := range s.All() {
				require.GreaterOrEqual(t, share.Share, 0.0)
				sum += share.Share
			}
			if len(groups) > 0 {
				require.InDelta(t, 1, sum, 1e-9)
			}
		}
	})
}

// TestWithReports guards against an old or missing report of one upstream that counts as much as a new one.
func TestWithReports(t *testing.T) {
	for _, c := range []struct {
		name    string
		reports []Report
		want    Group
	}{
		{"none", nil, Group{Load: -1}},
		{"unknown", []Report{{Slots: 2, Load: -1}}, Group{Slots: 2, Load: -1}},
		{"one", []Report{{Slots: 2, Load: 1.5, Age: time.Second}}, Group{Slots: 2, Load: 1.5, LoadAge: time.Second}},
		{"new and old", []Report{{Slots: 2, Load: 1}, {Slots: 2, Load: 5, Age: time.Hour}}, Group{Slots: 4, Load: 1, LoadAge: loadHalfLife}},
		{"new and unknown", []Report{{Slots: 2, Load: 1}, {Slots: 2, Load: math.NaN()}}, Group{Slots: 4, Load: 1, LoadAge: loadHalfLife}},
		{"both new", []Report{{Slots: 1, Load: 1}, {Slots: 3, Load: 2}}, Group{Slots: 4, Load: 1.75}},
	} {
		require.Equal(t, c.want, Group{}.WithReports(c.reports), c.name)
	}
}

// TestPolicy guards against a price or an objective that is ignored. The nearest domain is full, another one has room.
func TestPolicy(t *testing.T) {
	const work = 20 * time.Millisecond
	for _, c := range []struct {
		name   string
		policy Policy
		cold   bool
		leaves bool
	}{
		{"no price", Policy{Domains: 2}, false, true},
		{"price above the gain", Policy{Domains: 2, Price: time.Second}, false, false},
		{"price, but the objective would be missed", Policy{Domains: 2, Price: time.Second, Objective: 60 * time.Millisecond}, false, true},
		{"price, and the objective is met", Policy{Domains: 2, Price: time.Second, Objective: 500 * time.Millisecond}, false, false},
		{"the objective would be missed there as well", Policy{Domains: 2, Objective: 25 * time.Millisecond}, false, false},
		{"cold", Policy{Domains: 2}, true, false},
	} {
		var s Shares
		for i := range 100 {
			s = s.Next([]Group{
				{Domain: "a", Slots: 4, Load: 4, Work: work},
				{Domain: "b", Distance: balancer.OtherRegion, Slots: 4, Load: 0.2, Work: work, Path: 16 * time.Millisecond, IsCold: c.cold},
			}, c.policy, time.Unix(1, 0).Add(time.Duration(i)*10*time.Millisecond))
		}
		require.Equal(t, c.leaves, s.Leaving() > 0.1, "%s: %v", c.name, s.Leaving())
	}
}

// TestDomainGone guards against a domain that is out and keeps a share, and against one that gets all of the share although it is full.
func TestDomainGone(t *testing.T) {
	near := Group{Domain: "a", Slots: 4, Load: 0.5, Work: time.Millisecond}
	full := Group{Domain: "b", Distance: balancer.OtherRegion, Slots: 4, Load: 0.9, Work: time.Millisecond}
	free := Group{Domain: "c", Distance: balancer.OtherRegion, Slots: 4, Load: 0.1, Work: time.Millisecond}
	s := Shares{}.Next([]Group{near, full, free}, Policy{Domains: 3}, time.Unix(1, 0))
	require.Zero(t, s.Leaving())
	s = s.Next([]Group{full, free}, Policy{Domains: 3}, time.Unix(2, 0))
	require.Zero(t, s.of("a"))
	require.Less(t, s.of("b"), 0.1)
	i, ok := s.Draw([]string{"b", "c"}, 0.5)
	require.True(t, ok)
	require.Equal(t, 1, i)
	_, ok = s.Draw([]string{"a"}, 0.5)
	require.False(t, ok)
}
