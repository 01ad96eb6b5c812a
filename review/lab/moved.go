package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// movedStore shows instances that follow an old configuration for good after their settings file has named another address of the store.
func movedStore(l *lab) (broken bool, err error) {
	const (
		perSecond    = 40
		configApply  = 3 * time.Second // configApplyMs
		stableWindow = 4 * time.Second // stableWindowMs
		timeout      = 600 * time.Millisecond
		judgedFor    = 12 * time.Second
	)
	var mu sync.Mutex
	runs := make(map[string]int) // by service, of requests that were sent once the new version was due
	due := make(map[string]bool)
	var servers []*server
	for i, service := range []string{"board", "board", "plan", "plan"} {
		s := &server{
			id: fmt.Sprintf("i-%d", i), service: service, zone: l.zoneNames[i%2], slots: 3, queue: 12, rec: l.rec,
			work: func() time.Duration { return time.Duration(5+rand.IntN(10)) * time.Millisecond },
			onRun: func(s *server, id string) {
				mu.Lock()
				defer mu.Unlock()
				if due[id] {
					runs[s.service]++
				}
			},
		}
		if err := s.start(); err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	put := func(version int, service string) {
		var services []map[string]any
		for _, name := range []string{"board", "plan"} {
			services = append(services, map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 0.0})
		}
		l.store.put("op/config", config(version, []map[string]any{
			{"name": "r-1", "host": "shop.example", "prefix": "/pattern/", "type": "idempotent", "timeoutMs": 600, "goalMs": 300, "priority": 1, "service": service, "maxAttempts": 2, "allowedRegions": []string{}},
		}, services))
		l.rec.add("the operator writes version %d: /pattern/ goes to %s", version, service)
	}
	put(7, "board")
	l.beats(servers)
	if err := l.startInstances(l.controls()); err != nil {
		return false, err
	}
	c := newClient(l.rec)
	var wg sync.WaitGroup
	n := 0
	load := func(length time.Duration, isDue bool) {
		for end := time.Now().Add(length); time.Now().Before(end); n++ {
			time.Sleep(time.Second / perSecond)
			id, address := fmt.Sprintf("q%d", n), l.instances[n%len(l.instances)].front
			mu.Lock()
			due[id] = isDue
			mu.Unlock()
			wg.Go(func() { c.send(address, "GET", "/pattern/x", id, "", timeout) })
		}
	}
	load(3*time.Second, false)
	if l.trouble {
		former := l.store.server
		if err := l.store.listen(); err != nil {
			return false, err
		}
		l.rec.add("the store is reachable at its new address %s", l.store.address)
		for _, in := range l.instances {
			if err := in.writeSettings(settingsOptions{seeds: l.controls(), zones: regions, storeAt: l.store.address}); err != nil {
				return false, err
			}
			in.signal(syscall.SIGHUP)
		}
		l.rec.add("the settings files name it, and all instances have got SIGHUP")
		load(6*time.Second, false)
		_ = former.Close()
		l.rec.add("the store has left its former address")
	} else {
		load(6*time.Second, false)
	}
	load(2*stableWindow, false)
	put(8, "plan")
	load(configApply+500*time.Millisecond, false)
	load(judgedFor, true)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	l.rec.say("of the requests sent over %v after version 8 was confirmed, %d were run by plan and %d by board, as only version 7 allows",
		configApply, runs["plan"], runs["board"])
	if runs["plan"]+runs["board"] == 0 {
		return false, errNotServed
	}
	return runs["board"] > 0, nil
}
