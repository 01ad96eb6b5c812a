// Package group tracks background goroutines, so that a stop can wait for them with a deadline.
package group

import (
	"context"
	"sync"
)

// Group tracks running functions. Unlike sync.WaitGroup, it allows Go during a Wait at any count, also at 0, and a Wait that
// is canceled leaves no goroutine behind. The zero value is ready for use and safe for concurrent use.
type Group struct {
	mu      sync.Mutex
	running int
	idle    chan struct{} // closed when running drops to 0; nil if there is no waiter
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

// Wait blocks until no function runs or ctx is done, and returns the number of functions that still run.
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

// watch returns a channel that is closed when running drops to 0, and the present value of running.
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
