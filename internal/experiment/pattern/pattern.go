// Package pattern defines the patterns of load and faults that an experiment can run.
package pattern

import (
	"math/rand/v2"
	"time"

	"crocuswing/internal/experiment/testbed"
	"crocuswing/internal/experiment/topology"
	"crocuswing/internal/standin/replica"
)

// Pattern is a load together with the fault that occurs under it.
type Pattern struct {
	Name string
	// Description is a one-line summary. Source is the publication that describes the pattern; empty for none.
	Description, Source string
	// PerSecond is the number of requests per second.
	PerSecond int
	// Topology returns the topology of the testbed. InjectFault injects the fault and is called once the load runs.
	Topology    func() topology.Topology
	InjectFault func(t *testbed.Testbed)
}

const (
	// normalRate is the users' request rate per second at one of four instances.
	normalRate = 22
	// flashCrowdRate is three times the request rate per second of one instance on a busy day.
	flashCrowdRate = 120
	// slowFactor is the factor by which the service time of slow upstreams grows on the users' busiest days.
	slowFactor = 8.5
)

// All returns all patterns.
func All() []Pattern { return append(loadPatterns(), faultPatterns()...) }

// loadPatterns returns the patterns without a fault: upstreams behave normally or start cold.
func loadPatterns() []Pattern {
	return []Pattern{
		{
			Name: "cold-herd", Description: "all upstreams start cold at the same time and may receive 11 requests a second each", PerSecond: normalRate,
			Topology: func() topology.Topology {
				topo := lookupTopology()
				topo.ColdRate, topo.Cold = 4, time.Minute
				return topo
			},
			InjectFault: func(*testbed.Testbed) {},
		},
		{
			Name: "fan-out-tail", Description: "each upstream pauses 120 ms every 3 s at its own time", PerSecond: normalRate,
			Source:   "Dean and Barroso, The tail at scale, CACM 56(2), 2013",
			Topology: lookupTopology, InjectFault: func(*testbed.Testbed) {},
		},
		{
			Name: "flash-crowd", Description: "many more requests than usual", PerSecond: flashCrowdRate, Topology: lookupTopology, InjectFault: func(*testbed.Testbed) {},
		},
	}
}

// faultPatterns returns the patterns with faulty upstreams.
func faultPatterns() []Pattern {
	return []Pattern{
		{
			Name: "grey-shedding", Description: "one upstream of each service refuses half of its requests although it is idle", PerSecond: normalRate,
			Source:   "Huang et al., Gray failure, HotOS 2017",
			Topology: lookupTopology, InjectFault: onFirstReplicas(func(p *replica.Replica) { p.SetShed(0.5) }),
		},
		{
			Name: "lost-replica", Description: "one upstream of each service stops responding", PerSecond: normalRate,
			Topology: lookupTopology, InjectFault: onFirstReplicas(func(p *replica.Replica) { p.SetUnresponsive(true) }),
		},
		{
			Name: "overloaded-shards", Description: "both upstreams of three of 20 services are slow, one service more than an answer may lack", PerSecond: 4 * normalRate,
			Source:   "Bronson et al., Metastable failures in distributed systems, HotOS 2021",
			Topology: lookupTopology, InjectFault: onReplicas(func(i int) bool { return i < 6 }, func(p *replica.Replica) { p.SetSlowdown(slowFactor) }),
		},
		{
			Name: "retry-storm", Description: "upstreams fail half of their requests", PerSecond: 2 * normalRate,
			Source:   "Bronson et al., Metastable failures in distributed systems, HotOS 2021",
			Topology: lookupTopology, InjectFault: onReplicas(func(int) bool { return true }, func(p *replica.Replica) { p.SetFault(failHalf) }),
		},
		{
			Name: "slow-replica", Description: "one upstream of every seventh service is slow", PerSecond: normalRate,
			Topology: lookupTopology, InjectFault: onReplicas(func(i int) bool { return i%14 == 0 }, func(p *replica.Replica) { p.SetSlowdown(slowFactor) }),
		},
	}
}

func failHalf(r *rand.Rand) replica.Fault {
	if r.IntN(2) == 0 {
		return replica.InternalError
	}
	return replica.NoFault
}

// onFirstReplicas returns a function that calls inject with the first replica of each service.
func onFirstReplicas(inject func(p *replica.Replica)) func(t *testbed.Testbed) {
	return func(t *testbed.Testbed) {
		for _, replicas := range t.Replicas {
			inject(replicas[0])
		}
	}
}

// onReplicas returns a function that calls inject with the replicas whose index in the order of names matches.
func onReplicas(match func(i int) bool, inject func(p *replica.Replica)) func(t *testbed.Testbed) {
	return func(t *testbed.Testbed) {
		for i, p := range t.AllReplicas() {
			if match(i) {
				inject(p)
			}
		}
	}
}

func lookupTopology() topology.Topology { return topology.Lookup(testbed.HeaderNames) }
