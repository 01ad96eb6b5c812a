package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	drainTime  = 3 * time.Second // drainMs
	drainSlack = 50 * time.Millisecond
)

// playGone lets servers of a service leave, some of them in each of five rounds; others have started before. With trouble, the instance
// that reads the platform's list freezes in each round for 5 s, and wakes as the servers leave. Clients use the other instances
// alone. It reports whether no request reached a server later than drainMs after its removal was confirmed.
func playGone(s *scene) bool {
	const (
		servers    = 20
		leaving    = 8
		perS       = 130 // at each instance
		rounds     = 5
		freezeTime = 5 * time.Second
	)
	s.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-lookup", "host": "shop.example", "prefix": "/lookup/", "type": "idempotent", "timeoutMs": 600, "goalMs": 100,
			"priority": 1, "service": "buyer-portal", "maxAttempts": 2, "allowedRegions": []string{},
		}},
		"services": []any{map[string]any{"name": "buyer-portal", "healthPath": "/healthz", "maxConns": 26, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 0.0}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	var mu sync.Mutex
	gone := make(map[string]time.Time)
	late, latest := 0, time.Duration(0)
	var pool []*server
	add := func() {
		srv := prepareServer(s.store, s.rec, "buyer-portal", []string{"south-a", "central-a"}[len(pool)%2], 2, 12, 26, between(2.5, 7.5))
		srv.arrived = func(id string) {
			mu.Lock()
			defer mu.Unlock()
			at, ok := gone[srv.id]
			if !ok {
				return
			}
			after := time.Since(at)
			latest = max(latest, after)
			if after > drainTime+drainSlack {
				late++
				s.rec.line("late: %s reaches %s %v after the removal was confirmed", id, srv.id, after.Round(time.Millisecond))
			}
		}
		srv.start()
		pool = append(pool, srv)
	}
	for range servers {
		add()
	}
	f := newFleet(s.dir, s.store, 4)
	defer f.stopAll()
	f.startAll()
	time.Sleep(5 * time.Second)

	var frozen atomic.Int64 // the instance that gets no requests, or -1
	frozen.Store(-1)
	stop := make(chan struct{})
	var all sync.WaitGroup
	var sent, succeeded atomic.Int64
	for i, in := range f.instances {
		c := newClient(s.rec, in.front)
		all.Go(func() {
			for tick := time.Tick(time.Second / perS); ; {
				select {
				case <-tick:
				case <-stop:
					return
				}
				if frozen.Load() == int64(i) {
					continue
				}
				all.Go(func() {
					sent.Add(1)
					if c.send("GET", "/lookup/a", 600*time.Millisecond, nil).status == 200 {
						succeeded.Add(1)
					}
				})
			}
		})
	}
	time.Sleep(2 * time.Second)
	for n := range rounds {
		for range leaving - 1 {
			add()
		}
		reader := s.store.awaitReader(time.Now().Add(-time.Second))
		in := f.instances[reader]
		if s.trouble {
			frozen.Store(int64(reader))
			time.Sleep(time.Second) // for what it has in flight
		}
		now := time.Now()
		add()
		if s.store.awaitReader(now) != reader {
			s.rec.line("round %d: another instance has read the list", n+1)
			frozen.Store(-1)
			time.Sleep(8 * time.Second)
			continue
		}
		if s.trouble {
			time.Sleep(100 * time.Millisecond)
			s.rec.line("round %d: %s has read the list and freezes for %v", n+1, in.name, freezeTime)
			in.signal(syscall.SIGSTOP)
		}
		time.Sleep(freezeTime - time.Second)
		wake := time.Now().Add(time.Second)
		for range leaving {
			old := pool[0]
			pool = pool[1:]
			old.mu.Lock()
			old.ended = true
			old.mu.Unlock()
			at := s.store.remove("servers/" + old.id)
			mu.Lock()
			gone[old.id] = at
			mu.Unlock()
			s.rec.line("server %s leaves: its entry is removed", old.id)
			time.AfterFunc(6*time.Second, old.crash)
			time.Sleep(80 * time.Millisecond)
		}
		time.Sleep(time.Until(wake))
		if s.trouble {
			in.signal(syscall.SIGCONT)
			s.rec.line("round %d: %s wakes", n+1, in.name)
		}
		time.Sleep(7 * time.Second)
		frozen.Store(-1)
		mu.Lock()
		s.rec.say("round %d: the latest request reached a leaving server %v after the confirmation; %d so far later than %v", n+1, latest.Round(time.Millisecond), late, drainTime)
		mu.Unlock()
		time.Sleep(time.Second)
	}
	close(stop)
	all.Wait()
	s.rec.say("%s", fmt.Sprintf("%d requests sent, %d answered 200, %d reached a server later than drainMs after the confirmation", sent.Load(), succeeded.Load(), late))
	return late == 0
}
