package main

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	coldPerS  = 10.0 // requests a second that a cold server tolerates
	coldStart = 3 * time.Second
)

// coldWatch counts the requests that a server gets in each second while it is cold. The server crashes at three times the tolerated rate.
type coldWatch struct {
	perS    float64 // requests a second that the server tolerates while cold
	mu      sync.Mutex
	at      []time.Time // when the clients sent the requests of the last second
	most    int
	crashed bool
}

func (w *coldWatch) bound() float64 { return 1.5*w.perS + 5 }

func (w *coldWatch) arrived(s *server, id string) {
	now := time.Now()
	s.mu.Lock()
	isCold := now.Before(s.cold)
	s.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.at = slices.DeleteFunc(w.at, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	if !isCold {
		w.at = nil
		return
	}
	w.at = append(w.at, s.rec.sentAt(id))
	w.most = max(w.most, len(w.at))
	if float64(len(w.at)) > 3*w.perS && !w.crashed {
		w.crashed = true
		s.rec.line("server %s is cold and crashes: %d requests in a second", s.id, len(w.at))
		go s.crash()
	}
}

// playCold sends requests to a service of four servers. With trouble, the operator takes a zone out for six seconds, four times; its
// servers become cold meanwhile, as their reports say. It reports whether no cold server got more than the bound.
func playCold(s *scene) bool {
	const perS = 200
	s.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-lookup", "host": "shop.example", "prefix": "/lookup/", "type": "idempotent", "timeoutMs": 600, "goalMs": 100,
			"priority": 1, "service": "buyer-portal", "maxAttempts": 2, "allowedRegions": []string{},
		}},
		"services": []any{map[string]any{"name": "buyer-portal", "healthPath": "/healthz", "maxConns": 26, "protocol": "h1", "tls": false, "coldStartS": coldStart.Seconds(), "coldPerS": coldPerS}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	var south []*server
	watches := make(map[*server]*coldWatch)
	for n := range 4 {
		zone := []string{"south-a", "central-a"}[n%2]
		srv := newServer(s.store, s.rec, "buyer-portal", zone, 2, 12, 26, between(2.5, 7.5))
		w := &coldWatch{perS: coldPerS}
		watches[srv] = w
		srv.mu.Lock()
		srv.arrived = func(id string) { w.arrived(srv, id) }
		srv.mu.Unlock()
		if zone == "south-a" {
			south = append(south, srv)
		}
	}
	f := newFleet(s.dir, s.store, 4)
	defer f.stopAll()
	f.startAll()
	time.Sleep(4 * time.Second)

	stop := make(chan struct{})
	var all sync.WaitGroup
	var sent, succeeded atomic.Int64
	for _, in := range f.instances {
		c := newClient(s.rec, in.front)
		all.Go(func() {
			for tick := time.Tick(time.Second * time.Duration(len(f.instances)) / perS); ; {
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
	for n := range 4 {
		if !s.trouble {
			time.Sleep(20 * time.Second)
			continue
		}
		s.store.put("op/evacuate/south-a", map[string]any{})
		s.rec.line("evacuation %d of south-a is confirmed", n+1)
		time.Sleep(5500 * time.Millisecond)
		for _, srv := range south {
			srv.mu.Lock()
			srv.cold = time.Now().Add(coldStart)
			srv.mu.Unlock()
			srv.report()
			s.rec.line("server %s becomes cold for %v", srv.id, coldStart)
		}
		time.Sleep(500 * time.Millisecond)
		s.store.remove("op/evacuate/south-a")
		s.rec.line("evacuation %d of south-a is taken back", n+1)
		time.Sleep(14 * time.Second)
		for _, srv := range south {
			s.rec.say("server %s: at most %d requests in a second while cold so far, bound %.0f", srv.id, watches[srv].most, watches[srv].bound())
		}
	}
	close(stop)
	all.Wait()
	s.rec.say("%d requests sent, %d answered 200", sent.Load(), succeeded.Load())
	held := true
	for srv, w := range watches {
		w.mu.Lock()
		s.rec.say("server %s in %s: at most %d requests in a second while cold, bound %.0f, crashed: %v", srv.id, srv.zone, w.most, w.bound(), w.crashed)
		held = held && float64(w.most) <= w.bound()
		w.mu.Unlock()
	}
	return held
}
