package gatherer_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"crocuswing/internal/index/shard"
	"crocuswing/internal/query/gatherer"
	"crocuswing/internal/wire/part"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func shards(n int) []shard.Shard {
	all := make([]shard.Shard, n)
	for i := range all {
		all[i] = shard.Shard{Name: fmt.Sprintf("s-%d", i), Replicas: []string{"a", "b"}}
	}
	return all
}

func ExampleGatherer() {
	g := gatherer.New("n1", shards(2))
	q := part.Request{RequestID: "r/1", Service: "search", Shard: "s-0", Snapshot: "n1", Query: "cotton"}
	r := part.Reply{RequestID: "r/1", Service: "search", Shard: "s-0", Snapshot: "n1", Count: 1, Rows: []string{"row"}}
	fmt.Println(g.Add(0, q, r), g.Add(0, q, r))
	c := g.Coverage()
	fmt.Println(c.Answered, "of", c.Total, "missing", c.Missing)
	// Output:
	// counted duplicate
	// 1 of 2 missing [s-1]
}

// referenceModel keeps every valid part in a list, which it searches on each call.
type referenceModel struct{ kept []part.Reply }

func (m *referenceModel) add(i int, all []shard.Shard, q part.Request, r part.Reply) bool {
	fits := q.Shard == all[i].Name && q.Snapshot == "n1" && r.RequestID == q.RequestID && r.Service == q.Service &&
		r.Shard == q.Shard && r.Snapshot == q.Snapshot && r.Count == len(r.Rows)
	for _, k := range m.kept {
		fits = fits && k.Shard != r.Shard
	}
	if fits {
		m.kept = append(m.kept, r)
	}
	return fits
}

func (m *referenceModel) rows(all []shard.Shard) []string {
	rows := make([]string, 0)
	for _, s := range all {
		for _, k := range m.kept {
			if k.Shard == s.Name {
				rows = append(rows, k.Rows...)
			}
		}
	}
	return rows
}

// TestModel compares Gatherer with the reference model on random replies, some of them crossed, truncated, duplicated or of another
// snapshot.
func TestModel(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "4"))
	rapid.Check(t, func(t *rapid.T) {
		all := shards(rapid.IntRange(1, 8).Draw(t, "shards"))
		g, model, dropped := gatherer.New("n1", all), &referenceModel{}, 0
		names := rapid.SampledFrom([]string{"s-0", "s-1", "s-2", "s-3", "s-7", "s-99", ""})
		snapshots := rapid.SampledFrom([]string{"n1", "n1", "n1", "n2", ""})
		ids := rapid.SampledFrom([]string{"r/1", "r/1", "r/1", "r/2"})
		for range rapid.IntRange(0, 30).Draw(t, "replies") {
			i := rapid.IntRange(0, len(all)-1).Draw(t, "index")
			q := part.Request{RequestID: "r/1", Service: "search", Shard: all[i].Name, Snapshot: "n1"}
			r := part.Reply{RequestID: "r/1", Service: "search", Shard: all[i].Name, Snapshot: "n1"}
			r.Rows = rapid.SliceOfN(rapid.StringMatching("[a-z]"), 0, 3).Draw(t, "rows")
			r.Count = len(r.Rows)
			switch rapid.IntRange(0, 6).Draw(t, "fault") {
			case 0:
				r.Shard = names.Draw(t, "shard")
			case 1:
				r.Snapshot = snapshots.Draw(t, "snapshot")
			case 2:
				r.RequestID = ids.Draw(t, "id")
			case 3:
				r.Count = rapid.IntRange(-1, 4).Draw(t, "count")
			case 4:
				r.Snapshot = snapshots.Draw(t, "both snapshots")
				q.Snapshot = r.Snapshot
			default:
			}
			counted := model.add(i, all, q, r)
			if !counted {
				dropped++
			}
			require.Equal(t, counted, g.Add(i, q, r) == gatherer.Counted)
			checkAgainstModel(t, g, model, all)
			require.Equal(t, dropped, g.Dropped())
		}
	})
}

func checkAgainstModel(t *rapid.T, g *gatherer.Gatherer, model *referenceModel, all []shard.Shard) {
	c := g.Coverage()
	require.Equal(t, len(all), c.Total)
	require.Equal(t, len(model.kept), c.Answered)
	require.Len(t, c.Missing, c.Total-c.Answered)
	for i, s := range all {
		has := false
		for _, k := range model.kept {
			has = has || k.Shard == s.Name
		}
		require.Equal(t, has, g.HasPart(i))
		require.Equal(t, !has, slices.Contains(c.Missing, s.Name))
	}
	require.Equal(t, c.Answered == c.Total, g.IsComplete())
	require.Equal(t, model.rows(all), g.Rows())
}
