// Package manifest holds the list of values that make up one revision of the configuration.
package manifest

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Manifest names each value of one revision with the hash of its content.
type Manifest struct {
	Revision uint64  `json:"revision" msgpack:"r"`
	Entries  []Entry `json:"entries" msgpack:"e"`
}

// Entry is one value of the configuration.
type Entry struct {
	Name string `json:"name" msgpack:"n"`
	// Hash is that of the content, as Hash gives it.
	Hash string `json:"hash" msgpack:"h"`
}

// Hash gives the content hash of a value in 16 hexadecimal digits.
func Hash(value []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(value))
}
