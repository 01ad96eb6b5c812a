// Package share divides a limit that all instances keep together into whole units for each of them.
//
// The catalog of upstreams asks it how much of the rate of a cold upstream this instance may use. Where the limit is below the number of
// instances (thin traffic: 35 requests per second and 300 instances), rounding down would leave all of it unused. Each resource gives the
// units that cannot be divided evenly to other instances, in the order of a ring of hashes. Instances with the same members agree on the
// shares without messages, and the shares add up to the limit; an instance that the others do not know adds its own share.
package share

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Division divides limits among the instances of a fleet. It is immutable. A nil Division, for a fleet that is not known, gives no shares.
type Division struct {
	ring []uint64 // hashes of the names of all instances, in order
	self int      // position of this instance in ring
}

// New returns the division among the instance self and the others.
func New(self string, others []string) *Division {
	hash := xxhash.Sum64String(self)
	ring := make([]uint64, 0, len(others)+1)
	ring = append(ring, hash)
	for _, name := range others {
		ring = append(ring, xxhash.Sum64String(name))
	}
	slices.Sort(ring)
	position, _ := slices.BinarySearch(ring, hash)
	return &Division{ring: ring, self: position}
}

// Instances returns the number of instances, and 0 if it is not known.
func (d *Division) Instances() int {
	if d == nil {
		return 0
	}
	return len(d.ring)
}

// Of returns the units of limit that this instance may use of the named resource. The search takes O(log n) time.
func (d *Division) Of(limit int, resource string) int {
	if d == nil || limit <= 0 {
		return 0
	}
	n := len(d.ring)
	first, _ := slices.BinarySearch(d.ring, xxhash.Sum64String(resource))
	units := limit / n
	if (d.self-first+n)%n < limit%n {
		units++
	}
	return units
}
