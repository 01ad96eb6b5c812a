// Package balancer simulates the platform's load balancer in front of the instances.
package balancer

import (
	"slices"
	"sync"
)

// Balancer selects instances in round-robin order. It is safe for concurrent use.
type Balancer struct {
	mu        sync.Mutex
	addresses []string
	next      int
}

// New returns a balancer over the given addresses.
func New(addresses ...string) *Balancer { return &Balancer{addresses: addresses} }

// Add adds the address of an instance.
func (b *Balancer) Add(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addresses = append(b.addresses, address)
}

// Remove removes the address of an instance.
func (b *Balancer) Remove(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addresses = slices.DeleteFunc(b.addresses, func(a string) bool { return a == address })
}

// Pick returns the next address, or "" if there is none.
func (b *Balancer) Pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.addresses) == 0 {
		return ""
	}
	b.next++
	return b.addresses[b.next%len(b.addresses)]
}
