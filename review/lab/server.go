package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in for an upstream. It runs as many requests as it has slots, queues a few more and sheds the rest with 503 and
// X-Not-Executed. It echoes the identifier of each request.
type server struct {
	id, service, zone, address string
	slots, queue               int
	work                       func() time.Duration
	rec                        *record
	onArrival                  func(s *server, id string)
	onRun                      func(s *server, id string)
	onRequest                  func(s *server, r *http.Request)
	// doubles reports whether a second copy of an answer is sent, late, where the next answer on its connection is due.
	doubles func(s *server, status int) bool
	// coldLeft returns how long the server remains cold; nil if its start decides.
	coldLeft func() time.Duration

	born     int64
	listener net.Listener
	running  chan struct{}
	waiting  atomic.Int64
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
}

func (s *server) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.listener, s.address, s.born = l, l.Addr().String(), time.Now().UnixMilli()
	s.running = make(chan struct{}, s.slots)
	s.conns = make(map[net.Conn]struct{})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = struct{}{}
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return nil
}

func (s *server) stop() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	late := "" // copy of the former answer
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("X-Request-Id")
		if late != "" {
			s.rec.add("%s sends a late copy of its former answer where the answer to %s is due", s.id, id)
			if _, err := io.WriteString(c, late); err != nil {
				return
			}
			late = ""
		}
		status, text := s.answer(req, id)
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		if s.doubles != nil && s.doubles(s, status) {
			late = text
		}
	}
}

func (s *server) answer(req *http.Request, id string) (status int, text string) {
	if req.URL.Path == "/healthz" {
		headers := "X-Instance-Id: " + s.id + "\r\n"
		if s.coldLeft != nil && s.coldLeft() > 0 {
			headers += fmt.Sprintf("X-Cold-Remaining-Ms: %d\r\n", s.coldLeft().Milliseconds())
		}
		return 200, s.format(200, "", headers, "")
	}
	if target := req.Header.Get("X-Target-Instance"); target != "" && target != s.id {
		return 421, s.format(421, id, "X-Not-Executed: 1\r\nX-Instance-Id: "+s.id+"\r\n", "")
	}
	if s.onRequest != nil {
		s.onRequest(s, req)
	}
	if s.onArrival != nil {
		s.onArrival(s, id)
	}
	select {
	case s.running <- struct{}{}:
	default:
		if s.waiting.Add(1) > int64(s.queue) {
			s.waiting.Add(-1)
			s.rec.add("%s sheds %s", s.id, id)
			return 503, s.format(503, id, "X-Not-Executed: 1\r\n", "")
		}
		s.running <- struct{}{}
		s.waiting.Add(-1)
	}
	defer func() { <-s.running }()
	s.rec.add("%s runs %s", s.id, id)
	if s.onRun != nil {
		s.onRun(s, id)
	}
	time.Sleep(s.work())
	return 200, s.format(200, id, fmt.Sprintf("X-Response-Seal: %s.%s.%d\r\n", s.id, id, rand.Uint32()), "done by "+s.id+"\n")
}

func (s *server) format(status int, id, headers, body string) string {
	if id != "" {
		headers += "X-Request-Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sX-Server-Load: %d,%d,%d\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), headers, len(s.running), s.waiting.Load(), s.slots, len(body), body)
}

// beat is what a server writes about itself.
func (s *server) beat(state string, seq int, coldLeft time.Duration) map[string]any {
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
		"coldLeftMs": max(0, coldLeft.Milliseconds()), "seq": seq, "born": s.born,
	}
}
