// Package tokenbucket limits the extra attempts (hedges, retries and probes) of queries to a share of their first attempts. The runner
// of queries keeps one bucket for hedges and one for retries.
//
// First attempts fill the bucket, in addition to an optional fixed rate, as in the retry budgets of Finagle,
// https://twitter.github.io/finagle/guide/Clients.html#retries.
package tokenbucket

import (
	"sync"
	"time"
)

// burstQueries is the number of queries whose deposits fit into the bucket, even if that exceeds its capacity.
const burstQueries = 8

// Bucket is a token bucket that first attempts fill; one token pays for one extra attempt. It is safe for concurrent use.
type Bucket struct {
	capacity float64
	rate     float64 // tokens per second

	mu       sync.Mutex
	tokens   float64
	filledAt time.Time
}

// Option configures a Bucket.
type Option func(*Bucket)

// WithInitialTokens sets the initial number of tokens, which is 0 by default.
func WithInitialTokens(n float64) Option { return func(b *Bucket) { b.tokens = n } }

// WithRate adds perSecond tokens per second, independently of the first attempts.
func WithRate(perSecond float64) Option { return func(b *Bucket) { b.rate = perSecond } }

// New returns an empty Bucket. It holds at most capacity tokens, or the deposits of 8 queries if that is more.
func New(capacity float64, options ...Option) *Bucket {
	b := &Bucket{capacity: capacity, filledAt: time.Now()}
	for _, o := range options {
		o(b)
	}
	return b
}

// Deposit adds share tokens for each of the n first attempts of a query, up to the capacity.
func (b *Bucket) Deposit(n int, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	deposit := share * float64(n)
	b.tokens = max(b.tokens, min(max(b.capacity, burstQueries*deposit), b.tokens+deposit))
}

// Spend removes one token and reports whether there was one.
func (b *Bucket) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the number of tokens in the bucket.
func (b *Bucket) Tokens() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	return b.tokens
}

// refill adds the tokens of the fixed rate since the last refill.
func (b *Bucket) refill() {
	if b.rate == 0 {
		return
	}
	now := time.Now()
	added := b.rate * now.Sub(b.filledAt).Seconds()
	b.tokens = max(b.tokens, min(b.capacity, b.tokens+added))
	b.filledAt = now
}
