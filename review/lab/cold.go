package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// coldAgain shows a server that gets more requests than a cold one bears for up to a second after it has become cold again and has reported
// so to the store.
func coldAgain(l *lab) (broken bool, err error) {
	const (
		coldPerS  = 20.0
		coldTime  = 3 * time.Second
		perSecond = 160
		cycles    = 8
		timeout   = 600 * time.Millisecond
	)
	limit := int(coldPerS*1.5 + 5) // coldPerS x coldOverage + coldSlack
	var mu sync.Mutex
	served := 0
	var coldFrom time.Time // of server 0; zero while it is warm
	var arrivals []time.Time
	isCold := func(s *server) bool { return s.id == "i-0" && !coldFrom.IsZero() && time.Since(coldFrom) < coldTime }
	var servers []*server
	for i := range 2 {
		s := &server{id: fmt.Sprintf("i-%d", i), service: "search", zone: l.zoneNames[i], slots: 2, queue: 12, rec: l.rec}
		s.work = func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			d := time.Duration(6+rand.IntN(4)) * time.Millisecond
			if isCold(s) {
				d = d * 8 / 5
			}
			return d
		}
		s.onArrival = func(s *server, id string) {
			mu.Lock()
			defer mu.Unlock()
			if isCold(s) {
				arrivals = append(arrivals, time.Now())
				l.rec.add("%s gets %s while it is cold", s.id, id)
			}
		}
		s.coldLeft = func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			if !isCold(s) {
				return 0
			}
			return coldTime - time.Since(coldFrom)
		}
		if err := s.start(); err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	l.store.put("op/config", config(7, []map[string]any{
		{"name": "r-1", "host": "shop.example", "prefix": "/find/", "type": "idempotent", "timeoutMs": 600, "goalMs": 100, "priority": 1, "service": "search", "maxAttempts": 2, "allowedRegions": []string{}},
	}, []map[string]any{{"name": "search", "healthPath": "/healthz", "maxConns": 40, "protocol": "h1", "tls": false, "coldStartS": coldTime.Seconds(), "coldPerS": coldPerS}}))
	f := l.registerAll(servers, 0)
	if err := l.startInstances(l.controls()); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	c := newClient(l.rec)
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() * float64(time.Second) / perSecond)):
			}
			id, address := fmt.Sprintf("q%d", n), l.instances[rand.IntN(len(l.instances))].front
			wg.Go(func() {
				if c.send(address, "GET", "/find/x", id, "", timeout) == 200 {
					mu.Lock()
					served++
					mu.Unlock()
				}
			})
		}
	})
	time.Sleep(4 * time.Second)
	over, most := 0, 0
	for cycle := range cycles {
		mu.Lock()
		arrivals = nil
		if l.trouble {
			coldFrom = time.Now()
		}
		mu.Unlock()
		if l.trouble {
			f.beat() // the server reports at once that it is cold
			l.rec.add("i-0 is cold again and has reported so")
		}
		time.Sleep(coldTime)
		mu.Lock()
		got := mostWithin(arrivals, time.Second)
		mu.Unlock()
		l.rec.say("cycle %d: %d requests within a second while i-0 was cold, %d are permitted", cycle, got, limit)
		if most = max(most, got); got > limit {
			over++
		}
		time.Sleep(4*time.Second + time.Duration(rand.IntN(1000))*time.Millisecond)
	}
	close(stop)
	wg.Wait()
	l.rec.say("%d served; %d of %d times too many requests, %d at most", served, over, cycles, most)
	if served == 0 {
		return false, errNotServed
	}
	return over > 0, nil
}
