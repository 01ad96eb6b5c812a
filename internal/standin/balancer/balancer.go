// Package balancer is a stand-in for the platform's balancer in front of the instances.
package balancer

import (
	"sync"
)

// Balancer hands out the addresses of instances in turn. It is safe for concurrent use.
type Balancer struct {
	mu        sync.Mutex
	addresses []string
	next      int
}

// New makes a balancer over the given addresses.
func New(addresses ...string) *Balancer { return &Balancer{addresses: addresses} }

// Set replaces the addresses.
func (b *Balancer) Set(addresses ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addresses = addresses
}

// Pick gives the next address.
func (b *Balancer) Pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	return b.addresses[b.next%len(b.addresses)]
}
