// Package gatherer merges the parts of one query and counts its coverage.
package gatherer

import (
	"errors"

	"crocuswing/internal/index/shard"
	"crocuswing/internal/query/coverage"
	"crocuswing/internal/wire/part"
)

// Verdict tells what became of a part.
type Verdict string

// Verdicts on a part.
const (
	// Counted parts are in the answer.
	Counted Verdict = "counted"
	// Duplicate parts are of a shard that has its part: the other replica was faster.
	Duplicate Verdict = "duplicate"
	// Crossed parts belong to another request, shard or snapshot.
	Crossed Verdict = "crossed"
	// Incomplete parts do not hold the rows that they declare.
	Incomplete Verdict = "incomplete"
)

// Gatherer holds the parts of one snapshot. It is not safe for concurrent use.
type Gatherer struct {
	snapshot string
	shards   []shard.Shard
	parts    [][]string // rows by shard; nil while missing
	answered int
	rows     int
	dropped  int
}

// noRows is the part of a shard without rows.
var noRows = make([]string, 0)

// New makes an empty gatherer for the shards of one snapshot.
func New(snapshot string, shards []shard.Shard) *Gatherer {
	return &Gatherer{snapshot: snapshot, shards: shards, parts: make([][]string, len(shards))}
}

// Add takes the reply to a request for the shard at index i. It counts if it is whole, answers just this
// request and the shard has no part yet.
func (g *Gatherer) Add(i int, q part.Request, r part.Reply) Verdict {
	v := g.judge(i, q, r)
	if v != Counted {
		g.dropped++
		return v
	}
	g.parts[i] = r.Rows
	if r.Rows == nil {
		g.parts[i] = noRows
	}
	g.answered++
	g.rows += len(r.Rows)
	return v
}

func (g *Gatherer) judge(i int, q part.Request, r part.Reply) Verdict {
	if q.Snapshot != g.snapshot || q.Shard != g.shards[i].Name {
		return Crossed
	}
	if err := r.Check(q); err != nil {
		var crossed *part.CrossedError
		if errors.As(err, &crossed) {
			return Crossed
		}
		return Incomplete
	}
	if g.parts[i] != nil {
		return Duplicate
	}
	return Counted
}

// HasPart tells whether the shard at index i has its part.
func (g *Gatherer) HasPart(i int) bool { return g.parts[i] != nil }

// Answered is the number of shards that have their part.
func (g *Gatherer) Answered() int { return g.answered }

// IsComplete tells whether every shard has its part.
func (g *Gatherer) IsComplete() bool { return g.answered == len(g.shards) }

// Dropped is the number of parts that did not count.
func (g *Gatherer) Dropped() int { return g.dropped }

// Coverage counts the shards and names the missing ones.
func (g *Gatherer) Coverage() coverage.Coverage {
	c := coverage.Coverage{Answered: g.answered, Total: len(g.shards), Missing: make([]string, 0, len(g.shards)-g.answered)}
	for i, s := range g.shards {
		if g.parts[i] == nil {
			c.Missing = append(c.Missing, s.Name)
		}
	}
	return c
}

// Rows gives all rows in the order of the shards.
func (g *Gatherer) Rows() []string {
	rows := make([]string, 0, g.rows)
	for _, p := range g.parts {
		rows = append(rows, p...)
	}
	return rows
}
