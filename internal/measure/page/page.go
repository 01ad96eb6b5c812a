// Package page rewrites the generated part of a Markdown page.
package page

import (
	"bytes"
	"fmt"
	"os"
)

const (
	begin = "<!-- generated: begin -->"
	end   = "<!-- generated: end -->"
	mode  = 0o644
)

// Page is a Markdown file with one generated part between two marks.
type Page struct{ file string }

// MarkerError tells that a page lacks the marks around its generated part.
type MarkerError struct{ File string }

// Error names the file.
func (e *MarkerError) Error() string {
	return fmt.Sprintf("%s: the marks %q and %q are missing", e.File, begin, end)
}

// New names the file; it is read when it is rewritten.
func New(file string) Page { return Page{file: file} }

// Rewrite replaces the generated part. It fails with *MarkerError if there is none.
func (p Page) Rewrite(text []byte) error {
	old, err := os.ReadFile(p.file)
	if err != nil {
		return err
	}
	head, rest, ok := bytes.Cut(old, []byte(begin))
	if !ok {
		return &MarkerError{File: p.file}
	}
	_, tail, ok := bytes.Cut(rest, []byte(end))
	if !ok {
		return &MarkerError{File: p.file}
	}
	whole := bytes.Join([][]byte{head, []byte(begin), []byte("\n\n"), text, []byte("\n"), []byte(end), tail}, nil)
	return os.WriteFile(p.file, whole, mode)
}
