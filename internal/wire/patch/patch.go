// Package patch holds the difference between two versions of one value.
package patch

import (
	"fmt"
	"unicode/utf8"
)

// Patch makes the new version from the old one: it keeps the first Prefix and the last Suffix bytes
// and puts Middle between them. Both cuts lie between UTF-8 characters.
type Patch struct {
	// Base is the content hash of the old version.
	Base   string `json:"base" msgpack:"b"`
	Prefix int    `json:"prefix" msgpack:"p"`
	Suffix int    `json:"suffix" msgpack:"s"`
	Middle string `json:"middle" msgpack:"m"`
}

// Error tells that a patch does not fit its base.
type Error struct{ Prefix, Suffix, Length int }

// Error gives the bytes that the patch keeps and those of its base.
func (e *Error) Error() string {
	return fmt.Sprintf("patch keeps %d and %d bytes of a base of %d", e.Prefix, e.Suffix, e.Length)
}

// New makes the patch from before, whose content hash is base, to after.
func New(base string, before, after []byte) Patch {
	most := min(len(before), len(after))
	prefix := 0
	for prefix < most && before[prefix] == after[prefix] {
		prefix++
	}
	for prefix > 0 && !isCut(before, prefix) || !isCut(after, prefix) {
		prefix--
	}
	suffix := 0
	for suffix < most-prefix && before[len(before)-1-suffix] == after[len(after)-1-suffix] {
		suffix++
	}
	for suffix > 0 && !isCut(after, len(after)-suffix) {
		suffix--
	}
	return Patch{Base: base, Prefix: prefix, Suffix: suffix, Middle: string(after[prefix : len(after)-suffix])}
}

// Apply gives the new version. It fails with *Error if before is too short.
func (p Patch) Apply(before []byte) ([]byte, error) {
	if p.Prefix < 0 || p.Suffix < 0 || p.Prefix > len(before) || p.Suffix > len(before)-p.Prefix {
		return nil, &Error{Prefix: p.Prefix, Suffix: p.Suffix, Length: len(before)}
	}
	after := make([]byte, 0, p.Prefix+len(p.Middle)+p.Suffix)
	after = append(after, before[:p.Prefix]...)
	after = append(after, p.Middle...)
	return append(after, before[len(before)-p.Suffix:]...), nil
}

// isCut tells whether text may be cut before the byte at.
func isCut(text []byte, at int) bool {
	return at == 0 || at >= len(text) || utf8.RuneStart(text[at])
}
