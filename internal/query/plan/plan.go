// Package plan fixes the configuration, snapshot and shards of one query. The runner makes a plan before it sends the first attempt,
// and another one if the upstreams no longer serve the snapshot.
package plan

import (
	"fmt"
	"slices"

	"crocuswing/internal/config/preset"
	"crocuswing/internal/config/service"
	"crocuswing/internal/config/set"
	"crocuswing/internal/index/layout"
	"crocuswing/internal/index/shard"
)

// Plan holds the snapshot and shards that a query reads. It does not change during an execution, even if the configuration does.
type Plan struct {
	Service  string
	Revision uint64
	Preset   preset.Preset
	Snapshot string
	Shards   []shard.Shard
}

// UnknownServiceError reports that the configuration has no search service of that name.
type UnknownServiceError struct{ Service string }

func (e *UnknownServiceError) Error() string {
	return fmt.Sprintf("there is no search service %q", e.Service)
}

// New plans a search over all shards of the newest snapshot. If key is not empty, it plans a lookup in the shard that holds key.
// It returns *UnknownServiceError if cfg has no search service called name.
func New(cfg set.Set, name, key string) (Plan, error) {
	s, ok := cfg.Service(name)
	if !ok || s.Kind != service.KindSearch {
		return Plan{}, &UnknownServiceError{Service: name}
	}
	return newPlan(cfg, s.Name, s.Current(), key), nil
}

// NewExcluding is like New but ignores the snapshots in gone. It returns false if no snapshot is left or the service is unknown.
func NewExcluding(cfg set.Set, name, key string, gone []string) (Plan, bool) {
	s, ok := cfg.Service(name)
	if !ok || s.Kind != service.KindSearch {
		return Plan{}, false
	}
	for _, l := range s.Layouts {
		if !slices.Contains(gone, l.Snapshot) {
			return newPlan(cfg, s.Name, l, key), true
		}
	}
	return Plan{}, false
}

func newPlan(cfg set.Set, name string, l layout.Layout, key string) Plan {
	p := Plan{Service: name, Revision: cfg.Revision(), Preset: cfg.Preset(), Snapshot: l.Snapshot, Shards: l.Shards}
	if key != "" {
		p.Shards = []shard.Shard{l.ShardOf(key)}
	}
	return p
}
