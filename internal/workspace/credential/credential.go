// Package credential holds what a caller presented to identify its workspace. It keeps a hash of the key, never the key itself, so that
// no log line, error or message can contain it.
package credential

import (
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"strings"
)

// MaxKeyBytes is the length of the longest key. Longer ones are not hashed.
const MaxKeyBytes = 4096

const scheme = "bearer"

var errHash = errors.New("not the hash of a key")

// Hash identifies a key.
type Hash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) Hash { return sha256.Sum256([]byte(key)) }

// String returns a fixed text.
func (Hash) String() string { return "[redacted]" }

// GoString returns a fixed text.
func (Hash) GoString() string { return "[redacted]" }

// MarshalText encodes the hash for messages between instances.
func (h Hash) MarshalText() ([]byte, error) {
	return base64.RawURLEncoding.AppendEncode(nil, h[:]), nil
}

// UnmarshalText decodes what MarshalText returns.
func (h *Hash) UnmarshalText(text []byte) error {
	decoded, err := base64.RawURLEncoding.AppendDecode(nil, text)
	if err != nil || len(decoded) != len(h) {
		return errHash
	}
	copy(h[:], decoded)
	return nil
}

// Credential is the outcome of reading the field in which a caller presents its key. The zero value is that of a caller that presented
// nothing. It is immutable.
type Credential struct {
	hash   Hash
	defect string
	isKey  bool
}

// Parse returns the credential in the values of the Authorization fields of a request: exactly one of the form "Bearer KEY" (RFC 6750).
// The scheme may be in any case (RFC 9110, section 11.1).
func Parse(values []string) Credential {
	switch {
	case len(values) == 0:
		return Credential{}
	case len(values) > 1:
		return Credential{defect: "duplicated"}
	case len(values[0]) > MaxKeyBytes+len(scheme)+1:
		return Credential{defect: "too long"}
	}
	name, key, ok := strings.Cut(values[0], " ")
	if !ok || !strings.EqualFold(name, scheme) {
		return Credential{defect: "malformed"}
	}
	key = strings.Trim(key, " ")
	if !IsKey(key) {
		return Credential{defect: "malformed"}
	}
	return Credential{hash: HashKey(key), isKey: true}
}

// IsKey reports whether a text can be presented as a key: not empty, not too long, and without spaces and control characters.
func IsKey(text string) bool {
	if text == "" || len(text) > MaxKeyBytes {
		return false
	}
	for i := range len(text) {
		if text[i] <= ' ' || text[i] == 0x7f {
			return false
		}
	}
	return true
}

// Hash returns the hash of the presented key, and false if none was presented in a valid form.
func (c Credential) Hash() (Hash, bool) { return c.hash, c.isKey }

// String states the form of the credential without its content.
func (c Credential) String() string {
	switch {
	case c.isKey:
		return "present"
	case c.defect != "":
		return c.defect
	}
	return "missing"
}

// MarshalText returns the same as String.
func (c Credential) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// GoString returns the same as String.
func (c Credential) GoString() string { return c.String() }
