// Package topology describes the services, the upstreams and the route that an experiment runs against.
package topology

import (
	"math/rand/v2"
	"net"
	"time"

	"crocuswing/internal/routing/route"
	"crocuswing/internal/settings/deployment"
	"crocuswing/internal/standin/replica"
)

// Topology configures the upstreams of a testbed and the route to them.
type Topology struct {
	// Services is the number of services, and Replicas is the number of replicas of each.
	Services, Replicas int
	replica.Options
	// Route is the route without its services; the testbed adds them.
	Route route.Route
	// ColdRate is the number of requests per second that a cold upstream can handle; 0 if unspecified.
	ColdRate float64
	// RemoteRTT is the round-trip time to all replicas of a service but the first; 0 for the same as to the first.
	RemoteRTT time.Duration
	// Cold is the remaining warm-up time with which the upstreams are registered.
	Cold   time.Duration
	Bounds deployment.Bounds
	// WrapListener returns the listener on which an upstream serves in place of l; nil for l itself.
	WrapListener func(l net.Listener) net.Listener
}

// Bounds holds the bounds of the users' smallest deployment.
var Bounds = deployment.Bounds{ExtraRatio: 0.2, ExtraSlack: 58, ExtraWindow: 10 * time.Second, ColdFactor: 1.5, ColdSlack: 5}

// Lookup returns the topology of a search over all shards, with the objective and the service time of the users' most frequent
// request.
func Lookup(n replica.HeaderNames) Topology {
	return Topology{
		Services: 20, Replicas: 2,
		Options: replica.Options{
			HeaderNames: n, Slots: 2, Queue: 12, Records: 12, RTT: 2 * time.Millisecond, Seed: 1,
			ServiceTime: UniformServiceTime(4*time.Millisecond, 11*time.Millisecond),
			PauseEvery:  3 * time.Second, PauseFor: 120 * time.Millisecond,
		},
		Route: route.Route{
			Name: "lookup", Host: "h", Prefix: "/", MaxAttempts: 2, Timeout: 600 * time.Millisecond, Objective: 100 * time.Millisecond,
			TopK: 10, MinShare: 0.89,
		},
		Bounds: Bounds,
	}
}

// Order returns the topology of a non-idempotent request to one upstream.
func Order(n replica.HeaderNames) Topology {
	t := Lookup(n)
	t.Services, t.Replicas = 1, 5
	t.Route = route.Route{Name: "order", Host: "h", Prefix: "/", NonIdempotent: true, MaxAttempts: 2, Timeout: 1500 * time.Millisecond, Objective: 300 * time.Millisecond}
	return t
}

// UniformServiceTime returns a function that draws service times uniformly between lowest and highest.
func UniformServiceTime(lowest, highest time.Duration) func(r *rand.Rand) time.Duration {
	return func(r *rand.Rand) time.Duration { return lowest + time.Duration(r.Float64()*float64(highest-lowest)) }
}
