// Package home ranks the instances for each upstream by rendezvous hashing.
//
// Rendezvous hashing was published by Thaler and Ravishankar, "Using name-based mappings to
// increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
package home

import "github.com/cespare/xxhash/v2"

// First gives the instance that ranks first for the upstream, and false if there are none.
// All instances with the same list agree; a change of the list moves only what it must.
func First(upstream string, instances []string) (string, bool) {
	best := ""
	var highest uint64
	for _, name := range instances {
		score := xxhash.Sum64String(name + "\x00" + upstream)
		if best == "" || score > highest || (score == highest && name < best) {
			best, highest = name, score
		}
	}
	return best, best != ""
}
