package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// changedTarget shows requests that reach a server with another path and host than the client sent. Their path begins with two slashes and
// has a character that net/url escapes.
func changedTarget(l *lab) (broken bool, err error) {
	var mu sync.Mutex
	targets := make(map[string]string)
	s := &server{
		id: "i-0", service: "board", zone: l.zoneNames[0], slots: 3, queue: 12, rec: l.rec,
		work: func() time.Duration { return time.Duration(5+rand.IntN(10)) * time.Millisecond },
	}
	s.onRequest = func(_ *server, req *http.Request) {
		mu.Lock()
		targets[req.Header.Get("X-Request-Id")] = req.RequestURI + " of host " + req.Host
		mu.Unlock()
	}
	if err := s.start(); err != nil {
		return false, err
	}
	l.store.put("op/config", config(7, []map[string]any{
		{"name": "r-1", "host": "shop.example", "prefix": "/", "type": "idempotent", "timeoutMs": 600, "goalMs": 300, "priority": 1, "service": "board", "maxAttempts": 2, "allowedRegions": []string{}},
	}, []map[string]any{{"name": "board", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 0.0}}))
	l.beats([]*server{s})
	if err := l.startInstances(l.controls()); err != nil {
		return false, err
	}
	changed, same := 0, 0
	for n := range 40 {
		target := fmt.Sprintf("/pattern/{%d}", n)
		if l.trouble && n%2 == 1 {
			target = fmt.Sprintf("//admin.example/pattern/{%d}", n)
		}
		id := fmt.Sprintf("q%d", n)
		l.rec.add("client sends GET %s of host shop.example as %s", target, id)
		status := sendRaw(l.instances[n%len(l.instances)].front, target, id)
		mu.Lock()
		got, want := targets[id], target+" of host shop.example"
		mu.Unlock()
		l.rec.add("client gets %d to %s; the server ran GET %s", status, id, got)
		switch {
		case got == want:
			same++
		case got != "":
			changed++
			l.rec.add("UNASKED: the client sent GET %s, the server ran GET %s", want, got)
		}
		time.Sleep(50 * time.Millisecond)
	}
	l.rec.say("%d requests reached the server as they were sent, %d with another target", same, changed)
	if same == 0 {
		return false, errNotServed
	}
	return changed > 0, nil
}

func sendRaw(address, target, id string) int {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Request-Deadline-Ms: 600\r\n\r\n", target, id)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
