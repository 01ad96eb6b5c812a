// Package gather merges the parts of one query and counts its coverage.
package gather

import (
	"crocuswing/internal/index/shard"
	"crocuswing/internal/query/coverage"
	"crocuswing/internal/wire/part"
)

// Gather holds the parts of one snapshot. It is not safe for concurrent use.
type Gather struct {
	snapshot string
	shards   []shard.Shard
	index    map[string]int
	parts    []*part.Reply
	answered int
	dropped  int
}

// New makes an empty gather for the shards of one snapshot.
func New(snapshot string, shards []shard.Shard) *Gather {
	g := &Gather{
		snapshot: snapshot,
		shards:   shards,
		index:    make(map[string]int, len(shards)),
		parts:    make([]*part.Reply, len(shards)),
	}
	for i, s := range shards {
		g.index[s.Name] = i
	}
	return g
}

// Add takes a part and reports whether it counts: it belongs to the snapshot and is whole,
// and the shard has no part yet.
func (g *Gather) Add(r part.Reply) bool {
	i, ok := g.index[r.Shard]
	if !ok || r.Snapshot != g.snapshot || r.Count != len(r.Rows) || g.parts[i] != nil {
		g.dropped++
		return false
	}
	g.parts[i] = &r
	g.answered++
	return true
}

// Has tells whether the shard at index i has its part.
func (g *Gather) Has(i int) bool { return g.parts[i] != nil }

// IsWhole tells whether every shard has its part.
func (g *Gather) IsWhole() bool { return g.answered == len(g.shards) }

// Dropped is the number of parts that did not count.
func (g *Gather) Dropped() int { return g.dropped }

// Coverage counts the shards and names the missing ones.
func (g *Gather) Coverage() coverage.Coverage {
	c := coverage.Coverage{Answered: g.answered, Total: len(g.shards), Missing: make([]string, 0, len(g.shards)-g.answered)}
	for i, s := range g.shards {
		if g.parts[i] == nil {
			c.Missing = append(c.Missing, s.Name)
		}
	}
	return c
}

// Rows gives all rows in the order of the shards.
func (g *Gather) Rows() []string {
	n := 0
	for _, p := range g.parts {
		if p != nil {
			n += len(p.Rows)
		}
	}
	rows := make([]string, 0, n)
	for _, p := range g.parts {
		if p != nil {
			rows = append(rows, p.Rows...)
		}
	}
	return rows
}
