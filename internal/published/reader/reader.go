// Package reader is the HTTP client of the platform's control endpoint. It watches the manifest of the configuration and the list
// of members by long polling and reads single configuration values by their hash.
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

// Headers of the platform's responses.
const (
	// HeaderNumber is the newest revision of the configuration, or version of the list, that the answering copy of the platform has.
	HeaderNumber = "Platform-Number"
	// HeaderDigest is the digest of that revision or version.
	HeaderDigest = "Platform-Digest"
	// HeaderHeldMS is the time for which the platform held the request, in milliseconds, rounded down.
	HeaderHeldMS = "Platform-Held-Ms"
)

const (
	maxValueBytes = 1 << 20
	maxListBytes  = 64 << 20
	watchMargin   = 2 * time.Second // a watch times out this long after its wait has ended
)

// Reader reads from one platform endpoint. It is safe for concurrent use.
type Reader struct {
	baseURL string
	client  *http.Client
}

// StatusError reports a response without a result: its status is neither 200 nor, for a watch, 204.
type StatusError struct {
	Path   string
	Status int
}

// Error implements the error interface.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform answered %d to %s", e.Status, e.Path)
}

// NumberError reports that the header and the body of a response name different revisions or versions.
type NumberError struct {
	Path         string
	Header, Body uint64
}

// Error implements the error interface.
func (e *NumberError) Error() string {
	return fmt.Sprintf("platform answered %s with number %d in the header and %d in the body", e.Path, e.Header, e.Body)
}

// HeaderError reports that a required response header is missing or malformed.
type HeaderError struct{ Path, Header, Value string }

// Error implements the error interface.
func (e *HeaderError) Error() string {
	return fmt.Sprintf("platform answered %s with missing or malformed header %s: %q", e.Path, e.Header, e.Value)
}

// LengthError reports a response body that is longer than the contract allows.
type LengthError struct {
	Path  string
	Limit int64 // bytes
}

// Error implements the error interface.
func (e *LengthError) Error() string {
	return fmt.Sprintf("platform answered %s with more than %d bytes", e.Path, e.Limit)
}

// HashError reports that the content of a value does not have the requested hash.
type HashError struct{ Want, Got string }

// Error implements the error interface.
func (e *HashError) Error() string { return fmt.Sprintf("value has hash %s, want %s", e.Got, e.Want) }

// New returns a reader for the platform at address, an IP literal and a port.
func New(address string) *Reader {
	return &Reader{baseURL: "http://" + address, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
}

// Manifest waits up to wait for a configuration revision above after and reports whether there is one. If there is none, the
// manifest holds only the platform's revision and digest.
func (r *Reader) Manifest(ctx context.Context, after uint64, wait time.Duration) (manifest.Manifest, bool, error) {
	var m manifest.Manifest
	info, err := r.watch(ctx, "/v1/config", after, wait, &m)
	if err == nil && !info.changed {
		m = manifest.Manifest{BaseRevision: after, Revision: info.number, Digest: info.digest}
	}
	if err == nil && info.changed && m.Revision != info.number {
		err = &NumberError{Path: "/v1/config", Header: info.number, Body: m.Revision}
	}
	m.HoldTime = info.held
	return m, info.changed, err
}

// MemberList waits up to wait for a version of the list above after and reports whether there is one. If there is none, the list
// holds only the platform's version and digest.
func (r *Reader) MemberList(ctx context.Context, after uint64, wait time.Duration) (memberlist.List, bool, error) {
	var l memberlist.List
	info, err := r.watch(ctx, "/v1/members", after, wait, &l)
	if err == nil && !info.changed {
		l = memberlist.List{BaseVersion: after, Version: info.number, Digest: info.digest}
	}
	if err == nil && info.changed && l.Version != info.number {
		err = &NumberError{Path: "/v1/members", Header: info.number, Body: l.Version}
	}
	l.HoldTime = info.held
	return l, info.changed, err
}

// Value reads the value with the given hash. It returns *HashError if the content has another hash.
func (r *Reader) Value(ctx context.Context, hash string) ([]byte, error) {
	resp, err := r.get(ctx, "/v1/config/values/"+url.PathEscape(hash), maxValueBytes)
	if err != nil {
		return nil, err
	}
	if resp.status != http.StatusOK {
		return nil, &StatusError{Path: "/v1/config/values/" + hash, Status: resp.status}
	}
	if got := manifest.Hash(resp.body); got != hash {
		return nil, &HashError{Want: hash, Got: got}
	}
	return resp.body, nil
}

// responseInfo holds what the status and the headers of a response to a watch report.
type responseInfo struct {
	changed bool
	number  uint64 // revision or version
	digest  string
	held    time.Duration
}

// watch waits up to wait for a number above after. If there is one, it decodes the body of the response into v.
func (r *Reader) watch(ctx context.Context, path string, after uint64, wait time.Duration, v any) (responseInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	query := url.Values{
		"after":   {strconv.FormatUint(after, 10)},
		"wait-ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	start := time.Now()
	resp, err := r.get(ctx, path+"?"+query.Encode(), maxListBytes)
	if err != nil {
		return responseInfo{}, err
	}
	if resp.status != http.StatusNoContent && resp.status != http.StatusOK {
		return responseInfo{}, &StatusError{Path: path, Status: resp.status}
	}
	info, err := parseHeader(path, resp.header)
	if err != nil {
		return responseInfo{}, err
	}
	info.held = min(info.held, time.Since(start))
	info.changed = resp.status == http.StatusOK
	if !info.changed {
		return info, nil
	}
	return info, json.Unmarshal(resp.body, v)
}

func parseHeader(path string, h http.Header) (responseInfo, error) {
	number, err := strconv.ParseUint(h.Get(HeaderNumber), 10, 64)
	if err != nil {
		return responseInfo{}, &HeaderError{Path: path, Header: HeaderNumber, Value: h.Get(HeaderNumber)}
	}
	held, err := strconv.ParseInt(h.Get(HeaderHeldMS), 10, 32)
	if err != nil || held < 0 {
		return responseInfo{}, &HeaderError{Path: path, Header: HeaderHeldMS, Value: h.Get(HeaderHeldMS)}
	}
	return responseInfo{number: number, digest: h.Get(HeaderDigest), held: time.Duration(held) * time.Millisecond}, nil
}

// response is a response of the platform with its complete body.
type response struct {
	status int
	header http.Header
	body   []byte
}

func (r *Reader) get(ctx context.Context, path string, limit int64) (response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.baseURL+path, nil)
	if err != nil {
		return response{}, err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = &LengthError{Path: path, Limit: limit}
	}
	return response{status: resp.StatusCode, header: resp.Header, body: body}, err
}
