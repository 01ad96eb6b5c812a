// Command lab runs the scripts of the second review: it starts the system's processes among stand-ins, brings about one trouble and judges
// what clients and servers saw.
//
//	lab CASE ROOT RECORD
//
// CASE is the name of a case, ROOT the repository, RECORD the file for what was sent, answered and run. The variable TROUBLE=0 leaves the
// trouble out. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

var errNotServed = errors.New("no request was served")

// lab holds what the cases share: a store and four instances in three zones.
type lab struct {
	rec       *record
	store     *store
	trouble   bool
	zoneNames []string
	instances []*instance
}

var cases = map[string]func(*lab) (bool, error){
	"late-copies": lateCopies, "restarted-together": restartedTogether, "moved-store": movedStore,
	"changed-target": changedTarget,
	"cold-again":     coldAgain,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Println("usage: lab CASE ROOT RECORD")
		return 2
	}
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer os.RemoveAll(dir)
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer rec.close()
	l := &lab{rec: rec, trouble: os.Getenv("TROUBLE") != "0", zoneNames: []string{"south-a", "central-a", "north-a"}}
	if l.store, err = newStore(); err != nil {
		fmt.Println(err)
		return 2
	}
	for i, zone := range []int{0, 0, 1, 2} {
		in, err := newInstance(dir, os.Args[2], fmt.Sprintf("front-%d", i), l.zoneNames[zone], regions[l.zoneNames[zone]])
		if err != nil {
			fmt.Println(err)
			return 2
		}
		l.instances = append(l.instances, in)
	}
	defer func() {
		for _, in := range l.instances {
			in.kill()
		}
		if os.Getenv("KEEP") != "" {
			_ = os.CopyFS(os.Getenv("KEEP"), os.DirFS(dir))
		}
	}()
	broken, err := cases[os.Args[1]](l)
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return 2
	case broken:
		rec.say("the rule was broken")
		return 1
	}
	rec.say("the rule held")
	return 0
}

var regions = map[string]string{"south-a": "south", "central-a": "central", "north-a": "north"}

// controls returns the addresses of the first three instances, one of each zone.
func (l *lab) controls() []string {
	return []string{l.instances[0].control, l.instances[2].control, l.instances[3].control}
}

// startInstances writes the settings of all instances, starts them and waits until they are ready and know each other.
func (l *lab) startInstances(seeds []string) error {
	for _, in := range l.instances {
		if err := in.writeSettings(settingsOptions{seeds: seeds, zones: regions, storeAt: l.store.address}); err != nil {
			return err
		}
		if err := in.start(); err != nil {
			return err
		}
	}
	if !waitReady(l.instances, 8*time.Second) {
		return errors.New("an instance is not ready")
	}
	time.Sleep(2 * time.Second)
	return nil
}

// beats registers the servers and writes their reports each 1,200 ms.
func (l *lab) beats(servers []*server) {
	for _, s := range servers {
		l.store.put("servers/"+s.id, s.beat("ready", 1, 0))
	}
	go func() {
		for seq := 2; ; seq++ {
			time.Sleep(1200 * time.Millisecond)
			for _, s := range servers {
				l.store.put("servers/"+s.id, s.beat("ready", seq, 0))
			}
		}
	}()
}

func config(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}
