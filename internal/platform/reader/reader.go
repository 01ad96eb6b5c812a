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

	"crocuswing/internal/wire/listing"
	"crocuswing/internal/wire/manifest"
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

// HashError tells that a value is not the one that the manifest names.
type HashError struct{ Want, Got string }

// Error gives both hashes.
func (e *HashError) Error() string { return fmt.Sprintf("value has hash %s, want %s", e.Got, e.Want) }

// New makes a reader for the platform at address, an IP literal and a port.
func New(address string) *Reader {
	return &Reader{base: "http://" + address, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
}

// Manifest waits until the revision is above after, for at most wait, and reports whether it is.
func (r *Reader) Manifest(ctx context.Context, after uint64, wait time.Duration) (manifest.Manifest, bool, error) {
	var m manifest.Manifest
	changed, err := r.watch(ctx, "/v1/config", after, wait, &m)
	return m, changed, err
}

// Listing waits until the list's version is above after, for at most wait, and reports whether it is.
func (r *Reader) Listing(ctx context.Context, after uint64, wait time.Duration) (listing.Listing, bool, error) {
	var l listing.Listing
	changed, err := r.watch(ctx, "/v1/members", after, wait, &l)
	return l, changed, err
}

// Value reads the value with the given hash. It fails with *HashError if the platform gives another.
func (r *Reader) Value(ctx context.Context, hash string) ([]byte, error) {
	text, status, err := r.get(ctx, "/v1/config/values/"+url.PathEscape(hash), maxValueBytes)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, &StatusError{Path: "values", Status: status}
	}
	if got := manifest.Hash(text); got != hash {
		return nil, &HashError{Want: hash, Got: got}
	}
	return text, nil
}

func (r *Reader) watch(ctx context.Context, path string, after uint64, wait time.Duration, v any) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+graceTime)
	defer cancel()
	query := url.Values{
		"after":   {strconv.FormatUint(after, 10)},
		"wait-ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	text, status, err := r.get(ctx, path+"?"+query.Encode(), maxListBytes)
	switch {
	case err != nil:
		return false, err
	case status == http.StatusNoContent:
		return false, nil
	case status != http.StatusOK:
		return false, &StatusError{Path: path, Status: status}
	}
	return true, json.Unmarshal(text, v)
}

func (r *Reader) get(ctx context.Context, path string, most int64) ([]byte, int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.base+path, nil)
	if err != nil {
		return nil, 0, err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, most))
	return text, resp.StatusCode, err
}
