package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// lateCopies shows requests that may run once and run twice after a server has sent a second copy of a refusal, late, where the answer to
// the next request on the connection is due. The identifier does not tell the copy apart if the next request there is the same one again.
func lateCopies(l *lab) (broken bool, err error) {
	const (
		share     = 0.5  // of the servers of the service, 0.6 at most
		doubled   = 0.04 // of their answers, 0.04 at most
		onFor     = 5 * time.Second
		offFor    = 2 * time.Second
		perSecond = 48
		length    = 104 * time.Second
		timeout   = 1500 * time.Millisecond
	)
	var mu sync.Mutex
	runs := make(map[string]int)
	statuses := make(map[string]int)
	start := time.Now()
	isOn := func() bool { return l.trouble && time.Since(start)%(onFor+offFor) < onFor }

	var servers []*server
	for i := range 2 {
		s := &server{
			id: fmt.Sprintf("i-%d", i), service: "orders", zone: l.zoneNames[i], slots: 2, queue: 2, rec: l.rec,
			work:  func() time.Duration { return time.Duration(25+rand.IntN(30)) * time.Millisecond },
			onRun: func(_ *server, id string) { mu.Lock(); runs[id]++; mu.Unlock() },
		}
		if float64(i) < share*2 {
			s.doubles = func(*server, int) bool { return isOn() && rand.Float64() < doubled }
		}
		if err := s.start(); err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	l.store.put("op/config", config(7, []map[string]any{
		{"name": "r-1", "host": "shop.example", "prefix": "/order/", "type": "non_idempotent", "timeoutMs": 1500, "goalMs": 300, "priority": 1, "service": "orders", "maxAttempts": 2, "allowedRegions": []string{"south"}},
	}, []map[string]any{{"name": "orders", "healthPath": "/healthz", "maxConns": 26, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 0.0}}))
	l.beats(servers)
	if err := l.startInstances(l.controls()); err != nil {
		return false, err
	}
	start = time.Now()
	c := newClient(l.rec)
	var wg sync.WaitGroup
	for n := 0; time.Since(start) < length; n++ {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / perSecond))
		id, address := fmt.Sprintf("q%d", n), l.instances[rand.IntN(len(l.instances))].front
		wg.Go(func() {
			status := c.send(address, "POST", "/order/x", id, "two covers", timeout)
			mu.Lock()
			statuses[id] = status
			mu.Unlock()
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	twice, refused, served := 0, 0, 0
	for id, n := range runs {
		if n > 1 {
			twice++
			l.rec.add("TWICE: %s ran %d times, the client got %d", id, n, statuses[id])
		}
		switch statuses[id] {
		case 429, 503, 408, 421:
			refused++
			l.rec.add("REFUSED: %s ran and the client got %d", id, statuses[id])
		case 200:
			served++
		}
	}
	l.rec.say("%d requests, %d served, %d ran more than once, %d ran and were refused", len(statuses), served, twice, refused)
	if served == 0 {
		return false, errNotServed
	}
	return twice+refused > 0, nil
}
