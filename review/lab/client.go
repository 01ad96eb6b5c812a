package main

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// client sends requests to the instances. It keeps connections open and repeats nothing by itself.
type client struct {
	http *http.Client
	rec  *record
}

func newClient(rec *record) *client {
	return &client{rec: rec, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second, DisableCompression: true}}}
}

// send sends one request and returns its status, 0 without an answer.
func (c *client) send(address, method, path, id, body string, timeout time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	if body != "" {
		req.GetBody = nil // net/http repeats no request with a body that it cannot read again
	}
	req.Host = "shop.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Request-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	c.rec.add("client sends %s", id)
	resp, err := c.http.Do(req)
	if err != nil {
		c.rec.add("client gets no answer to %s", id)
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		c.rec.add("client gets a broken answer to %s", id)
		return 0
	}
	c.rec.add("client gets %d to %s", resp.StatusCode, id)
	return resp.StatusCode
}
