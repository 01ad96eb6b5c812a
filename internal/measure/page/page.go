// Package page replaces the generated section of a Markdown page.
package page

import (
	"bytes"
	"fmt"
	"os"
)

const (
	beginMarker = "<!-- generated: begin -->"
	endMarker   = "<!-- generated: end -->"
	fileMode    = 0o644
)

// Page is a Markdown file with one generated section between two markers.
type Page struct{ file string }

// MarkerError reports that a page lacks the markers around its generated section.
type MarkerError struct{ File string }

// Error returns the file and the missing markers.
func (e *MarkerError) Error() string {
	return fmt.Sprintf("%s: the markers %q and %q are missing", e.File, beginMarker, endMarker)
}

// New returns the page in the given file. The file is read only by Rewrite.
func New(file string) Page { return Page{file: file} }

// Rewrite replaces the generated section with text. It returns a *MarkerError if the markers are missing.
func (p Page) Rewrite(text []byte) error {
	old, err := os.ReadFile(p.file)
	if err != nil {
		return err
	}
	head, rest, ok := bytes.Cut(old, []byte(beginMarker))
	if !ok {
		return &MarkerError{File: p.file}
	}
	_, tail, ok := bytes.Cut(rest, []byte(endMarker))
	if !ok {
		return &MarkerError{File: p.file}
	}
	content := bytes.Join([][]byte{head, []byte(beginMarker), []byte("\n\n"), text, []byte("\n"), []byte(endMarker), tail}, nil)
	return os.WriteFile(p.file, content, fileMode)
}
