package connections

import (
	"errors"
	"io"
	"net/http"

	"crocuswing/internal/entry/budget"
	"crocuswing/internal/forward/request"
	"crocuswing/internal/routing/limits"
)

const (
	// wholeBodyBytes is the announced size up to which the memory of a body is taken at once. The memory of larger ones and of those whose
	// size is not announced grows as their data arrives.
	wholeBodyBytes = 16 << 10
	// firstBodyBytes is the first size of a buffer that grows.
	firstBodyBytes = 4 << 10
)

// RequestBytes returns the memory that one request within the limits may hold while its body is read, in a budget that leaves a fraction to
// other addresses. While the buffer of a body grows to its whole size, the former one of at least half that size is held too.
func RequestBytes(l limits.Limits) int64 {
	head := float64(l.MaxHeaderBytes) * (1 + fieldBytes/minFieldBytes)
	return int64((connectionBytes + head + 1.5*float64(l.MaxBodyBytes)) / budget.SourceShare)
}

var errNoMemory = errors.New("no memory for the body")

// ReadBody reads the body of a request, whose memory counts against the budget until the request ends. It fails with *request.BodyError.
func ReadBody(r *http.Request) ([]byte, error) {
	b := bodyReader{conn: connOf(r)}
	if b.conn != nil {
		b.limit = b.conn.set.Limits().MaxBodyBytes
	}
	body, err := b.read(r)
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, errNoMemory):
		b.conn.set.record(causeRefused)
		return nil, &request.BodyError{Status: http.StatusServiceUnavailable, Reason: err.Error(), RetryAfter: RetryDelay()}
	}
	var invalid *request.BodyError
	if errors.As(err, &invalid) {
		return nil, err
	}
	return nil, &request.BodyError{Status: http.StatusBadRequest, Reason: "body is incomplete: " + err.Error()}
}

// bodyReader reads one body.
type bodyReader struct {
	conn  *Conn // nil if the request did not come through a listener of Connections
	limit int64 // 0 for none
}

func (b bodyReader) read(r *http.Request) (body []byte, err error) {
	if b.isTooLarge(r.ContentLength) {
		return nil, tooLarge()
	}
	if r.ContentLength >= 0 {
		body, err = b.readLength(r.Body, r.ContentLength)
	} else {
		body, err = b.readUntilEnd(r.Body)
	}
	if err == nil && !b.reserve(int64(len(r.Trailer))*fieldBytes) {
		err = errNoMemory
	}
	if err == nil && b.conn != nil {
		b.conn.endBody()
	}
	return body, err
}

// readLength reads a body of announced length.
func (b bodyReader) readLength(r io.Reader, length int64) ([]byte, error) {
	first := length
	if length > wholeBodyBytes {
		first = firstBodyBytes
	}
	if !b.reserve(first) {
		return nil, errNoMemory
	}
	body := make([]byte, first)
	for n := int64(0); ; {
		if _, err := io.ReadFull(r, body[n:]); err != nil {
			return nil, err
		}
		n = int64(len(body))
		if n == length {
			return body, nil
		}
		var err error
		if body, err = b.grow(body, min(2*n, length)); err != nil {
			return nil, err
		}
		body = body[:cap(body)]
	}
}

// readUntilEnd reads a body whose length is not announced.
func (b bodyReader) readUntilEnd(r io.Reader) ([]byte, error) {
	if !b.reserve(firstBodyBytes) {
		return nil, errNoMemory
	}
	body := make([]byte, 0, firstBodyBytes)
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case b.isTooLarge(int64(len(body))):
			return nil, tooLarge()
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
		if len(body) < cap(body) {
			continue
		}
		size := 2 * int64(cap(body))
		if b.limit > 0 {
			size = min(size, b.limit+1) // the last byte shows that a body is too large
		}
		if body, err = b.grow(body, size); err != nil {
			return nil, err
		}
	}
}

// grow returns a copy of body with the given capacity. While it is copied, both copies count.
func (b bodyReader) grow(body []byte, size int64) ([]byte, error) {
	if !b.reserve(size) {
		return nil, errNoMemory
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	if b.conn != nil {
		b.conn.account.Release(int64(cap(body)))
	}
	return grown, nil
}

func (b bodyReader) reserve(n int64) bool {
	return b.conn == nil || n == 0 || b.conn.account.Reserve(n)
}

func (b bodyReader) isTooLarge(n int64) bool { return b.limit > 0 && n > b.limit }

func tooLarge() error {
	return &request.BodyError{Status: http.StatusRequestEntityTooLarge, Reason: "body is too large"}
}
