// Package manifest defines the message that lists the values of one revision of the configuration, or the changes to an
// earlier one. Instances read it from the platform and from each other.
package manifest

import (
	"fmt"
	"time"

	"crocuswing/internal/wire/patch"

	"github.com/cespare/xxhash/v2"
)

// Manifest lists the values of one revision with their content hashes: all values, or those that changed since
// BaseRevision.
type Manifest struct {
	// BaseRevision is the revision that the changes apply to; 0 means that the manifest is complete.
	BaseRevision uint64 `json:"from" msgpack:"f,omitempty"`
	Revision     uint64 `json:"revision" msgpack:"r"`
	// Digest is the digest of all values of the revision, as formatted by Digest.String.
	Digest  string   `json:"digest" msgpack:"d"`
	Entries []Entry  `json:"entries" msgpack:"e,omitempty"`
	Removed []string `json:"removed,omitempty" msgpack:"x,omitempty"`
	// HoldTime is the time for which the platform held the long-polling request before it replied.
	HoldTime time.Duration `json:"-" msgpack:"-"`
}

// Entry is one value of the configuration. It may include the content, in full or as a patch.
type Entry struct {
	Name string `json:"name" msgpack:"n"`
	// Hash is the content hash, as returned by the function Hash.
	Hash  string       `json:"hash" msgpack:"h"`
	Value string       `json:"value,omitempty" msgpack:"v,omitempty"`
	Patch *patch.Patch `json:"patch,omitempty" msgpack:"p,omitempty"`
}

// IsComplete reports whether the manifest lists all values rather than changes.
func (m Manifest) IsComplete() bool { return m.BaseRevision == 0 }

// Hash returns the content hash of a value as 16 hexadecimal digits.
func Hash(value []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(value))
}

// Digest is the sum, modulo 2^64, of one hash for each name and content in a set, so that a change costs one subtraction
// and one addition. It detects accidental differences, not forgery.
//
// It follows the MSet-Add-Hash of Clarke, Devadas, van Dijk, Gassend and Suh, "Incremental Multiset
// Hash Functions and Their Application to Memory Integrity Checking", ASIACRYPT 2003.
type Digest uint64

// With returns the digest of the set with the given name and content hash added.
func (d Digest) With(name, hash string) Digest {
	return d + Digest(xxhash.Sum64String(name+"="+hash+"\n"))
}

// Without returns the digest of the set with the given name and content hash removed.
func (d Digest) Without(name, hash string) Digest {
	return d - Digest(xxhash.Sum64String(name+"="+hash+"\n"))
}

// String returns the digest as 16 hexadecimal digits.
func (d Digest) String() string { return fmt.Sprintf("%016x", uint64(d)) }
