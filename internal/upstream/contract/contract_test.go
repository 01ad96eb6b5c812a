package contract_test

import (
	"testing"

	"crocuswing/internal/upstream/contract"

	"github.com/stretchr/testify/require"
)

func TestShares(t *testing.T) {
	for _, c := range []struct {
		name      string
		contract  contract.Contract
		instances int
		homes     int
	}{
		{"two slots, small fleet", contract.Contract{Slots: 2, Connections: 25, ColdSlots: 1, WarmAfter: 8}, 4, 4},
		{"three slots, small fleet", contract.Contract{Slots: 3, Connections: 100, ColdSlots: 1, WarmAfter: 8}, 4, 4},
		{"large fleet", contract.Contract{Slots: 2, Connections: 25, ColdSlots: 1, WarmAfter: 8}, 2800, 4},
		{"many slots", contract.Contract{Slots: 64, Connections: 1000, ColdSlots: 8, WarmAfter: 8}, 2800, 16},
		{"few connections", contract.Contract{Slots: 8, Connections: 5, ColdSlots: 1, WarmAfter: 8}, 100, 1},
		{"minimum connections", contract.Contract{Slots: 2, Connections: 2, ColdSlots: 1, WarmAfter: 8}, 4, 1},
		{"homes set", contract.Contract{Slots: 2, Connections: 25, ColdSlots: 1, WarmAfter: 8, Homes: 2}, 2800, 2},
		{"single instance", contract.Contract{Slots: 2, Connections: 25, ColdSlots: 1, WarmAfter: 8}, 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.NoError(t, c.contract.Check())
			homes := c.contract.HomeCount(c.instances)
			require.Equal(t, c.homes, homes)
			require.LessOrEqual(t, 2*homes*c.contract.ConnectionShare(homes), c.contract.Connections)
			slots := 0
			for rank := range homes {
				share := c.contract.SlotShare(rank, homes)
				require.GreaterOrEqual(t, share, 1)
				slots += share
			}
			require.LessOrEqual(t, slots, max(c.contract.Slots, homes))
		})
	}
}

func TestCheck(t *testing.T) {
	valid := contract.Contract{Slots: 2, Connections: 25, ColdSlots: 1, WarmAfter: 8}
	for name, change := range map[string]func(*contract.Contract){
		"slots":       func(c *contract.Contract) { c.Slots = 0 },
		"connections": func(c *contract.Contract) { c.Connections = 1 },
		"cold-slots":  func(c *contract.Contract) { c.ColdSlots = 3 },
		"warm-after":  func(c *contract.Contract) { c.WarmAfter = 0 },
		"homes":       func(c *contract.Contract) { c.Homes = 13 },
	} {
		c := valid
		change(&c)
		require.ErrorContains(t, c.Check(), name)
	}
}
