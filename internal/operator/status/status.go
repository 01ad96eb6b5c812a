// Package status describes how one instance is, for operators.
package status

// Status is a snapshot of an instance's state.
type Status struct {
	Instance       string   `json:"instance"`
	Incarnation    string   `json:"incarnation"`
	FailureDomain  string   `json:"failure-domain"`
	Ready          bool     `json:"ready"`
	NotReadyReason string   `json:"not-ready-reason,omitempty"`
	Revision       uint64   `json:"revision"`
	Preset         string   `json:"preset"`
	DomainsOut     []string `json:"domains-out"`
	ViewAgeMS      int64    `json:"view-age-ms"`
	ListVersion    uint64   `json:"list-version"`
	Upstreams      int      `json:"upstreams"`
	Cold           []string `json:"cold-upstreams"`
	Tickets        int      `json:"tickets"`
	FirstAttempts  int64    `json:"first-attempts"`
	ExtraAttempts  int64    `json:"extra-attempts"`
}
