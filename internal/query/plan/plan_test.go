package plan_test

import (
	"testing"

	"crocuswing/internal/config/set"
	"crocuswing/internal/query/plan"

	"github.com/stretchr/testify/require"
)

const stock = `{"name": "stock", "kind": "search", "contract": {"slots": 2, "connections": 4, "cold-slots": 1, "warm-after": 1}, "layouts": [
	{"snapshot": "n2", "shards": [{"name": "0", "replicas": ["a"]}, {"name": "1", "replicas": ["b"]}, {"name": "2", "replicas": ["c"]}]},
	{"snapshot": "n1", "shards": [{"name": "0", "replicas": ["a"]}, {"name": "1", "replicas": ["b"]}]}]}`

const orders = `{"name": "orders", "kind": "order", "contract": {"slots": 2, "connections": 4, "cold-slots": 1, "warm-after": 1},
	"layouts": [{"snapshot": "n1", "shards": [{"name": "0", "replicas": ["a"]}]}]}`

func TestPlan(t *testing.T) {
	cfg, err := set.Parse(3, map[string][]byte{
		"in-force":       []byte(`{"preset": "p"}`),
		"preset/p":       []byte(`{"name": "p", "deadline-ms": 1000, "answer-policy": "coverage", "hedge-quantile": 0.95, "hedge-share": 0, "retry-share": 0}`),
		"service/stock":  []byte(stock),
		"service/orders": []byte(orders),
	})
	require.NoError(t, err)

	p, err := plan.New(cfg, "stock", "")
	require.NoError(t, err)
	require.Equal(t, "n2", p.Snapshot)
	require.Len(t, p.Shards, 3)
	require.Equal(t, uint64(3), p.Revision)

	lookup, err := plan.New(cfg, "stock", "some-key")
	require.NoError(t, err)
	require.Len(t, lookup.Shards, 1)

	p, ok := plan.NewExcluding(cfg, "stock", "", []string{"n2"})
	require.True(t, ok)
	require.Equal(t, "n1", p.Snapshot)
	require.Len(t, p.Shards, 2)
	_, ok = plan.NewExcluding(cfg, "stock", "", []string{"n1", "n2"})
	require.False(t, ok)

	for _, name := range []string{"none", "orders"} {
		var unknown *plan.UnknownServiceError
		_, err = plan.New(cfg, name, "")
		require.ErrorAs(t, err, &unknown)
		_, ok = plan.NewExcluding(cfg, name, "", nil)
		require.False(t, ok)
	}
}
