package negativecache_test

import (
	"fmt"
	"testing"
	"time"

	"crocuswing/internal/index/negativecache"

	"github.com/stretchr/testify/require"
)

func ExampleCache() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c := negativecache.New()
	c.Add("search", "n1", now)
	fmt.Println(c.Snapshots("search", now.Add(999*time.Millisecond)))
	fmt.Println(c.Snapshots("search", now.Add(time.Second)))
	// Output:
	// [n1]
	// []
}

func TestCache(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c := negativecache.New()
	for n := range 3000 {
		c.Add("search", fmt.Sprintf("n%d", n%3), now.Add(time.Duration(n)*time.Millisecond))
	}
	require.ElementsMatch(t, []string{"n0", "n1", "n2"}, c.Snapshots("search", now.Add(3*time.Second)))
	require.Empty(t, c.Snapshots("orders", now))
	require.Empty(t, c.Snapshots("search", now.Add(4*time.Second)))
}
