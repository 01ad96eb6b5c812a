// Package shard names one shard of a snapshot and the upstreams that hold it.
package shard

// Shard is one shard; any of its replicas can answer for it.
type Shard struct {
	Name string `json:"name"`
	// Replicas are the names of upstreams.
	Replicas []string `json:"replicas"`
}
