// Package identifier keeps the identifiers of the requests that a connection to an upstream has carried.
//
// A faulty upstream may send a second copy of a response, late, where the response to a later request on the same connection is due. Only
// the identifier tells such a copy apart, so a connection must not carry two requests with the same one: neither a second attempt of a
// request nor another request whose caller chose the same identifier. Package pool looks up the history of a connection before it hands
// the connection out.
package identifier

import "github.com/cespare/xxhash/v2"

// Depth is the number of requests that a History holds. A late copy comes with the response to the next request; the margin is for upstreams
// that hold copies back for longer.
const Depth = 128

// History holds the identifiers of the last Depth requests on one connection. The zero value is empty. It is not safe for concurrent use.
type History struct {
	hashes []uint64 // a ring once it holds Depth
	next   int      // index of the oldest hash in the ring
}

// Add adds the identifier of a request. Once the history is full, it replaces the oldest one.
func (h *History) Add(id string) {
	hash := xxhash.Sum64String(id)
	if len(h.hashes) < Depth {
		h.hashes = append(h.hashes, hash)
		return
	}
	h.hashes[h.next] = hash
	h.next = (h.next + 1) % Depth
}

// Has reports whether the history holds the identifier. It may also do so for another identifier with the same hash.
func (h *History) Has(id string) bool {
	hash := xxhash.Sum64String(id)
	for _, known := range h.hashes {
		if known == hash {
			return true
		}
	}
	return false
}
