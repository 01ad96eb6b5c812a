// Package reader reads and watches what the platform publishes.
package reader

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"crocuswing/internal/wire/manifest"
	"crocuswing/internal/wire/memberlist"
)

// Headers of the platform's answers.
const (
	// HeaderNumber is the newest revision of the configuration or version of the list that the copy has.
	HeaderNumber = "Platform-Number"
	// HeaderDigest is the digest of that revision or version.
	HeaderDigest = "Platform-Digest"
	// HeaderHeldMS is the time for which the request was held, in whole milliseconds, rounded down.
	HeaderHeldMS = "Platform-Held-Ms"
)

const (
	maxValueBytes = 1 << 20
	maxListBytes  = 64 << 20
	graceTime     = 2 * time.Second // added to the wait of a watch before it is given up
)

// Reader reads one platform endpoint. It is safe for concurrent use.
type Reader struct {
	base   string
	client *http.Client
}

// StatusError tells that the platform answered with a status that the contract does not name.
type StatusError struct {
	Path   string
	Status int
}

// Error gives path and status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform answered %d to %s", e.Status, e.Path)
}

// NumberError tells that header and body of one answer differ.
type NumberError struct {
	Path         string
	Header, Body uint64
}

// Error gives path and numbers.
func (e *NumberError) Error() string {
	return fmt.Sprintf("platform answered %s with number %d in the header and %d in the body", e.Path, e.Header, e.Body)
}

// HeaderError tells that a header of the contract is missing or malformed.
type HeaderError struct{ Path, Header, Value string }

// Error gives path, header and value.
func (e *HeaderError) Error() string {
	return fmt.Sprintf("platform answered %s with %s: %q", e.Path, e.Header, e.Value)
}

// LengthError tells that an answer is longer than the contract allows.
type LengthError struct {
	Path  string
	Limit int64 // bytes
}

// Error gives path and limit.
func (e *LengthError) Error() string {
	return fmt.Sprintf("platform answered %s with more than %d bytes", e.Path, e.Limit)
}

// HashError tells that a value is not the one that the manifest names.
type HashError struct{ Want, Got string }

// Error gives both hashes.
func (e *HashError) Error() string { return fmt.Sprintf("value has hash %s, want %s", e.Got, e.Want) }

// New makes a reader for the platform at address, an IP literal and a port.
func New(address string) *Reader {
	return &Reader{base: "http://" + address, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
}

// Manifest waits until the revision is above after, for at most wait, and reports
// whether it is. If not, it gives the platform's revision and digest alone.
func (r *Reader) Manifest(ctx context.Context, after uint64, wait time.Duration) (manifest.Manifest, bool, error) {
	var m manifest.Manifest
	s, err := r.watch(ctx, "/v1/config", after, wait, &m)
	if err == nil && !s.changed {
		m = manifest.Manifest{BaseRevision: after, Revision: s.number, Digest: s.digest}
	}
	if err == nil && s.changed && m.Revision != s.number {
		err = &NumberError{Path: "/v1/config", Header: s.number, Body: m.Revision}
	}
	m.HoldTime = s.held
	return m, s.changed, err
}

// MemberList waits until the list's version is above after, for at most wait, and reports whether it is.
// If not, it gives the platform's version and digest alone.
func (r *Reader) MemberList(ctx context.Context, after uint64, wait time.Duration) (memberlist.List, bool, error) {
	var l memberlist.List
	s, err := r.watch(ctx, "/v1/members", after, wait, &l)
	if err == nil && !s.changed {
		l = memberlist.List{BaseVersion: after, Version: s.number, Digest: s.digest}
	}
	if err == nil && s.changed && l.Version != s.number {
		err = &NumberError{Path: "/v1/members", Header: s.number, Body: l.Version}
	}
	l.HoldTime = s.held
	return l, s.changed, err
}

// Value reads the value with the given hash. It fails with *HashError if the platform gives another.
func (r *Reader) Value(ctx context.Context, hash string) ([]byte, error) {
	a, err := r.get(ctx, "/v1/config/values/"+url.PathEscape(hash), maxValueBytes)
	if err != nil {
		return nil, err
	}
	if a.status != http.StatusOK {
		return nil, &StatusError{Path: "/v1/config/values/" + hash, Status: a.status}
	}
	if got := manifest.Hash(a.text); got != hash {
		return nil, &HashError{Want: hash, Got: got}
	}
	return a.text, nil
}

// stand is what the headers of an answer tell.
type stand struct {
	changed bool
	number  uint64
	digest  string
	held    time.Duration
}

func (r *Reader) watch(ctx context.Context, path string, after uint64, wait time.Duration, v any) (stand, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+graceTime)
	defer cancel()
	query := url.Values{
		"after":   {strconv.FormatUint(after, 10)},
		"wait-ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	asked := time.Now()
	a, err := r.get(ctx, path+"?"+query.Encode(), maxListBytes)
	if err != nil {
		return stand{}, err
	}
	if a.status != http.StatusNoContent && a.status != http.StatusOK {
		return stand{}, &StatusError{Path: path, Status: a.status}
	}
	s, err := standOf(path, a.header)
	if err != nil {
		return stand{}, err
	}
	s.held = min(s.held, time.Since(asked))
	s.changed = a.status == http.StatusOK
	if !s.changed {
		return s, nil
	}
	return s, json.Unmarshal(a.text, v)
}

func standOf(path string, h http.Header) (stand, error) {
	number, err := strconv.ParseUint(h.Get(HeaderNumber), 10, 64)
	if err != nil {
		return stand{}, &HeaderError{Path: path, Header: HeaderNumber, Value: h.Get(HeaderNumber)}
	}
	held, err := strconv.ParseInt(h.Get(HeaderHeldMS), 10, 32)
	if err != nil || held < 0 {
		return stand{}, &HeaderError{Path: path, Header: HeaderHeldMS, Value: h.Get(HeaderHeldMS)}
	}
	return stand{number: number, digest: h.Get(HeaderDigest), held: time.Duration(held) * time.Millisecond}, nil
}

// answer is one answer of the platform, read whole.
type answer struct {
	status int
	header http.Header
	text   []byte
}

func (r *Reader) get(ctx context.Context, path string, most int64) (answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.base+path, nil)
	if err != nil {
		return answer{}, err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, most+1))
	if err == nil && int64(len(text)) > most {
		err = &LengthError{Path: path, Limit: most}
	}
	return answer{status: resp.StatusCode, header: resp.Header, text: text}, err
}
