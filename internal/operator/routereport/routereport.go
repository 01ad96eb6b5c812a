// Package routereport defines the report on where a request would go and why. The runner and the clusters of an instance fill it with the
// results of their own decisions, the metrics address serves it, and the command route prints it.
package routereport

import (
	"math"
	"time"
)

// Path is the path of the report on the metrics address.
const Path = "/route"

// Parameters of the query of Path.
const (
	ParamHost      = "host"
	ParamPath      = "path"
	ParamMethod    = "method"
	ParamWorkspace = "workspace"
)

// MaxServices is the number of services whose candidates a report lists.
const MaxServices = 20

// Report is what an instance would do with a request at one moment. Times are in milliseconds.
type Report struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failure-domain"`
	Region        string `json:"region"`
	Method        string `json:"method"`
	Host          string `json:"host"`
	Path          string `json:"path"`
	// Workspace is the workspace for which the question was asked.
	Workspace     string  `json:"workspace,omitempty"`
	Revision      int64   `json:"revision"`
	StoreRevision int64   `json:"store-revision"`
	ViewAgeMS     float64 `json:"view-age-ms"`
	Route         *Route  `json:"route,omitempty"`
	// Aggregators are the instances of the region that gather for the others; empty if each instance gathers for itself.
	Aggregators []string `json:"aggregators"`
	// Refusal is why the request would be refused or failed before anything is sent; nil if it would be sent.
	Refusal *Refusal `json:"refusal,omitempty"`
	// Available is the number of services that can take a request soon, ServiceCount that of all, and Required that of those that an
	// answer needs.
	Available    int       `json:"available"`
	Required     int       `json:"required"`
	ServiceCount int       `json:"service-count"`
	Services     []Service `json:"services"`
}

// Route is the route of the request.
type Route struct {
	Name        string   `json:"name"`
	Prefix      string   `json:"prefix"`
	Rank        int      `json:"rank"`
	Gathers     bool     `json:"gathers"`
	RunsOnce    bool     `json:"runs-once"`
	MaxAttempts int      `json:"max-attempts"`
	TimeoutMS   float64  `json:"timeout-ms"`
	ObjectiveMS float64  `json:"objective-ms"`
	HedgeMS     float64  `json:"hedge-after-ms"`
	Regions     []string `json:"regions,omitempty"`
}

// Refusal is a reply without an answer.
type Refusal struct {
	Status       int     `json:"status"`
	Reason       string  `json:"reason"`
	RetryAfterMS float64 `json:"retry-after-ms,omitempty"`
}

// Service is one service to which the request or a part of it would go.
type Service struct {
	Name string `json:"name"`
	// Weight is the share of the requests of a route without shards that goes to the service.
	Weight float64 `json:"weight,omitempty"`
	// CanServe reports whether a candidate can take a request, and AvailableInMS after which time.
	CanServe      bool    `json:"can-serve"`
	AvailableInMS float64 `json:"available-in-ms"`
	// ExtraAttempts is the number of retries and hedges that the retry budget has left.
	ExtraAttempts float64 `json:"extra-attempts"`
	// ByLoad reports whether reported loads decide the share of requests that leaves the nearest failure domains.
	ByLoad     bool        `json:"by-load"`
	Leaving    float64     `json:"leaving"`
	Domains    []Domain    `json:"domains,omitempty"`
	Candidates []Candidate `json:"candidates"`
}

// Domain is a failure domain with its share of first attempts.
type Domain struct {
	Name       string  `json:"name"`
	Share      float64 `json:"share"`
	Load       float64 `json:"load"`
	ExpectedMS float64 `json:"expected-ms"`
}

// Candidate is an upstream of a service.
type Candidate struct {
	Upstream string `json:"upstream"`
	Domain   string `json:"domain"`
	Region   string `json:"region"`
	Distance string `json:"distance"`
	State    string `json:"state"`
	// RuledOut is why the upstream would not get the first attempt; empty if it may.
	RuledOut string `json:"ruled-out,omitempty"`
	// Load is the number of running and waiting requests per slot as last reported, -1 if unknown.
	Load       float64 `json:"load"`
	LoadAgeMS  float64 `json:"load-age-ms,omitempty"`
	Slots      float64 `json:"slots,omitempty"`
	WorkFactor float64 `json:"work-factor,omitempty"`
	InFlight   int     `json:"in-flight"`
	LatencyMS  float64 `json:"latency-ms"`
	Misses     int     `json:"misses"`
	// Rank is the order in which the balancer considers candidates, and CostMS that by which it compares those of a rank.
	Rank   int     `json:"rank"`
	CostMS float64 `json:"cost-ms"`
	// Connected reports whether the instance keeps connections to the upstream.
	Connected bool `json:"connected"`
	// Probe reports whether the upstream is due for a probe, which would get the first attempt.
	Probe bool `json:"probe,omitempty"`
	// Chance is the share of first attempts that would go to the upstream.
	Chance float64 `json:"chance"`
}

// MS returns a duration in milliseconds, rounded to microseconds.
func MS(d time.Duration) float64 { return math.Round(float64(d)/float64(time.Microsecond)) / 1000 }
