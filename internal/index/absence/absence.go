// Package absence remembers which snapshots the upstreams were found not to serve.
package absence

import (
	"slices"
	"sync"
	"time"
)

// period is the time after which an absent snapshot is tried again.
const period = time.Second

// Absence holds the absent snapshots by service. It is safe for concurrent use.
type Absence struct {
	mu     sync.Mutex
	absent map[string][]entry
}

type entry struct {
	snapshot string
	until    time.Time
}

// New makes an absence that knows of none.
func New() *Absence { return &Absence{absent: make(map[string][]entry)} }

// Add records that the snapshot was found absent at now.
func (a *Absence) Add(service, snapshot string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(service, now)
	others := slices.DeleteFunc(a.absent[service], func(e entry) bool { return e.snapshot == snapshot })
	a.absent[service] = append(others, entry{snapshot: snapshot, until: now.Add(period)})
}

// Snapshots gives the snapshots of a service that were found absent within the last second.
func (a *Absence) Snapshots(service string, now time.Time) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(service, now)
	var names []string
	for _, e := range a.absent[service] {
		names = append(names, e.snapshot)
	}
	return names
}

func (a *Absence) expire(service string, now time.Time) {
	if len(a.absent[service]) == 0 {
		return
	}
	a.absent[service] = slices.DeleteFunc(a.absent[service], func(e entry) bool { return !now.Before(e.until) })
	if len(a.absent[service]) == 0 {
		delete(a.absent, service)
	}
}
