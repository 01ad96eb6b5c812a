// Package tokenbucket limits extra attempts to a share of first attempts.
//
// A token bucket that first attempts fill, with a small rate besides, follows the retry budgets of
// Finagle, https://twitter.github.io/finagle/guide/Clients.html#retries.
package tokenbucket

import (
	"sync"
	"time"
)

// burst is the number of queries' worth of tokens that a bucket holds for large queries.
const burst = 8

// Bucket is a token bucket filled by first attempts. It is safe for concurrent use.
type Bucket struct {
	most float64
	rate float64 // tokens a second

	mu     sync.Mutex
	tokens float64
	filled time.Time
}

// Option changes how a bucket is made.
type Option func(*Bucket)

// WithInitialTokens starts the bucket with n tokens in place of none.
func WithInitialTokens(n float64) Option { return func(b *Bucket) { b.tokens = n } }

// WithRate adds perSecond tokens each second, whatever the number of first attempts.
func WithRate(perSecond float64) Option { return func(b *Bucket) { b.rate = perSecond } }

// New makes an empty bucket that holds at most most tokens, or 8 queries' worth if that is more.
func New(most float64, options ...Option) *Bucket {
	b := &Bucket{most: most, filled: time.Now()}
	for _, o := range options {
		o(b)
	}
	return b
}

// Deposit adds share tokens for each of the n first attempts of a query.
func (b *Bucket) Deposit(n int, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill()
	earned := share * float64(n)
	b.tokens = max(b.tokens, min(max(b.most, burst*earned), b.tokens+earned))
}

// Spend takes one token and reports whether there was one.
func (b *Bucket) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens is the number of extra attempts that are left.
func (b *Bucket) Tokens() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill()
	return b.tokens
}

func (b *Bucket) fill() {
	if b.rate == 0 {
		return
	}
	now := time.Now()
	earned := b.rate * now.Sub(b.filled).Seconds()
	b.tokens = max(b.tokens, min(b.most, b.tokens+earned))
	b.filled = now
}
