package main

import (
	"sync"
	"time"
)

// fleet writes the reports of the servers of a case, of which some come and go.
type fleet struct {
	store    *store
	coldTime time.Duration
	drain    time.Duration

	mu  sync.Mutex
	all []*server
	seq int
}

// registerAll registers the servers and writes their reports each 1,200 ms.
func (l *lab) registerAll(servers []*server, coldTime time.Duration) *fleet {
	f := &fleet{store: l.store, coldTime: coldTime, drain: 3 * time.Second, all: servers}
	f.beat()
	go func() {
		for {
			time.Sleep(1200 * time.Millisecond)
			f.beat()
		}
	}()
	return f
}

func (f *fleet) servers() []*server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.all
}

func (f *fleet) beat() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seq++
	for _, s := range f.all {
		f.store.put("servers/"+s.id, s.beat("ready", f.seq, f.coldLeft(s)))
	}
}

func (f *fleet) coldLeft(s *server) time.Duration {
	if s.coldLeft != nil {
		return s.coldLeft()
	}
	return f.coldTime - time.Since(time.UnixMilli(s.born))
}

// replace registers a new server, and drains and ends the oldest one.
func (f *fleet) replace(fresh *server) {
	f.mu.Lock()
	f.seq++
	f.store.put("servers/"+fresh.id, fresh.beat("ready", f.seq, f.coldLeft(fresh)))
	old := f.all[0]
	f.all = append(f.all[1:len(f.all):len(f.all)], fresh)
	f.store.put("servers/"+old.id, old.beat("draining", f.seq, 0))
	f.mu.Unlock()
	go func() {
		time.Sleep(f.drain + time.Second)
		f.store.remove("servers/" + old.id)
		old.stop()
	}()
}
