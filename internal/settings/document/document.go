// Package document decodes JSON with comments. It rejects unknown and duplicate keys and reports the line of an error.
// Settings files and the values of a configuration are decoded with it.
package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"regexp"
	"strings"

	"github.com/tailscale/hujson"
)

// Document is one JSON document with comments, converted to standard JSON with the same line numbers.
type Document struct {
	file string
	text []byte
}

// Error reports where a document is invalid and why.
type Error struct {
	File   string
	Line   int
	Key    string
	Reason string
}

// Error returns file, line, key and reason on one line.
func (e *Error) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Reason)
}

// Read reads a document from a file. Errors are of type *Error.
func Read(file string) (Document, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Document{}, &Error{File: file, Line: 1, Reason: reasonOf(err)}
	}
	return New(file, text)
}

// New returns the document with the given text; file is used only in error messages. It rejects duplicate keys and
// text after the document. Errors are of type *Error.
func New(file string, text []byte) (Document, error) {
	standard, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return Document{}, &Error{File: file, Line: lineInMessage(err.Error()), Reason: strings.TrimPrefix(err.Error(), "hujson: ")}
	}
	d := Document{file: file, text: standard}
	return d, d.checkStructure()
}

// Decode decodes the document into v and rejects unknown keys and wrong types. Errors are of type *Error.
func (d Document) Decode(v any) error {
	dec := json.NewDecoder(bytes.NewReader(d.text))
	dec.DisallowUnknownFields()
	err := dec.Decode(v)
	if err == nil {
		return nil
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		reason := fmt.Sprintf("is a %s, want %s", typeErr.Value, typeErr.Type)
		return &Error{File: d.file, Line: d.lineAt(int(typeErr.Offset)), Key: typeErr.Field, Reason: reason}
	}
	if key, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return d.KeyError(strings.Trim(key, `"`), "is not a known key")
	}
	return &Error{File: d.file, Line: 1, Reason: err.Error()}
}

// HasKey reports whether the document is an object with the given top-level key.
func (d Document) HasKey(key string) bool {
	var top map[string]json.RawMessage
	if json.Unmarshal(d.text, &top) != nil {
		return false
	}
	_, ok := top[key]
	return ok
}

// KeyError returns an *Error for a key of the document, with the line of the key's first occurrence.
func (d Document) KeyError(key, reason string) error {
	last := key[strings.LastIndexByte(key, '.')+1:]
	loc := regexp.MustCompile(`"` + regexp.QuoteMeta(last) + `"\s*:`).FindIndex(d.text)
	line := 1
	if loc != nil {
		line = d.lineAt(loc[0])
	}
	return &Error{File: d.file, Line: line, Key: key, Reason: reason}
}

// checkStructure rejects duplicate keys within one object, which encoding/json accepts, and text after the document.
func (d Document) checkStructure() error {
	dec := json.NewDecoder(bytes.NewReader(d.text))
	if err := d.checkValue(dec); err != nil {
		return err
	}
	if dec.More() {
		return &Error{File: d.file, Line: d.lineAt(int(dec.InputOffset())), Reason: "unexpected text after the document"}
	}
	return nil
}

func (d Document) checkValue(dec *json.Decoder) error {
	token, err := dec.Token()
	if err != nil {
		return &Error{File: d.file, Line: d.lineAt(int(dec.InputOffset())), Reason: err.Error()}
	}
	delim, ok := token.(json.Delim)
	if !ok {
		return nil
	}
	seen := make(map[string]bool)
	for dec.More() {
		if delim == '{' {
			if err := d.checkKey(dec, seen); err != nil {
				return err
			}
		}
		if err := d.checkValue(dec); err != nil {
			return err
		}
	}
	_, err = dec.Token()
	return err
}

func (d Document) checkKey(dec *json.Decoder, seen map[string]bool) error {
	token, err := dec.Token()
	if err != nil {
		return &Error{File: d.file, Line: d.lineAt(int(dec.InputOffset())), Reason: err.Error()}
	}
	key, _ := token.(string)
	if seen[key] {
		return &Error{File: d.file, Line: d.lineAt(int(dec.InputOffset())), Key: key, Reason: "is a duplicate key"}
	}
	seen[key] = true
	return nil
}

func (d Document) lineAt(offset int) int {
	offset = min(max(offset, 0), len(d.text))
	return 1 + bytes.Count(d.text[:offset], []byte{'\n'})
}

// lineInMessage returns the line number that a message of the JSON parser mentions, or 1.
func lineInMessage(message string) int {
	line := 1
	if i := strings.Index(message, "line "); i >= 0 {
		_, _ = fmt.Sscanf(message[i:], "line %d", &line)
	}
	return line
}

func reasonOf(err error) string {
	var pathErr *os.PathError
	if errors.As(err, &pathErr) {
		return pathErr.Err.Error()
	}
	return err.Error()
}
