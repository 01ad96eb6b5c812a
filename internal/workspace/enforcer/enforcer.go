// Package enforcer keeps the quotas of workspaces together with the other instances. The runner asks it about each request of a workspace;
// it borrows from the lenders of the workspace and lends to other instances. What is decided is in packages quota, roster, lender and
// borrower.
package enforcer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"crocuswing/internal/fleet/membership"
	"crocuswing/internal/task/pause"
	"crocuswing/internal/workspace/borrower"
	"crocuswing/internal/workspace/lender"
	"crocuswing/internal/workspace/quota"
	"crocuswing/internal/workspace/roster"
	"crocuswing/internal/workspace/workspace"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
)

const (
	// updateInterval is the time between two looks at the fleet until this instance lends, and establishedInterval that afterwards.
	updateInterval      = 100 * time.Millisecond
	establishedInterval = time.Second
	// maxWait is the time that a request may wait for loans, and askTimeout that for one lender: the longest round trip between regions and
	// some time for a busy machine. A later answer still counts.
	maxWait     = 50 * time.Millisecond
	askTimeout  = 25 * time.Millisecond
	callTimeout = 250 * time.Millisecond
	// maxGreeted is the number of instances that are called to make a new one known. In larger fleets the gossip does it alone.
	maxGreeted = 64
	// maxAccounts is the number of workspaces without recent requests that are kept.
	maxAccounts = 256
)

// Members lists the other instances and calls them.
type Members interface {
	Members() []membership.Member
	Self() membership.Member
	Call(ctx context.Context, address, method string, request, reply any) error
}

// Workspaces are those of the configuration in force.
type Workspaces interface {
	// Workspace returns the workspace with the given name.
	Workspace(name string) (*workspace.Workspace, bool)
	// HasLimits reports whether any of them has a limit. Without one, no other instance is called.
	HasLimits() bool
}

// Enforcer admits the requests of workspaces within their quotas. It is safe for concurrent use.
type Enforcer struct {
	members    Members
	workspaces Workspaces
	log        *zap.Logger
	count      func(name string)

	mu       sync.Mutex
	rule     quota.Rule
	roster   *roster.Roster
	lender   *lender.Lender
	accounts map[string]*account
	sweepAt  int
	greeted  map[string]bool // instances that know of this one
}

// account is the state of a workspace whose requests this instance gets. The mutex of the Enforcer guards it.
type account struct {
	*borrower.Borrower
	hash     uint64
	quota    workspace.Quota
	plan     quota.Plan
	fleet    borrower.Fleet
	version  uint64 // of the roster
	waiting  int
	pending  chan struct{} // closed when the call in progress has ended or takes too long
	lastUsed time.Time
}

// Option configures an Enforcer.
type Option func(*Enforcer)

// WithCounter calls count with the name of the metric to increment.
func WithCounter(count func(name string)) Option { return func(e *Enforcer) { e.count = count } }

// WithExpectedOthers tells that the settings name other instances. An instance that reaches none of them does not lend for a while.
func WithExpectedOthers() Option { return func(e *Enforcer) { e.roster.ExpectOthers() } }

// New returns an Enforcer that keeps the rule for the workspaces w together with the instances of m.
func New(m Members, rule quota.Rule, w Workspaces, log *zap.Logger, options ...Option) *Enforcer {
	e := &Enforcer{
		members: m, workspaces: w, log: log, count: func(string) {}, rule: rule, roster: roster.New(m.Self().Name, time.Now()),
		lender: lender.New(), accounts: make(map[string]*account), sweepAt: maxAccounts, greeted: make(map[string]bool),
	}
	for _, o := range options {
		o(e)
	}
	return e
}

// SetRule changes the rule.
func (e *Enforcer) SetRule(r quota.Rule) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rule = r
	for _, a := range e.accounts {
		a.quota = workspace.Quota{} // makes update compute the plan again
	}
}

