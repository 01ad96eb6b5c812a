// Package status defines the status report of an instance, which the operator address serves and the status command prints.
package status

import "time"

// Status is the state of an instance at one point in time. Ages are in milliseconds; -1 means a day or more, or never.
type Status struct {
	Instance        string   `json:"instance"`
	Incarnation     string   `json:"incarnation"`
	FailureDomain   string   `json:"failure-domain"`
	Ready           bool     `json:"ready"`
	NotReadyReason  string   `json:"not-ready-reason,omitempty"`
	Revision        uint64   `json:"revision"`
	Digest          string   `json:"digest"`
	Preset          string   `json:"preset"`
	ExcludedDomains []string `json:"domains-out"`
	// ViewAgeMS is the time since the platform last confirmed the view, as far as this instance knows.
	ViewAgeMS int64 `json:"view-age-ms"`
	// OutageAgeMS is the time since the last failed read of the platform that a peer reported.
	OutageAgeMS int64 `json:"outage-age-ms"`
	// Watcher is set if the instance reads the platform on behalf of others.
	Watcher         bool     `json:"watcher"`
	PlatformFailing bool     `json:"platform-failing"`
	ListVersion     uint64   `json:"list-version"`
	Peers           []Peer   `json:"peers"`
	Upstreams       int      `json:"upstreams"`
	ColdUpstreams   []string `json:"cold-upstreams"`
	Tickets         int      `json:"tickets"`
	FirstAttempts   int64    `json:"first-attempts"`
	ExtraAttempts   int64    `json:"extra-attempts"`
	// HedgeTokens and RetryTokens are the numbers of extra attempts that the budgets currently permit.
	HedgeTokens float64 `json:"hedge-tokens"`
	RetryTokens float64 `json:"retry-tokens"`
	// RequestsInFlight is the number of caller requests in flight.
	RequestsInFlight int `json:"requests-in-flight"`
	// OrdersInFlight is the number of running orders, including those between two attempts.
	OrdersInFlight int `json:"orders-in-flight"`
}

// Peer is the state of another instance that this one has called.
type Peer struct {
	Instance     string `json:"instance"`
	Revision     uint64 `json:"revision"`
	ContactAgeMS int64  `json:"contact-age-ms"`
	Suspected    bool   `json:"suspected"`
	Leaving      bool   `json:"leaving"`
}

const maxReportedAge = 24 * time.Hour

// AgeMS returns an age in milliseconds, or -1 if it is a day or more.
func AgeMS(age time.Duration) int64 {
	if age >= maxReportedAge {
		return -1
	}
	return age.Milliseconds()
}
