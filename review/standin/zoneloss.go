package main

import (
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// playZoneLoss sends requests to a fleet of 24 instances. With trouble, a zone is without power three times: its instances and its servers
// come back after 1.5 s, and the servers are cold. It reports whether no cold server got more than the bound.
func playZoneLoss(s *scene) bool {
	const (
		instances = 24
		perS      = 600
		tolerated = 20.0
	)
	s.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-lookup", "host": "shop.example", "prefix": "/lookup/", "type": "idempotent", "timeoutMs": 600, "goalMs": 100,
			"priority": 1, "service": "buyer-portal", "maxAttempts": 2, "allowedRegions": []string{},
		}},
		"services": []any{map[string]any{"name": "buyer-portal", "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "coldStartS": coldStart.Seconds(), "coldPerS": tolerated}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	var south []*server
	var watches []*coldWatch
	start := func(zone string, cold time.Duration) {
		srv := prepareServer(s.store, s.rec, "buyer-portal", zone, 2, 12, 64, between(2.5, 7.5))
		w := &coldWatch{perS: tolerated}
		srv.arrived = func(id string) { w.arrived(srv, id) }
		srv.cold = time.Now().Add(cold)
		srv.start()
		watches = append(watches, w)
		if zone == "south-a" {
			south = append(south, srv)
		}
	}
	for range 2 {
		start("south-a", 0)
		start("central-a", 0)
	}
	f := newFleet(s.dir, s.store, instances)
	defer f.stopAll()
	f.startAll()
	time.Sleep(12 * time.Second)

	stop := make(chan struct{})
	var all sync.WaitGroup
	var sent, succeeded atomic.Int64
	for _, in := range f.instances {
		c := newClient(s.rec, in.front)
		all.Go(func() {
			for tick := time.Tick(time.Second * instances / perS); ; {
				select {
				case <-tick:
				case <-stop:
					return
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
	time.Sleep(3 * time.Second)
	for n := range 3 {
		if s.trouble {
			s.rec.line("loss %d: south-a is without power", n+1)
			for _, srv := range south {
				srv.crash()
			}
			lost := south
			south = nil
			for _, in := range f.instances {
				if in.zone == "south-a" {
					in.signal(syscall.SIGKILL)
					<-in.ended
				}
			}
			time.Sleep(1500 * time.Millisecond)
			for range 2 {
				start("south-a", coldStart)
			}
			for _, in := range f.instances {
				if in.zone == "south-a" {
					f.start(in)
				}
			}
			s.rec.line("loss %d: power is back", n+1)
			time.Sleep(3 * heartbeat)
			for _, srv := range lost {
				s.store.remove("servers/" + srv.id)
			}
		}
		time.Sleep(15 * time.Second)
		for _, w := range watches {
			w.mu.Lock()
			s.rec.line("at most %d requests in a second while cold, bound %.0f, crashed: %v", w.most, w.bound(), w.crashed)
			w.mu.Unlock()
		}
	}
	close(stop)
	all.Wait()
	s.rec.say("%d requests sent, %d answered 200", sent.Load(), succeeded.Load())
	held := true
	for _, w := range watches {
		w.mu.Lock()
		s.rec.say("a server: at most %d requests in a second while cold, bound %.0f, crashed: %v", w.most, w.bound(), w.crashed)
		held = held && float64(w.most) <= w.bound()
		w.mu.Unlock()
	}
	return held
}
