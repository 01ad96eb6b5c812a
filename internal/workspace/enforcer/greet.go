package enforcer

import (
	"context"
	"errors"
	"sync"
	"time"

	"crocuswing/internal/peer/client"
	"crocuswing/internal/workspace/roster"
)

// greet makes this instance known to the others, so that they do not lend in its place, and lets it lend if all of them have answered. An
// instance that refuses the call is of a former release and lends nothing.
func (e *Enforcer) greet(ctx context.Context, present []roster.Member) {
	self := e.members.Self()
	var calls sync.WaitGroup
	for _, m := range present {
		e.mu.Lock()
		isGreeted := e.greeted[m.Name]
		e.mu.Unlock()
		if isGreeted {
			continue
		}
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			var r Reply
			err := e.members.Call(ctx, m.Address, Method, Request{Name: self.Name, Address: self.Address}, &r)
			var refused *client.RefusedError
			if err != nil && !errors.As(err, &refused) {
				return
			}
			e.mu.Lock()
			defer e.mu.Unlock()
			e.greeted[m.Name] = true
			e.roster.Reported(time.Now(), r.Known)
		})
	}
	calls.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range e.roster.Present() {
		if !e.greeted[m.Name] {
			return
		}
	}
	if now := time.Now(); ctx.Err() == nil && e.roster.IsSettled() && !e.roster.IsEstablished() {
		e.establish(now)
	}
}
