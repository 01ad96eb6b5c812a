// Package admission bounds what each caller may have in flight.
package admission

import (
	"fmt"
	"sync"

	"crocuswing/internal/config/class"
)

// Admission counts the requests in flight of each caller. It is safe for concurrent use.
type Admission struct {
	mu    sync.Mutex
	inUse map[string]use
}

type use struct{ requests, cost int }

// Error refuses a request before anything of it was dispatched.
type Error struct{ Caller, Reason string }

// Error gives caller and reason.
func (e *Error) Error() string { return fmt.Sprintf("caller %s: %s", e.Caller, e.Reason) }

// New makes an admission with nothing in flight.
func New() *Admission {
	return &Admission{inUse: make(map[string]use)}
}

// Admit takes a request that touches cost shards into the caller's limits. The caller of Admit
// calls release when the request has ended. It fails with *Error.
func (a *Admission) Admit(caller string, c class.Class, cost int) (release func(), err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.inUse[caller]
	if u.requests >= c.Concurrency {
		return nil, &Error{Caller: caller, Reason: "too many requests in flight"}
	}
	if u.requests > 0 && u.cost+cost > c.Cost {
		return nil, &Error{Caller: caller, Reason: "requests in flight touch too many shards"}
	}
	a.inUse[caller] = use{requests: u.requests + 1, cost: u.cost + cost}
	return func() { a.release(caller, cost) }, nil
}

func (a *Admission) release(caller string, cost int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.inUse[caller]
	u = use{requests: u.requests - 1, cost: u.cost - cost}
	if u.requests == 0 {
		delete(a.inUse, caller)
		return
	}
	a.inUse[caller] = u
}
