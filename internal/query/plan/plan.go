// Package plan pins the configuration and the snapshot of one query.
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

// Plan is what one query will do; it never changes while the query runs.
type Plan struct {
	Service  string
	Revision uint64
	Preset   preset.Preset
	Snapshot string
	Shards   []shard.Shard
}

// UnknownServiceError tells that no such search service exists.
type UnknownServiceError struct{ Service string }

// Error names the service.
func (e *UnknownServiceError) Error() string {
	return fmt.Sprintf("there is no search service %q", e.Service)
}

// New plans a search over all shards of the newest snapshot, or a lookup in the one that holds key.
func New(cfg set.Set, name, key string) (Plan, error) {
	s, ok := cfg.Service(name)
	if !ok || s.Kind != service.KindSearch {
		return Plan{}, &UnknownServiceError{Service: name}
	}
	return of(cfg, s.Name, s.Current(), key), nil
}

// NewExcluding plans the query anew on the newest snapshot of cfg besides those that are gone.
func NewExcluding(cfg set.Set, name, key string, gone []string) (Plan, bool) {
	s, ok := cfg.Service(name)
	if !ok || s.Kind != service.KindSearch {
		return Plan{}, false
	}
	for _, l := range s.Layouts {
		if !slices.Contains(gone, l.Snapshot) {
			return of(cfg, s.Name, l, key), true
		}
	}
	return Plan{}, false
}

func of(cfg set.Set, name string, l layout.Layout, key string) Plan {
	p := Plan{Service: name, Revision: cfg.Revision(), Preset: cfg.Preset(), Snapshot: l.Snapshot, Shards: l.Shards}
	if key != "" {
		p.Shards = []shard.Shard{l.ShardOf(key)}
	}
	return p
}
