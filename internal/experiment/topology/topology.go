// Package topology describes the upstreams and the route of an experiment.
package topology

import (
	"math/rand/v2"
	"time"

	"crocuswing/internal/routing/route"
	"crocuswing/internal/settings/deployment"
	"crocuswing/internal/standin/replica"
)

// Topology is that of the services of a world.
type Topology struct {
	Services, Replicas int
	replica.Options
	// Route is completed with the services.
	Route    route.Route
	ColdRate float64
	// RemoteRTT is the way to all replicas of a service but the first; 0 for the same way.
	RemoteRTT time.Duration
	Cold      time.Duration
	Bounds    deployment.Bounds
}

// Bounds are those of the users' smallest deployment.
var Bounds = deployment.Bounds{ExtraRatio: 0.2, ExtraSlack: 58, ExtraWindow: 10 * time.Second, ColdFactor: 1.5, ColdSlack: 5}

// Lookup is a search over all shards with the objective and work of the users' most frequent request.
func Lookup(n replica.Names) Topology {
	return Topology{
		Services: 20, Replicas: 2,
		Options: replica.Options{
			Names: n, Slots: 2, Queue: 12, Records: 12, RTT: 2 * time.Millisecond, Seed: 1,
			Work:       UniformServiceTime(4*time.Millisecond, 11*time.Millisecond),
			PauseEvery: 3 * time.Second, PauseFor: 120 * time.Millisecond,
		},
		Route: route.Route{
			Name: "lookup", Host: "h", Prefix: "/", MaxAttempts: 2, Timeout: 600 * time.Millisecond, Objective: 100 * time.Millisecond,
			TopK: 10, MinShare: 0.89,
		},
		Bounds: Bounds,
	}
}

// Order is a request to one upstream that may not run twice.
func Order(n replica.Names) Topology {
	s := Lookup(n)
	s.Services, s.Replicas = 1, 5
	s.Route = route.Route{Name: "order", Host: "h", Prefix: "/", NonIdempotent: true, MaxAttempts: 2, Timeout: 1500 * time.Millisecond, Objective: 300 * time.Millisecond}
	return s
}

// UniformServiceTime draws the time of a request evenly between two times.
func UniformServiceTime(least, most time.Duration) func(r *rand.Rand) time.Duration {
	return func(r *rand.Rand) time.Duration { return least + time.Duration(r.Float64()*float64(most-least)) }
}