// Admit waits for permission to run a request of a workspace with a limit, at most for a round trip or two. It fails with
// *quota.ExceededError. giveBack returns the permission of a request of which nothing was sent.
func (e *Enforcer) Admit(ctx context.Context, w *workspace.Workspace) (giveBack func(), err error) {
	start := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.checkSuspension(start)
	a := e.account(w, start)
	for {
		now := time.Now()
		e.update(a, w.Quota)
		d := a.Decide(now, a.plan, a.fleet, a.waiting)
		left := maxWait - now.Sub(start)
		switch {
		case d.Action == borrower.Run:
			return func() { e.giveBack(a, d.Permit) }, nil
		case d.Action == borrower.Refuse || left <= 0 || ctx.Err() != nil:
			e.count(`crocuswing_quota_refusals_total`)
			return nil, &quota.ExceededError{
				Workspace: w.Name, Quota: w.Quota, RetryAfter: max(d.RetryAfter, minRetry) + rand.N(minRetry+d.RetryAfter/4),
				Reserve: a.fleet.Reserve, LastGrant: a.LastGrant(), IsLenderLost: d.IsLenderLost,
			}
		case a.pending == nil && d.Lender.Name == e.members.Self().Name:
			e.borrowFromSelf(a, w.Name, d, now)
			continue
		case a.pending == nil:
			e.borrow(a, w.Name, d)
		}
		e.await(ctx, a, left)
	}
}

// minRetry is the shortest time after which a refused caller is told to retry.
const minRetry = 50 * time.Millisecond

func (e *Enforcer) giveBack(a *account, p borrower.Permit) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.Return(time.Now(), p)
}

// account returns the account of a workspace.
func (e *Enforcer) account(w *workspace.Workspace, now time.Time) *account {
	a := e.accounts[w.Name]
	if a == nil {
		if len(e.accounts) >= e.sweepAt {
			e.sweep(now)
		}
		a = &account{Borrower: borrower.New(), hash: roster.Hash(w.Name)}
		e.accounts[w.Name] = a
	}
	a.lastUsed = now
	return a
}

// sweep removes the accounts without a request in the last windows. Their loans have expired and their reserves are full.
func (e *Enforcer) sweep(now time.Time) {
	for name, a := range e.accounts {
		if a.waiting == 0 && a.pending == nil && now.Sub(a.lastUsed) > 2*e.rule.Window {
			delete(e.accounts, name)
		}
	}
	e.sweepAt = max(maxAccounts, 2*len(e.accounts))
}

// update brings the plan and the fleet of an account up to date.
func (e *Enforcer) update(a *account, q workspace.Quota) {
	isNew := a.quota != q
	if isNew {
		a.quota, a.plan = q, e.rule.Plan(q)
	}
	if v := e.roster.Version(); isNew || a.version != v {
		a.version = v
		a.fleet = borrower.Fleet{Lenders: e.roster.Lenders(a.hash, a.plan.Lenders), Reserve: e.roster.Reserve(a.hash, a.plan.Reserve)}
	}
}

// await waits for the end of the call in progress, with the mutex unlocked.
func (e *Enforcer) await(ctx context.Context, a *account, left time.Duration) {
	pending := a.pending
	a.waiting++
	e.mu.Unlock()
	timer := time.NewTimer(left)
	select {
	case <-pending:
	case <-timer.C:
	case <-ctx.Done():
	}
	timer.Stop()
	e.mu.Lock()
	a.waiting--
}

func (e *Enforcer) borrowFromSelf(a *account, name string, d borrower.Decision, now time.Time) {
	r := e.lend(Request{Workspace: name, Want: d.Want}, now)
	e.record(a, d, now, now, r)
}

