package main

import (
	"fmt"
	"time"
)

func init() { cases["clock-of-a-server"] = clockOfServer }

const (
	drainTime = 3 * time.Second // drainMs
	clockStep = 2 * time.Second // the default of clock_step
)

// clockOfServer lets the time of day of one server's machine jump back right after the server has started. The server crashes and starts
// again under its id and at its address. Later it drains. The rule DRAIN is broken if a request reaches it more than drainMs after the
// store has acknowledged the state draining.
func clockOfServer(dir string) {
	d := newDeployment(dir, []string{"workshop-board"}, routeTo("board", "workshop.example", "/board/", "workshop-board"))
	board := newTraffic("workshop.example", "/board/1/", 1500*time.Millisecond)
	stop := board.start(d.nodes, 25*time.Millisecond)
	time.Sleep(3 * time.Second)
	v := newServer("i-workshop-board-3", "workshop-board", zones[2], 10*time.Millisecond, d.store)
	d.servers = append(d.servers, v)
	note("server %s starts at %s, born %d", v.id, v.address, v.born)
	time.Sleep(1200 * time.Millisecond)
	offset := time.Duration(0)
	if isTrouble {
		offset = -clockStep
		note("the time of day jumps back by %v on the machine of %s", clockStep, v.id)
	}
	v.restart(offset)
	note("%s crashes and starts again at %s, born %d", v.id, v.address, v.born)
	time.Sleep(10 * time.Second)
	confirmed := v.drain()
	noteAt(confirmed, "the store has acknowledged that %s is draining", v.id)
	time.Sleep(8 * time.Second)
	stop()
	note("%s", board.summary())
	late := 0
	for _, r := range allRuns(d.servers) {
		text := ""
		if r.server == v.id && r.at.After(confirmed.Add(drainTime)) {
			late++
			text = fmt.Sprintf(", LATE: %d ms after the confirmation", r.at.Sub(confirmed).Milliseconds())
		}
		noteAt(r.at, "server %s runs request %s%s", r.server, r.id, text)
	}
	if late > 0 {
		verdict(late, fmt.Sprintf("DRAIN broken: %d requests reached the server later than %v after the confirmation", late, drainTime))
	}
	verdict(0, "DRAIN held")
}
