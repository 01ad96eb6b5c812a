package connections

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"crocuswing/internal/entry/budget"
	"crocuswing/internal/entry/head"
)

const (
	// connectionBytes is what a connection holds at least: the read and the write buffer of net/http, which are 4 KiB each, a goroutine
	// stack of 8 KiB, and up to 4 KiB that were read beyond the end of a head. 250 connections with half a head took 20 KiB each.
	connectionBytes = 20 << 10
	// fieldBytes is what a header field holds beyond its bytes: an entry of a map that is up to half empty, two strings and a slice.
	// 2,200 fields took 110 bytes each after a collection; the rest is for the garbage of the growing map.
	fieldBytes = 256
	// headStep is the growth of a head, in bytes, after which its memory is counted again.
	headStep = 512
	// minFieldBytes is the size of the shortest field as the limit on header bytes counts it: a name of one byte, ": " and "\r\n".
	minFieldBytes = 5
	// headSlackBytes and headSlackLines are for what the limit on header bytes does not count, such as the request line's version, the
	// Host field and white space.
	headSlackBytes = 4 << 10
	headSlackLines = 8
	// writeStep is the size of the pieces in which an answer is written, so that the progress of its reader is known. It is also the size
	// from which the memory of an answer counts against the budget.
	writeStep = 64 << 10
	// slowWriteTime is the duration of a write after which its connection waits for its caller.
	slowWriteTime = time.Second
	// restTimeout limits the reading of a body that is not needed. It lets a caller that sends without delay read its refusal.
	restTimeout = time.Second
	// refusalTimeout limits the writing of a refusal, which fits into the buffer of a socket.
	refusalTimeout = 100 * time.Millisecond
	// minRetryDelay is the shortest delay in a refusal for lack of memory, and the range of its jitter: about the time in which the running
	// requests that hold the memory end.
	minRetryDelay = 500 * time.Millisecond
)

// errRefused ends the reading of a head that was refused. As an error of a read, it makes net/http close the connection without a reply.
var errRefused = &net.OpError{Op: "read", Err: errors.New("the request was refused")}

// phase is the state of a connection.
type phase int

const (
	isNew     phase = iota // nothing has been sent yet
	isIdle                 // the last request has ended
	isHead                 // a head has begun
	isServing              // a head is complete
)

// Conn is a connection of a caller.
type Conn struct {
	net.Conn
	set     *Connections
	account *budget.Account

	mu        sync.Mutex
	phase     phase
	since     time.Time // start of the phase
	scanner   head.Scanner
	charged   int64  // what the head holds, as counted last
	rest      []byte // bytes that were read beyond the end of a head
	bodyLeft  int64  // bytes of the body that were not read yet, or -1 if its length is not known
	received  int64  // bytes of the body
	writing   time.Time
	written   int64 // bytes of the write in progress, including the piece that is being written
	slowWrite bool
}

// Read reads from the connection, but not beyond the end of a head or of a body, so that all bytes of a head are counted.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.bodyLeft > 0 && int64(len(p)) > c.bodyLeft {
		p = p[:c.bodyLeft]
	}
	n := copy(p, c.rest)
	isRest := n > 0
	c.mu.Unlock()
	var err error
	if !isRest {
		n, err = c.Conn.Read(p)
	}
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	used := n
	refusal := 0
	if c.bodyLeft != 0 {
		c.received += int64(n)
		if c.bodyLeft > 0 {
			c.bodyLeft -= int64(n)
		}
	} else {
		used, refusal = c.scan(p[:n])
	}
	if isRest {
		if c.rest = c.rest[used:]; len(c.rest) == 0 {
			c.rest = nil
		}
	} else if used < n {
		c.rest = append(c.rest[:0:0], p[used:n]...)
	}
	c.mu.Unlock()
	switch {
	case refusal != 0:
		c.refuse(refusal)
		return 0, errRefused
	case used < n:
		return used, nil // an error is returned again by the read after the last byte
	}
	return used, err
}

// scan counts bytes of a head. It returns the number of bytes up to its end, and a status other than 0 if the head is refused. The
// caller holds the lock.
func (c *Conn) scan(p []byte) (used, status int) {
	if c.phase == isNew || c.phase == isIdle {
		c.phase, c.since = isHead, time.Now()
		c.account.Begin()
	}
	used, done := c.scanner.Scan(p)
	if limit := c.set.Limits().MaxHeaderBytes; c.isTooLarge(limit) {
		return used, http.StatusRequestHeaderFieldsTooLarge
	}
	holds := int64(c.scanner.Bytes + fieldBytes*c.scanner.Lines)
	if holds >= c.charged+headStep {
		if !c.account.Reserve(holds - c.charged) {
			return used, http.StatusServiceUnavailable
		}
		c.charged = holds
	}
	if done {
		c.scanner = head.Scanner{}
	}
	return used, 0
}

