// Package group counts goroutines that run on in the background.
package group

import (
	"context"
	"sync"
)

// Group counts running functions. Unlike sync.WaitGroup it allows Go while another goroutine waits,
// whatever the count, and leaves nothing behind when a wait is given up. The zero value is ready for use
// and safe for concurrent use.
type Group struct {
	mu      sync.Mutex
	running int
	idle    chan struct{} // closed when running falls to 0; nil while nobody waits
}

// Go runs f in a goroutine.
func (g *Group) Go(f func()) {
	g.mu.Lock()
	g.running++
	g.mu.Unlock()
	go func() {
		defer g.done()
		f()
	}()
}

// Wait blocks until nothing runs or ctx ends, and gives the number of functions that still run.
func (g *Group) Wait(ctx context.Context) int {
	for {
		idle, running := g.watch()
		if running == 0 {
			return 0
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return running
		}
	}
}

func (g *Group) watch() (idle chan struct{}, running int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	return g.idle, g.running
}

func (g *Group) done() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if g.running == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}
