// Package manifest holds the list of values that make up one revision of the configuration.
package manifest

import (
	"fmt"
	"time"

	"crocuswing/internal/wire/patch"

	"github.com/cespare/xxhash/v2"
)

// Manifest names the values of one revision with the hash of their content: all of them,
// or those that changed since the revision BaseRevision.
type Manifest struct {
	// BaseRevision is the revision that the entries change; 0 means that they are all there are.
	BaseRevision uint64 `json:"from" msgpack:"f,omitempty"`
	Revision     uint64 `json:"revision" msgpack:"r"`
	// Digest is that of all values of the revision, as Digest gives it.
	Digest  string   `json:"digest" msgpack:"d"`
	Entries []Entry  `json:"entries" msgpack:"e,omitempty"`
	Removed []string `json:"removed,omitempty" msgpack:"x,omitempty"`
	// HoldTime is the time for which the platform held the request before it answered.
	HoldTime time.Duration `json:"-" msgpack:"-"`
}

// Entry is one value of the configuration. Its content may come along, whole or as a patch.
type Entry struct {
	Name string `json:"name" msgpack:"n"`
	// Hash is that of the content, as Hash gives it.
	Hash  string       `json:"hash" msgpack:"h"`
	Value string       `json:"value,omitempty" msgpack:"v,omitempty"`
	Patch *patch.Patch `json:"patch,omitempty" msgpack:"p,omitempty"`
}

// IsComplete tells whether the entries are all there are.
func (m Manifest) IsComplete() bool { return m.BaseRevision == 0 }

// Hash gives the content hash of a value in 16 hexadecimal digits.
func Hash(value []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(value))
}

// Digest is the sum of a hash for each name and content of a set, modulo 2^64. A change costs one
// subtraction and one addition. It detects faults, not forgery.
//
// It follows the MSet-Add-Hash of Clarke, Devadas, van Dijk, Gassend and Suh, "Incremental Multiset
// Hash Functions and Their Application to Memory Integrity Checking", ASIACRYPT 2003.
type Digest uint64

// With adds a name and its content hash.
func (d Digest) With(name, hash string) Digest {
	return d + Digest(xxhash.Sum64String(name+"="+hash+"\n"))
}

// Without takes off a name and its content hash.
func (d Digest) Without(name, hash string) Digest {
	return d - Digest(xxhash.Sum64String(name+"="+hash+"\n"))
}

// String gives 16 hexadecimal digits.
func (d Digest) String() string { return fmt.Sprintf("%016x", uint64(d)) }
