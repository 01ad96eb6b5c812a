// Package layout describes how a snapshot is partitioned into shards. A search goes to all shards, a lookup to the shard that
// holds its key.
package layout

import (
	"fmt"

	"crocuswing/internal/index/shard"

	"github.com/cespare/xxhash/v2"
)

// Layout is the partition of one snapshot into shards.
type Layout struct {
	Snapshot string        `json:"snapshot"`
	Shards   []shard.Shard `json:"shards"`
}

// Check returns an error if the layout has no shards, a shard has no replicas, or a name is empty or a duplicate.
func (l Layout) Check() error {
	if l.Snapshot == "" {
		return fmt.Errorf("snapshot is missing")
	}
	if len(l.Shards) == 0 {
		return fmt.Errorf("snapshot %s has no shards", l.Snapshot)
	}
	seen := make(map[string]bool, len(l.Shards))
	for _, s := range l.Shards {
		if s.Name == "" || seen[s.Name] {
			return fmt.Errorf("snapshot %s: shard name %q is empty or a duplicate", l.Snapshot, s.Name)
		}
		seen[s.Name] = true
		if err := checkReplicas(s); err != nil {
			return fmt.Errorf("snapshot %s: %w", l.Snapshot, err)
		}
	}
	return nil
}

// ShardOf returns the shard that holds key.
func (l Layout) ShardOf(key string) shard.Shard {
	return l.Shards[xxhash.Sum64String(key)%uint64(len(l.Shards))]
}

func checkReplicas(s shard.Shard) error {
	if len(s.Replicas) == 0 {
		return fmt.Errorf("shard %s has no replicas", s.Name)
	}
	seen := make(map[string]bool, len(s.Replicas))
	for _, r := range s.Replicas {
		if r == "" || seen[r] {
			return fmt.Errorf("shard %s: replica %q is empty or a duplicate", s.Name, r)
		}
		seen[r] = true
	}
	return nil
}