// isTooLarge reports whether a head exceeds the limit on header bytes.
func (c *Conn) isTooLarge(limit int) bool {
	if limit <= 0 {
		limit = defaultMaxHeaderBytes
	}
	return c.scanner.Bytes > limit+headSlackBytes || c.scanner.Lines > limit/minFieldBytes+headSlackLines
}

// refuse replies to a head that is not read to its end.
func (c *Conn) refuse(status int) {
	cause, retry := causeLargeHead, ""
	if status == http.StatusServiceUnavailable {
		cause, retry = causeRefused, fmt.Sprintf("Retry-After: %.3f\r\n", RetryDelay().Seconds())
	}
	c.set.record(cause)
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), retry)
}

// RetryDelay returns the delay, with jitter, after which a request that was refused for lack of memory may be repeated.
func RetryDelay() time.Duration { return minRetryDelay + rand.N(minRetryDelay) }

// Write writes p in pieces and records the progress.
func (c *Conn) Write(p []byte) (int, error) {
	isLarge := len(p) > writeStep
	if isLarge {
		c.account.Charge(int64(len(p)))
		defer c.account.Release(int64(len(p)))
	}
	defer c.endWrite()
	total := 0
	for {
		piece := p[total:min(total+writeStep, len(p))]
		c.beginWrite(len(piece))
		n, err := c.Conn.Write(piece)
		total += n
		if err != nil || total == len(p) {
			return total, err
		}
	}
}

// beginWrite records the write of n bytes, which may be a part of an answer.
func (c *Conn) beginWrite(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing.IsZero() {
		c.writing, c.written = time.Now(), 0
	}
	c.written += int64(n)
}

func (c *Conn) endWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = time.Time{}
	if c.slowWrite {
		c.slowWrite = false
		c.account.Work()
	}
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.account.Close()
	c.set.remove(c)
	return c.Conn.Close()
}

// CloseWrite closes the direction to the caller. The server uses it so that a caller that still sends can read the reply.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

func (c *Conn) closeFor(cause string) {
	c.set.record(cause)
	_ = c.Close()
}

// beginRequest records that a head is complete and that a body of the given length follows, or of unknown length if it is -1.
func (c *Conn) beginRequest(bodyBytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = isServing, time.Now()
	c.bodyLeft, c.received = bodyBytes, 0
	if bodyBytes == 0 {
		c.account.Work()
	}
}

// endBody records that the body was read.
func (c *Conn) endBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyLeft = 0
	c.account.Work()
}

// limitRest limits the time for reading what is left of the body.
func (c *Conn) limitRest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bodyLeft != 0 {
		_ = c.SetReadDeadline(time.Now().Add(restTimeout))
	}
}

// endRequest records that the request has ended.
func (c *Conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = isIdle, time.Now()
	c.bodyLeft, c.charged = 0, 0
	if c.scanner.Bytes > 0 {
		c.phase = isHead
	}
	c.account.End()
}

// overdue returns the cause for closing the connection, or an empty string.
func (c *Conn) overdue(now time.Time, t timeouts) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.writing.IsZero() {
		return c.overdueWrite(now.Sub(c.writing), t)
	}
	took := now.Sub(c.since)
	switch c.phase {
	case isNew:
		if took > t.stalled {
			return causeIdle
		}
	case isIdle:
		if took > t.idle {
			return causeIdle
		}
	case isHead:
		if took > t.stalled {
			return causeSlowHead
		}
	case isServing:
		if c.bodyLeft != 0 && t.isSlow(took, c.received) {
			return causeSlowBody
		}
	}
	return ""
}

// overdueWrite returns the cause for closing the connection because of a write in progress. After some time the connection counts as
// waiting for its caller. The caller holds the lock.
func (c *Conn) overdueWrite(took time.Duration, t timeouts) string {
	if took > slowWriteTime && !c.slowWrite {
		c.slowWrite = true
		c.account.Wait()
	}
	if t.isSlow(took, c.written) {
		return causeSlowReader
	}
	return ""
}
