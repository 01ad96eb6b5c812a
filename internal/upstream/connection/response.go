package connection

import (
	"bufio"
	"io"
	"net/http"

	"crocuswing/internal/policy/limiter"
)

// smallBodyBytes is the size up to which the memory of a body does not count against the shared limit. Bodies grow in steps of at least
// this size as their data arrives, so that an announced length alone reserves no memory.
const smallBodyBytes = 64 << 10

const (
	initialBodyBytes = 512     // initial size of the buffer for a body that is large or whose length is not known
	bytesPerUnit     = 1 << 10 // of the limit on the memory of large bodies
)

// headReader limits the bytes that are read until the end of the headers.
type headReader struct {
	io.Reader
	isLimited bool
	remaining int
}

// Read reads from the underlying reader unless the limit is reached.
func (r *headReader) Read(p []byte) (int, error) {
	if r.isLimited && r.remaining <= 0 {
		return 0, &LimitError{Subject: "bytes of headers", Limit: MaxHeadBytes}
	}
	n, err := r.Reader.Read(p)
	r.remaining -= n
	return n, err
}

// readResponse reads the final response to req. It fails with *LimitError if a limit is exceeded.
func (c *Connection) readResponse(head *headReader, r *bufio.Reader, req *http.Request) result {
	resp, err := readHead(head, r, req)
	if err != nil {
		return result{err: err}
	}
	got := Response{Status: resp.StatusCode, Header: resp.Header, Close: resp.Close, Connection: c.number}
	body := bodyReader{memory: c.memory}
	got.Body, err = body.read(resp, req.Method)
	if err == nil {
		err = resp.Body.Close()
	}
	if err == nil && len(resp.Header)+len(resp.Trailer) > MaxHeaderFields {
		err = &LimitError{Subject: "header fields", Limit: MaxHeaderFields}
	}
	if err != nil {
		body.free()
		got.Body = nil
		return result{Response: got, err: err}
	}
	if body.units > 0 {
		got.free = body.free
	}
	return result{Response: got}
}

// readHead reads up to the end of the headers of the final response and skips the interim responses before it.
func readHead(head *headReader, r *bufio.Reader, req *http.Request) (*http.Response, error) {
	head.isLimited, head.remaining = true, MaxHeadBytes-r.Buffered()
	defer func() { head.isLimited = false }()
	for range MaxInterimResponses + 1 {
		if err := checkStatus(r); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(r, req)
		if err != nil {
			return nil, err
		}
		if len(resp.Header) > MaxHeaderFields {
			return nil, &LimitError{Subject: "header fields", Limit: MaxHeaderFields}
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if err := checkInterim(resp); err != nil {
			return nil, err
		}
	}
	return nil, &LimitError{Subject: "interim responses", Limit: MaxInterimResponses}
}

// bodyReader reads one body and holds the units that it takes from the shared limit.
type bodyReader struct {
	memory *limiter.Limiter
	units  int
}

// read returns the whole body.
func (b *bodyReader) read(resp *http.Response, method string) ([]byte, error) {
	switch {
	case method == http.MethodHead || resp.ContentLength == 0:
		return nil, nil
	case resp.ContentLength > MaxBodyBytes:
		return nil, &LimitError{Subject: "bytes of body", Limit: MaxBodyBytes}
	case resp.ContentLength > 0 && resp.ContentLength <= smallBodyBytes:
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	return b.readGrowing(resp.Body)
}

// readGrowing reads a body that is large, or whose length is not known.
func (b *bodyReader) readGrowing(r io.Reader) ([]byte, error) {
	body := make([]byte, 0, initialBodyBytes)
	for {
		if len(body) == cap(body) {
			size := min(2*cap(body), MaxBodyBytes+1) // the last byte shows that a body is too long
			if err := b.reserve(size); err != nil {
				return nil, err
			}
			grown := make([]byte, len(body), size)
			copy(grown, body)
			body = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > MaxBodyBytes:
			return nil, &LimitError{Subject: "bytes of body", Limit: MaxBodyBytes}
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// reserve takes the units for a buffer of the given size, or fails if the limit does not permit them. While a buffer is copied, both
// copies count.
func (b *bodyReader) reserve(size int) error {
	if size <= smallBodyBytes {
		return nil
	}
	units := (size + bytesPerUnit - 1) / bytesPerUnit
	if !b.memory.Acquire(units, 0) {
		return &LimitError{Subject: "bytes of all large bodies together", Limit: b.memory.Limit() * bytesPerUnit}
	}
	b.free()
	b.units = units
	return nil
}

// free returns the units.
func (b *bodyReader) free() {
	b.memory.Release(b.units)
	b.units = 0
}
