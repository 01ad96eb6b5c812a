package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { cases["large-entries"] = largeEntries }

const (
	configApply = 3 * time.Second // configApplyMs of the settings
	valueBytes  = 1 << 20         // valueBytes of the settings
	largeWrites = 26
	largePause  = 20 * time.Millisecond // 50 writes a second, writesPerS is 400
)

// largeEntries lets another writer write an entry of unreadable bytes several times in a row. A second later a configuration moves a
// route to another service. The rule CONFIG is broken if a request that was sent more than configApplyMs after the confirmation runs at
// the old service.
func largeEntries(dir string) {
	d := newDeployment(dir, []string{"workshop-board", "delivery-plan"}, routeTo("board", "workshop.example", "/board/", "workshop-board"))
	board := newTraffic("workshop.example", "/board/1/", 1500*time.Millisecond)
	stop := board.start(d.nodes, 25*time.Millisecond)
	time.Sleep(6 * time.Second)
	if isTrouble {
		value := make([]byte, valueBytes)
		for i := range value {
			value[i] = byte(rand.Uint32())
		}
		began := time.Now()
		for range largeWrites {
			d.store.putBytes("servers/i-other", value)
			time.Sleep(largePause)
		}
		note("another writer has written %d times %d unreadable bytes under one key, within %d ms", largeWrites, valueBytes, time.Since(began).Milliseconds())
	}
	time.Sleep(time.Second)
	confirmed := d.configure(20, routeTo("board", "workshop.example", "/board/", "delivery-plan"))
	noteAt(confirmed, "the store has acknowledged version 20: /board/ leads to delivery-plan")
	time.Sleep(30 * time.Second)
	stop()
	note("%s", board.summary())
	ranAt := map[string]run{}
	for _, r := range allRuns(d.servers) {
		noteAt(r.at, "%s of %s runs request %s", r.server, r.svc, r.id)
		ranAt[r.id] = r
	}
	late, old, last := 0, 0, time.Duration(0)
	for _, a := range board.answers {
		if !a.sent.After(confirmed.Add(configApply)) {
			continue
		}
		late++
		if r, ok := ranAt[a.id]; ok && r.svc == "workshop-board" {
			old++
			last = max(last, a.sent.Sub(confirmed))
		}
	}
	note("%d requests were sent later than %v after the confirmation", late, configApply)
	if old > 0 {
		note("the last one that ran at the service of the former version was sent %d ms after the confirmation", last.Milliseconds())
		verdict(old, fmt.Sprintf("CONFIG broken: %d of %d requests ran at the service of the former version", old, late))
	}
	verdict(0, "CONFIG held")
}