// borrow calls a lender in the background.
func (e *Enforcer) borrow(a *account, name string, d borrower.Decision) {
	pending := make(chan struct{})
	a.pending = pending
	asked := time.Now()
	end := func() {
		if a.pending == pending {
			a.pending = nil
			close(pending)
		}
	}
	late := time.AfterFunc(askTimeout, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if a.pending == pending {
			a.Failed(time.Now(), d.Lender)
		}
		end()
	})
	go func() {
		defer late.Stop()
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		self := e.members.Self()
		var r Reply
		err := e.members.Call(ctx, d.Lender.Address, Method, Request{Name: self.Name, Address: self.Address, Workspace: name, Want: d.Want}, &r)
		e.count("crocuswing_quota_calls_total")
		e.mu.Lock()
		defer e.mu.Unlock()
		defer end()
		if err != nil {
			e.count("crocuswing_quota_call_failures_total")
			a.Failed(time.Now(), d.Lender)
			return
		}
		e.record(a, d, asked, time.Now(), r)
	}()
}

// record passes the reply of a lender to the borrower.
func (e *Enforcer) record(a *account, d borrower.Decision, asked, now time.Time, r Reply) {
	switch {
	case !r.IsLender:
		a.NotLending(now, d.Lender)
	case r.Granted <= 0:
		a.Denied(now, d.Lender, time.Duration(r.WaitUS)*time.Microsecond)
	default:
		a.Granted(asked, d.Lender, min(r.Granted, d.Want), min(time.Duration(r.LifeUS)*time.Microsecond, a.plan.Life))
	}
}

// Handle answers the call of another instance.
func (e *Enforcer) Handle(_ context.Context, body []byte) (any, error) {
	var q Request
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, fmt.Errorf("%s: %w", Method, err)
	}
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.roster.Heard(now, roster.Member{Name: q.Name, Address: q.Address})
	return e.lend(q, now), nil
}

// lend lends permissions if this instance is a lender of the workspace.
func (e *Enforcer) lend(q Request, now time.Time) Reply {
	e.checkSuspension(now)
	r := Reply{Known: e.roster.Known()}
	w, ok := e.workspaces.Workspace(q.Workspace)
	if !ok || !w.IsLimited() || q.Want <= 0 {
		return r
	}
	plan := e.rule.Plan(w.Quota)
	since, ok := e.roster.LendingSince(roster.Hash(w.Name), plan.Lenders)
	if !ok || now.Before(since) {
		return r
	}
	loan := e.lender.Lend(now, w.Name, plan, e.roster.Share(now), since, q.Want)
	r.IsLender, r.Granted, r.LifeUS, r.WaitUS = true, loan.Granted, plan.Life.Microseconds(), loan.Wait.Microseconds()
	return r
}

// Run follows the fleet until ctx ends.
func (e *Enforcer) Run(ctx context.Context) {
	for {
		e.follow(ctx)
		interval := updateInterval
		e.mu.Lock()
		if e.roster.IsEstablished() {
			interval = establishedInterval
		}
		e.mu.Unlock()
		if !pause.For(ctx, interval) {
			return
		}
	}
}

// follow updates the view of the fleet and makes this instance known.
func (e *Enforcer) follow(ctx context.Context) {
	var running []roster.Member
	for _, m := range e.members.Members() {
		running = append(running, roster.Member{Name: m.Name, Address: m.Address})
	}
	now := time.Now()
	e.mu.Lock()
	e.checkSuspension(now)
	e.roster.Update(now, running)
	mustGreet := e.roster.IsSettled() && !e.roster.IsEstablished() && e.workspaces.HasLimits()
	present := e.roster.Present()
	if mustGreet && !e.roster.MustWait(now) {
		e.establish(now)
		mustGreet = false
	}
	e.mu.Unlock()
	if mustGreet && len(present) <= maxGreeted {
		e.greet(ctx, present)
	}
}

// checkSuspension clears what was lent and borrowed if this process was suspended.
func (e *Enforcer) checkSuspension(now time.Time) {
	if !e.roster.CheckSuspension(now) {
		return
	}
	e.log.Warn("this process was suspended: loans and buckets are cleared")
	e.lender.Clear()
	clear(e.greeted)
	for _, a := range e.accounts {
		a.Clear()
	}
}

// establish lets this instance lend.
func (e *Enforcer) establish(now time.Time) {
	e.roster.Establish(now)
	e.log.Info("this instance lends quotas", zap.Int("instances", e.roster.Known()))
}
