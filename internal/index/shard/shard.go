// Package shard describes one shard of a snapshot and the upstreams that hold a replica of it.
package shard

// Shard is one shard of a snapshot; any of its replicas can serve it.
type Shard struct {
	Name string `json:"name"`
	// Replicas are the names of the upstreams that hold the shard.
	Replicas []string `json:"replicas"`
}
