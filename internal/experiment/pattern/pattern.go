// Package pattern names the patterns of load and trouble that experiments play.
package pattern

import (
	"math/rand/v2"
	"time"

	"crocuswing/internal/experiment/testbed"
	"crocuswing/internal/experiment/topology"
	"crocuswing/internal/standin/replica"
)

// Pattern is a load with its trouble.
type Pattern struct {
	Name string
	// Description says what happens, and Source where the pattern is described.
	Description, Source string
	// PerSecond is the number of requests a second.
	PerSecond int
	// Topology describes the world, and Begin lets the trouble begin.
	Topology    func() topology.Topology
	InjectFault func(w *testbed.Testbed)
}

const (
	// usual is the users' rate at one of four instances.
	usual = 22
	// crowd is three times what one instance gets on a busy day.
	crowd = 120
	// slower is how much longer slow upstreams work on the users' heaviest days.
	slower = 8.5
)

// All are the patterns.
func All() []Pattern { return append(crowds(), troubles()...) }

// crowds are patterns of callers and of upstreams that are as usual, or start.
func crowds() []Pattern {
	return []Pattern{
		{
			Name: "cold-herd", Description: "all upstreams start cold at once and bear 11 requests a second each", PerSecond: usual,
			Topology: func() topology.Topology {
				s := lookup()
				s.ColdRate, s.Cold = 4, time.Minute
				return s
			},
			InjectFault: func(*testbed.Testbed) {},
		},
		{
			Name: "fan-out-tail", Description: "each upstream pauses 120 ms every 3 s at its own time", PerSecond: usual,
			Source:   "Dean and Barroso, The tail at scale, CACM 56(2), 2013",
			Topology: lookup, InjectFault: func(*testbed.Testbed) {},
		},
		{
			Name: "flash-crowd", Description: "far more callers than usual", PerSecond: crowd, Topology: lookup, InjectFault: func(*testbed.Testbed) {},
		},
	}
}

// troubles are patterns of upstreams in trouble.
func troubles() []Pattern {
	return []Pattern{
		{
			Name: "grey-shedding", Description: "one upstream of each service refuses half of what it gets although it is idle", PerSecond: usual,
			Source:   "Huang et al., Gray failure, HotOS 2017",
			Topology: lookup, InjectFault: first(func(p *replica.Replica) { p.SetShed(0.5) }),
		},
		{
			Name: "lost-replica", Description: "one upstream of each service falls silent", PerSecond: usual,
			Topology: lookup, InjectFault: first(func(p *replica.Replica) { p.SetUnresponsive(true) }),
		},
		{
			Name: "overloaded-shards", Description: "both upstreams of three of 20 services are slow, one more than an answer may lack", PerSecond: 4 * usual,
			Source:   "Bronson et al., Metastable failures in distributed systems, HotOS 2021",
			Topology: lookup, InjectFault: some(func(i int) bool { return i < 6 }, func(p *replica.Replica) { p.SetSlow(slower) }),
		},
		{
			Name: "retry-storm", Description: "upstreams fail half of what they get", PerSecond: 2 * usual,
			Source:   "Bronson et al., Metastable failures in distributed systems, HotOS 2021",
			Topology: lookup, InjectFault: some(func(int) bool { return true }, func(p *replica.Replica) { p.SetFault(half) }),
		},
		{
			Name: "slow-replica", Description: "one upstream of every seventh service is slow", PerSecond: usual,
			Topology: lookup, InjectFault: some(func(i int) bool { return i%14 == 0 }, func(p *replica.Replica) { p.SetSlow(slower) }),
		},
	}
}

func half(r *rand.Rand) replica.Fault {
	if r.IntN(2) == 0 {
		return replica.InternalError
	}
	return replica.Sound
}

// first troubles one upstream of each service.
func first(trouble func(p *replica.Replica)) func(w *testbed.Testbed) {
	return func(w *testbed.Testbed) {
		for _, of := range w.Replicas {
			trouble(of[0])
		}
	}
}

// some troubles upstreams by their place in the order of names.
func some(is func(i int) bool, trouble func(p *replica.Replica)) func(w *testbed.Testbed) {
	return func(w *testbed.Testbed) {
		for i, p := range w.AllReplicas() {
			if is(i) {
				trouble(p)
			}
		}
	}
}

func lookup() topology.Topology { return topology.Lookup(testbed.Names) }
