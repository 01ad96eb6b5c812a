package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"
)

// client sends requests to one instance on connections that it keeps. It sends nothing twice.
type client struct {
	address string
	rec     *record

	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	r       *bufio.Reader
	used    time.Time
	isOlder bool // has carried a request before
}

// maxClientIdle is four fifths of the idle time of the configurations here.
const maxClientIdle = 12 * time.Second

// answer is what a client got for a request; status 0 means a connection that ended without a complete answer.
type answer struct {
	id     string
	status int
	header http.Header
	body   []byte
	err    error
	took   time.Duration
}

func newClient(rec *record, address string) *client { return &client{address: address, rec: rec} }

func (c *client) connect() (*clientConn, error) {
	c.mu.Lock()
	for len(c.idle) > 0 {
		last := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(last.used) < maxClientIdle {
			c.mu.Unlock()
			return last, nil
		}
		_ = last.Close()
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, r: bufio.NewReader(conn)}, nil
}

// send sends one attempt and waits for its answer until the time limit and half a second more.
func (c *client) send(method, path string, limit time.Duration, body []byte) answer {
	a := answer{id: fmt.Sprintf("%016x", rand.Uint64())}
	start := time.Now()
	conn, err := c.connect()
	if err == nil {
		c.rec.send(a.id, method, path)
		err = a.exchange(conn, method, path, limit, body)
	}
	a.took = time.Since(start)
	if err != nil {
		a.err, a.status = err, 0
		if conn != nil {
			_ = conn.Close()
		}
		c.rec.line("answer %s none after %v: %v", a.id, a.took.Round(time.Millisecond), err)
		return a
	}
	c.rec.line("answer %s %d after %v", a.id, a.status, a.took.Round(time.Millisecond))
	if a.header.Get("Connection") == "close" {
		_ = conn.Close()
		return a
	}
	conn.used = time.Now()
	c.mu.Lock()
	c.idle = append(c.idle, conn)
	c.mu.Unlock()
	return a
}

func (a *answer) exchange(conn *clientConn, method, path string, limit time.Duration, body []byte) error {
	_ = conn.SetDeadline(time.Now().Add(limit + 500*time.Millisecond))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Request-Deadline-Ms: %d\r\n", method, path, a.id, limit.Milliseconds())
	if len(body) > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	if _, err := conn.Write(b.Bytes()); err != nil {
		return err
	}
	resp, err := http.ReadResponse(conn.r, &http.Request{Method: method})
	if err != nil {
		return err
	}
	if a.body, err = io.ReadAll(resp.Body); err != nil {
		return err
	}
	a.status, a.header = resp.StatusCode, resp.Header
	if resp.Close {
		a.header.Set("Connection", "close")
	}
	return nil
}
