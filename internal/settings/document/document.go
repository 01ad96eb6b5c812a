// Package document decodes JSON with comments strictly and reports where a fault lies.
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

// Document is the text of one JSON document with comments.
type Document struct {
	file string
	text []byte
}

// Error tells where a document is wrong and why.
type Error struct {
	File   string
	Line   int
	Key    string
	Reason string
}

// Error gives file, line, key and reason on one line.
func (e *Error) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Reason)
}

// Read loads a document from a file. It fails with *Error.
func Read(file string) (Document, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Document{}, &Error{File: file, Line: 1, Reason: reasonOf(err)}
	}
	return New(file, text)
}

// New makes a document from text; file serves only in messages. It fails with *Error.
func New(file string, text []byte) (Document, error) {
	standard, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return Document{}, &Error{File: file, Line: lineInMessage(err.Error()), Reason: strings.TrimPrefix(err.Error(), "hujson: ")}
	}
	d := Document{file: file, text: standard}
	return d, d.checkKeys()
}

// Decode fills v and refuses unknown keys, wrong types and trailing text. It fails with *Error.
func (d Document) Decode(v any) error {
	dec := json.NewDecoder(bytes.NewReader(d.text))
	dec.DisallowUnknownFields()
	err := dec.Decode(v)
	if err == nil {
		return nil
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		reason := fmt.Sprintf("is a %s, want %s", wrongType.Value, wrongType.Type)
		return &Error{File: d.file, Line: d.lineAt(int(wrongType.Offset)), Key: wrongType.Field, Reason: reason}
	}
	if key, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return d.KeyError(strings.Trim(key, `"`), "is not a known key")
	}
	return &Error{File: d.file, Line: 1, Reason: err.Error()}
}

// HasKey tells whether the document is an object with the given key.
func (d Document) HasKey(key string) bool {
	var top map[string]json.RawMessage
	if json.Unmarshal(d.text, &top) != nil {
		return false
	}
	_, ok := top[key]
	return ok
}

// KeyError makes the error for a key of the document; the line is that of the key's first use.
func (d Document) KeyError(key, reason string) error {
	last := key[strings.LastIndexByte(key, '.')+1:]
	at := regexp.MustCompile(`"` + regexp.QuoteMeta(last) + `"\s*:`).FindIndex(d.text)
	line := 1
	if at != nil {
		line = d.lineAt(at[0])
	}
	return &Error{File: d.file, Line: line, Key: key, Reason: reason}
}

// checkKeys refuses a key that stands twice in one object.
func (d Document) checkKeys() error {
	dec := json.NewDecoder(bytes.NewReader(d.text))
	if err := d.checkValue(dec); err != nil {
		return err
	}
	if dec.More() {
		return &Error{File: d.file, Line: d.lineAt(int(dec.InputOffset())), Reason: "text after the document"}
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
		return &Error{File: d.file, Line: d.lineAt(int(dec.InputOffset())), Key: key, Reason: "stands twice"}
	}
	seen[key] = true
	return nil
}

func (d Document) lineAt(offset int) int {
	offset = min(max(offset, 0), len(d.text))
	return 1 + bytes.Count(d.text[:offset], []byte{'\n'})
}

func lineInMessage(message string) int {
	line := 1
	if at := strings.Index(message, "line "); at >= 0 {
		_, _ = fmt.Sscanf(message[at:], "line %d", &line)
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
