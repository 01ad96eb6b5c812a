package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// recordBytes is the size of a record.
const recordBytes = 16

// heartbeat is the interval at which servers report to the store, heartbeatMs of the settings.
const heartbeat = 1200 * time.Millisecond

// run is one request that a server ran.
type run struct {
	at              time.Time
	id, server, svc string
	path            string
}

// server is a stand-in for a server of the platform: it registers itself, answers 421 to requests for another one and runs the others.
type server struct {
	id, service, zone, address string
	work                       time.Duration
	store                      *store
	http                       *http.Server
	born                       int64

	records int // of an answer

	mu    sync.Mutex
	state string
	seq   int64
	runs  []run
	seals map[string]string // identifier of the request by the digest of its answer
}

// newServer starts a server and registers it.
func newServer(id, service, zone string, work time.Duration, s *store) *server {
	l := listen("127.0.0.1:0")
	v := &server{
		id: id, service: service, zone: zone, address: l.Addr().String(), work: work, store: s, born: time.Now().UnixMilli(),
		state: "ready", records: 12, seals: map[string]string{},
	}
	v.http = &http.Server{Handler: v}
	go func() { _ = v.http.Serve(l) }()
	v.report()
	go v.beat()
	return v
}

func (v *server) beat() {
	for range time.Tick(heartbeat) {
		v.report()
	}
}

// report writes the entry of the server and returns when the store has acknowledged it.
func (v *server) report() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.seq++
	return v.store.put("servers/"+v.id, map[string]any{
		"service": v.service, "address": v.address, "zone": v.zone, "version": "v1", "slots": 3, "state": v.state,
		"coldLeftMs": 0, "seq": v.seq, "born": v.born,
	})
}

// drain reports the state draining and returns when the store has acknowledged it. The server serves on.
func (v *server) drain() time.Time {
	v.mu.Lock()
	v.state = "draining"
	v.mu.Unlock()
	return v.report()
}

func (v *server) isDraining() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.state == "draining"
}

func (v *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		h.Set("X-Request-Id", id)
	}
	h.Set("X-Server-Load", "1,0,3")
	if v.isDraining() {
		h.Set("Connection", "close")
	}
	switch target := r.Header.Get("X-Target-Instance"); {
	case r.URL.Path == "/healthz":
		h.Set("X-Instance-Id", v.id)
		if v.isDraining() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case target != "" && target != v.id:
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	v.mu.Lock()
	v.runs = append(v.runs, run{at: time.Now(), id: id, server: v.id, svc: v.service, path: r.URL.Path})
	v.mu.Unlock()
	time.Sleep(v.work)
	var body []byte
	for i := range v.records {
		record := sha256.Sum256(fmt.Appendf(nil, "%s %s %d", v.service, id, i))
		body = append(body, record[:recordBytes]...)
	}
	digest := sha256.Sum256(fmt.Appendf(body, "%s %s", v.id, id))
	seal := hex.EncodeToString(digest[:8])
	v.mu.Lock()
	v.seals[seal] = id
	v.mu.Unlock()
	h.Set("X-Response-Seal", seal)
	_, _ = w.Write(body)
}

// restart ends the server without a word and starts it again under its id and at its address, with its counts anew. The time of day of its
// machine is off by the given offset.
func (v *server) restart(offset time.Duration) {
	_ = v.http.Close()
	time.Sleep(300 * time.Millisecond)
	l := listen(v.address)
	v.mu.Lock()
	v.born, v.seq = time.Now().Add(offset).UnixMilli(), 0
	v.mu.Unlock()
	v.http = &http.Server{Handler: v}
	go func() { _ = v.http.Serve(l) }()
	v.report()
}

// serviceOf returns the service whose server answered the request with the digest, or "" if none did.
func serviceOf(servers []*server, id, seal string) string {
	for _, v := range servers {
		v.mu.Lock()
		answered := v.seals[seal]
		v.mu.Unlock()
		if answered == id {
			return v.service
		}
	}
	return ""
}

// allRuns returns the requests that the servers ran.
func allRuns(servers []*server) []run {
	var all []run
	for _, v := range servers {
		v.mu.Lock()
		all = append(all, v.runs...)
		v.mu.Unlock()
	}
	return all
}
