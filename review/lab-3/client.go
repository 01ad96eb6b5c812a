package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	sent, done time.Time
	id, node   string
	host, path string
	status     int
	seal       string
	stamps     []string // of a gathered answer
	missing    int
	err        string
}

// traffic sends requests of one route to all nodes in turn.
type traffic struct {
	host, path string
	timeout    time.Duration
	clients    map[string]*http.Client

	mu      sync.Mutex
	answers []answer
	wg      sync.WaitGroup
}

var lastID atomic.Int64

func newTraffic(host, path string, timeout time.Duration) *traffic {
	return &traffic{host: host, path: path, timeout: timeout, clients: map[string]*http.Client{}}
}

// send sends one request to a node and records its answer.
func (t *traffic) send(d *node) {
	t.mu.Lock()
	c := t.clients[d.name]
	if c == nil {
		c = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
		t.clients[d.name] = c
	}
	t.mu.Unlock()
	id := fmt.Sprintf("%016x", lastID.Add(1))
	a := answer{id: id, node: d.name, host: t.host, path: t.path, sent: time.Now()}
	req, err := http.NewRequest(http.MethodGet, "http://"+d.front+t.path, http.NoBody)
	check(err)
	req.Host = t.host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Request-Deadline-Ms", strconv.FormatInt(t.timeout.Milliseconds(), 10))
	req.Header.Set("User-Agent", "")
	t.wg.Go(func() {
		resp, err := c.Do(req)
		if err != nil {
			a.err = err.Error()
		} else {
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if err != nil {
				a.err = err.Error()
			}
			a.status, a.seal = resp.StatusCode, resp.Header.Get("X-Response-Seal")
			for stamp := range strings.SplitSeq(strings.Join(resp.Header["X-Part-Stamps"], ","), ",") {
				if stamp = strings.TrimSpace(stamp); stamp != "" {
					a.stamps = append(a.stamps, stamp)
				}
			}
			a.missing, _ = strconv.Atoi(resp.Header.Get("X-Missing-Parts"))
		}
		a.done = time.Now()
		t.mu.Lock()
		t.answers = append(t.answers, a)
		t.mu.Unlock()
	})
}

// start sends a request each interval until the returned function is called.
func (t *traffic) start(nodes []*node, every time.Duration) (stop func()) {
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ticker.C:
				t.send(nodes[i%len(nodes)])
			case <-done:
				return
			}
		}
	}()
	return func() {
		close(done)
		time.Sleep(50 * time.Millisecond)
		t.wg.Wait()
	}
}

// summary counts the answers by status.
func (t *traffic) summary() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := map[string]int{}
	for _, a := range t.answers {
		key := strconv.Itoa(a.status)
		if a.err != "" {
			key = "error"
		}
		n[key]++
	}
	return fmt.Sprintf("%d requests of %s%s, answers by status: %v", len(t.answers), t.host, t.path, n)
}
