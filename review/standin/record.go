package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record holds what clients sent, what they were answered, and what servers ran.
type record struct {
	mu    sync.Mutex
	start time.Time
	w     *bufio.Writer
	file  *os.File
	runs  map[string][]string // the servers that ran a request, by its identifier
	sent  map[string]time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	check(err)
	return &record{start: time.Now(), w: bufio.NewWriter(f), file: f, runs: make(map[string][]string), sent: make(map[string]time.Time)}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lineLocked(format, args...)
}

func (r *record) lineLocked(format string, args ...any) {
	fmt.Fprintf(r.w, "%9.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.w, format+"\n", args...)
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) ran(id, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], server)
	r.lineLocked("run %s at %s", id, server)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}

// some returns the first of many names.
func some(names []string) string {
	if len(names) > 5 {
		return fmt.Sprintf("%v and %d more", names[:5], len(names)-5)
	}
	return fmt.Sprint(names)
}

// send records that a client sends a request.
func (r *record) send(id, method, path string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[id] = time.Now()
	r.lineLocked("send %s %s %s", id, method, path)
}

// sentAt returns when the client sent the request.
func (r *record) sentAt(id string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent[id]
}
