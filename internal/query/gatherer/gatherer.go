// Package gatherer checks the parts that shards return for one query, merges their rows and computes the coverage of the answer. The
// runner adds each part as it arrives.
package gatherer

import (
	"errors"

	"crocuswing/internal/index/shard"
	"crocuswing/internal/query/coverage"
	"crocuswing/internal/wire/part"
)

// Verdict is the result of the check of a part. Its text is the reason in the metric of dropped parts.
type Verdict string

// Verdicts on a part.
const (
	// Counted means that the part is in the answer.
	Counted Verdict = "counted"
	// Duplicate means that the shard already has its part, from a replica that was faster.
	Duplicate Verdict = "duplicate"
	// Crossed means that the part belongs to another request, shard or snapshot.
	Crossed Verdict = "crossed"
	// Incomplete means that the number of rows differs from the declared one.
	Incomplete Verdict = "incomplete"
)

// Gatherer collects one part per shard of one snapshot. It is not safe for concurrent use.
type Gatherer struct {
	snapshot string
	shards   []shard.Shard
	parts    [][]string // rows by shard; nil while missing
	answered int
	rowCount int
	dropped  int
}

// emptyPart marks a shard that answered without rows; a nil part means that the shard is missing.
var emptyPart = make([]string, 0)

// New returns an empty Gatherer for the shards of one snapshot.
func New(snapshot string, shards []shard.Shard) *Gatherer {
	return &Gatherer{snapshot: snapshot, shards: shards, parts: make([][]string, len(shards))}
}

// Add checks r, the reply to q for the shard at index i, and keeps its rows if it counts: it must be complete and belong to q, and the
// shard must have no part yet.
func (g *Gatherer) Add(i int, q part.Request, r part.Reply) Verdict {
	v := g.check(i, q, r)
	if v != Counted {
		g.dropped++
		return v
	}
	g.parts[i] = r.Rows
	if r.Rows == nil {
		g.parts[i] = emptyPart
	}
	g.answered++
	g.rowCount += len(r.Rows)
	return v
}

func (g *Gatherer) check(i int, q part.Request, r part.Reply) Verdict {
	if q.Snapshot != g.snapshot || q.Shard != g.shards[i].Name {
		return Crossed
	}
	if err := r.Check(q); err != nil {
		var mismatch *part.MismatchError
		if errors.As(err, &mismatch) {
			return Crossed
		}
		return Incomplete
	}
	if g.parts[i] != nil {
		return Duplicate
	}
	return Counted
}

// HasPart reports whether the shard at index i has its part.
func (g *Gatherer) HasPart(i int) bool { return g.parts[i] != nil }

// Answered returns the number of shards that have their part.
func (g *Gatherer) Answered() int { return g.answered }

// IsComplete reports whether every shard has its part.
func (g *Gatherer) IsComplete() bool { return g.answered == len(g.shards) }

// Dropped returns the number of parts that did not count.
func (g *Gatherer) Dropped() int { return g.dropped }

// Coverage returns the number of shards that answered and the names of the missing ones.
func (g *Gatherer) Coverage() coverage.Coverage {
	c := coverage.Coverage{Answered: g.answered, Total: len(g.shards), Missing: make([]string, 0, len(g.shards)-g.answered)}
	for i, s := range g.shards {
		if g.parts[i] == nil {
			c.Missing = append(c.Missing, s.Name)
		}
	}
	return c
}

// Rows returns all rows in the order of the shards.
func (g *Gatherer) Rows() []string {
	rows := make([]string, 0, g.rowCount)
	for _, p := range g.parts {
		rows = append(rows, p...)
	}
	return rows
}
