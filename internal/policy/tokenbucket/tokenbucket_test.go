package tokenbucket_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/policy/tokenbucket"

	"github.com/stretchr/testify/require"
)

func ExampleBucket() {
	b := tokenbucket.New(20)
	b.Deposit(60, 0.05) // a query over 60 shards adds 3 tokens
	for range 4 {
		fmt.Println(b.Spend())
	}
	// Output:
	// true
	// true
	// true
	// false
}

func TestSpendingStaysWithinTheShare(t *testing.T) {
	const shards, share = 20, 0.05
	b := tokenbucket.New(20)
	first, extra := 0, 0
	for n := range 1000 {
		b.Deposit(shards, share)
		first += shards
		for range (n * 7) % 5 { // uneven demand, twice the share on average
			if b.Spend() {
				extra++
			}
		}
		require.LessOrEqual(t, float64(extra), share*float64(first))
	}
	require.Greater(t, float64(extra), 0.9*share*float64(first))
}

func TestLargeQueriesRaiseTheCapacity(t *testing.T) {
	b := tokenbucket.New(20)
	for range 100 {
		b.Deposit(1100, 0.05)
	}
	require.InDelta(t, 8*55, b.Tokens(), 0.001)
	b.Deposit(20, 0.05)
	require.InDelta(t, 8*55, b.Tokens(), 0.001, "a small query removes no tokens")
}

func TestRateRefillsIdleBucket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := tokenbucket.New(20, tokenbucket.WithInitialTokens(1), tokenbucket.WithRate(10))
		require.True(t, b.Spend())
		require.False(t, b.Spend())
		time.Sleep(100 * time.Millisecond)
		require.True(t, b.Spend())
		time.Sleep(time.Hour)
		require.InDelta(t, 20, b.Tokens(), 0.001)
	})
}
