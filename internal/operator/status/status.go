// Package status describes how one instance is, for operators.
package status

import "time"

// Status is a snapshot of an instance's state. Ages are in milliseconds; -1 means never.
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
	// OutageAgeMS is the time since a peer last knew that the platform could not be read.
	OutageAgeMS int64 `json:"outage-age-ms"`
	// Watcher tells whether the instance reads the platform for others.
	Watcher         bool     `json:"watcher"`
	PlatformFailing bool     `json:"platform-failing"`
	ListVersion     uint64   `json:"list-version"`
	Peers           []Peer   `json:"peers"`
	Upstreams       int      `json:"upstreams"`
	ColdUpstreams   []string `json:"cold-upstreams"`
	Tickets         int      `json:"tickets"`
	FirstAttempts   int64    `json:"first-attempts"`
	ExtraAttempts   int64    `json:"extra-attempts"`
	// HedgeTokens and RetryTokens are the extra attempts that the budgets permit at present.
	HedgeTokens float64 `json:"hedge-tokens"`
	RetryTokens float64 `json:"retry-tokens"`
	// RequestsInFlight is the number of requests of callers in flight.
	RequestsInFlight int `json:"requests-in-flight"`
	// OrdersInFlight is the number of orders that run, also of those between two attempts.
	OrdersInFlight int `json:"orders-in-flight"`
}

// Peer is another instance that this one has called.
type Peer struct {
	Instance     string `json:"instance"`
	Revision     uint64 `json:"revision"`
	ContactAgeMS int64  `json:"contact-age-ms"`
	Suspected    bool   `json:"suspected"`
	Leaving      bool   `json:"leaving"`
}

const never = 24 * time.Hour

// AgeMS gives an age in milliseconds, or -1 if it is a day or more.
func AgeMS(age time.Duration) int64 {
	if age >= never {
		return -1
	}
	return age.Milliseconds()
}
