// Package patch computes and applies the difference between two versions of a configuration value, so that a small change
// of a large value takes few bytes on the wire.
package patch

import (
	"fmt"
	"unicode/utf8"
)

// Patch turns the old version of a value into the new one. It keeps the first Prefix and the last Suffix bytes and puts
// Middle between them. Both cuts are on UTF-8 character boundaries.
type Patch struct {
	// Base is the content hash of the old version.
	Base   string `json:"base" msgpack:"b"`
	Prefix int    `json:"prefix" msgpack:"p"`
	Suffix int    `json:"suffix" msgpack:"s"`
	Middle string `json:"middle" msgpack:"m"`
}

// Error means that a patch does not fit the length of its base.
type Error struct{ Prefix, Suffix, Length int }

func (e *Error) Error() string {
	return fmt.Sprintf("patch keeps a prefix of %d and a suffix of %d bytes of a base of %d bytes", e.Prefix, e.Suffix, e.Length)
}

// New returns the patch from before, whose content hash is base, to after.
func New(base string, before, after []byte) Patch {
	shorter := min(len(before), len(after))
	prefix := 0
	for prefix < shorter && before[prefix] == after[prefix] {
		prefix++
	}
	for prefix > 0 && !isRuneBoundary(before, prefix) || !isRuneBoundary(after, prefix) {
		prefix--
	}
	suffix := 0
	for suffix < shorter-prefix && before[len(before)-1-suffix] == after[len(after)-1-suffix] {
		suffix++
	}
	for suffix > 0 && !isRuneBoundary(after, len(after)-suffix) {
		suffix--
	}
	return Patch{Base: base, Prefix: prefix, Suffix: suffix, Middle: string(after[prefix : len(after)-suffix])}
}

// Apply returns the new version of before. It returns *Error if before is too short.
func (p Patch) Apply(before []byte) ([]byte, error) {
	if p.Prefix < 0 || p.Suffix < 0 || p.Prefix > len(before) || p.Suffix > len(before)-p.Prefix {
		return nil, &Error{Prefix: p.Prefix, Suffix: p.Suffix, Length: len(before)}
	}
	after := make([]byte, 0, p.Prefix+len(p.Middle)+p.Suffix)
	after = append(after, before[:p.Prefix]...)
	after = append(after, p.Middle...)
	return append(after, before[len(before)-p.Suffix:]...), nil
}

// isRuneBoundary reports whether a UTF-8 character of text starts or text ends at byte at.
func isRuneBoundary(text []byte, at int) bool {
	return at == 0 || at >= len(text) || utf8.RuneStart(text[at])
}
