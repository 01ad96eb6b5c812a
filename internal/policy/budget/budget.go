// Package budget limits extra attempts to a share of first attempts.
package budget

import "sync"

// Budget is a token bucket filled by first attempts. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	most   float64
}

// New makes a full budget that holds at most most tokens.
func New(most float64) *Budget {
	return &Budget{tokens: most, most: most}
}

// Earn adds share tokens for each of n first attempts.
func (b *Budget) Earn(n int, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.most, b.tokens+share*float64(n))
}

// Spend takes one token and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens is the number of extra attempts that are left.
func (b *Budget) Tokens() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}
