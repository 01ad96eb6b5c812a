package runner

import (
	"context"
	"slices"
	"testing"
	"time"

	"crocuswing/internal/experiment/outcome"
	"crocuswing/internal/experiment/testbed"
	"crocuswing/internal/experiment/topology"
	"crocuswing/internal/operator/metric"
	"crocuswing/internal/standin/replica"
	"crocuswing/internal/upstream/connection"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

var names = testbed.HeaderNames

// harness is a runner with a simulated environment of its own.
type harness struct {
	*testing.T
	*testbed.Testbed
	runner *Runner
}

func lookupShape() topology.Topology { return topology.Lookup(names) }

func orderShape() topology.Topology { return topology.Order(names) }

func newHarness(t *testing.T, s topology.Topology) *harness {
	w := testbed.New(s)
	return &harness{T: t, Testbed: w, runner: New(w, w.Catalog, w, w.History, metric.New(), zap.NewNop())}
}

// stop ends all goroutines in the synctest bubble.
func (h *harness) stop() {
	h.runner.Wait(context.Background())
	h.Stop()
	time.Sleep(2 * connection.LingerTimeout)
}

// requireMerged compares a merged answer with the records that its parts contain.
func (h *harness) requireMerged(o outcome.Outcome, records, topK, shards int) {
	require.Equal(h, shards, len(o.Proofs)+o.Missing)
	var parts [][]byte
	seen := make(map[string]bool)
	for _, proof := range o.Proofs {
		id := proof[:len(proof)-len(o.ID)-1]
		require.Equal(h, id+"."+o.ID, proof)
		require.False(h, seen[id[:3]], "at most one part of each service")
		seen[id[:3]] = true
		part := replica.Part(id, o.ID, records)
		for ; len(part) > 0; part = part[16:] {
			parts = append(parts, part[:16])
		}
	}
	slices.SortFunc(parts, func(a, b []byte) int { return slices.Compare(b, a) })
	var want []byte
	for _, p := range parts[:min(topK, len(parts))] {
		want = append(want, p...)
	}
	require.Equal(h, want, o.Reply.Body)
}
