// Package balancer is a stand-in for the platform's balancer in front of the instances.
package balancer

import (
	"slices"
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

// Add adds an address.
func (b *Balancer) Add(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addresses = append(b.addresses, address)
}

// Remove takes an address away.
func (b *Balancer) Remove(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addresses = slices.DeleteFunc(b.addresses, func(a string) bool { return a == address })
}

// Pick gives the next address, or "" if there is none.
func (b *Balancer) Pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.addresses) == 0 {
		return ""
	}
	b.next++
	return b.addresses[b.next%len(b.addresses)]
}
