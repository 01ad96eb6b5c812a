package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"
)

// restartedTogether shows a cold server that gets more requests than its rate after two of four instances have restarted together. They know
// only each other until another instance calls them, and each takes a half of the rate, while the other two keep a quarter each.
func restartedTogether(l *lab) (broken bool, err error) {
	const (
		coldPerS  = 20.0
		coldTime  = 3 * time.Second
		perSecond = 220
		cycles    = 9
		period    = 11 * time.Second
		downFor   = 600 * time.Millisecond
		startedBy = 200 * time.Millisecond // from the restart until a server is replaced
		timeout   = 600 * time.Millisecond
	)
	limit := int(coldPerS*1.5 + 5) // coldPerS x coldOverage + coldSlack
	var mu sync.Mutex
	arrivals := make(map[string][]time.Time) // at each server while it is cold
	served := 0
	newServer := func(id string, zone int) (*server, error) {
		s := &server{
			id: id, service: "search", zone: l.zoneNames[zone], slots: 2, queue: 12, rec: l.rec,
			work: func() time.Duration { return time.Duration(12+rand.IntN(8)) * time.Millisecond },
		}
		s.onArrival = func(s *server, id string) {
			if time.Since(time.UnixMilli(s.born)) >= coldTime {
				return
			}
			mu.Lock()
			arrivals[s.id] = append(arrivals[s.id], time.Now())
			mu.Unlock()
			l.rec.add("%s gets %s while it is cold", s.id, id)
		}
		return s, s.start()
	}
	var servers []*server
	for i := range 2 {
		s, err := newServer(fmt.Sprintf("i-%d", i), i)
		if err != nil {
			return false, err
		}
		s.born -= coldTime.Milliseconds() // it has started before the traffic
		servers = append(servers, s)
	}
	l.store.put("op/config", config(7, []map[string]any{
		{"name": "r-1", "host": "shop.example", "prefix": "/find/", "type": "idempotent", "timeoutMs": 600, "goalMs": 100, "priority": 1, "service": "search", "maxAttempts": 2, "allowedRegions": []string{}},
	}, []map[string]any{{"name": "search", "healthPath": "/healthz", "maxConns": 40, "protocol": "h1", "tls": false, "coldStartS": coldTime.Seconds(), "coldPerS": coldPerS}}))
	f := l.registerAll(servers, coldTime)
	// The third seed is stale: nobody listens there any more.
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	stale := gone.Addr().String()
	_ = gone.Close()
	if err := l.startInstances([]string{l.instances[0].control, l.instances[1].control, stale}); err != nil {
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
	time.Sleep(3 * time.Second)
	for cycle := range cycles {
		end := time.Now().Add(period)
		if l.trouble {
			l.rec.add("two instances are killed")
			for _, in := range l.instances[:2] {
				in.signal(syscall.SIGKILL)
			}
			for _, in := range l.instances[:2] {
				in.kill()
			}
			time.Sleep(downFor)
			for _, in := range l.instances[:2] {
				if err := in.start(); err != nil {
					return false, err
				}
			}
			l.rec.add("they start again")
		} else {
			time.Sleep(downFor)
		}
		time.Sleep(startedBy)
		// A release replaces one server: the new one starts first, then the old one drains.
		fresh, err := newServer(fmt.Sprintf("i-%d", cycle+2), cycle%2)
		if err != nil {
			return false, err
		}
		l.rec.add("server %s starts in place of %s", fresh.id, f.servers()[0].id)
		f.replace(fresh)
		time.Sleep(time.Until(end))
	}
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	over := 0
	for id, at := range arrivals {
		most := mostWithin(at, time.Second)
		l.rec.say("%s: %d requests within a second while it was cold, %d are permitted", id, most, limit)
		if most > limit {
			over++
		}
	}
	l.rec.say("%d served, %d of %d servers got too many requests", served, over, len(arrivals))
	if served == 0 || len(arrivals) == 0 {
		return false, errNotServed
	}
	return over > 0, nil
}

// mostWithin returns the largest number of the times, which are in order, that lie within a span of the given length.
func mostWithin(at []time.Time, length time.Duration) int {
	most, first := 0, 0
	for i := range at {
		for at[i].Sub(at[first]) >= length {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
