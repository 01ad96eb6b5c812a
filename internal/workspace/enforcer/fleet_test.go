package enforcer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"crocuswing/internal/fleet/membership"
	"crocuswing/internal/workspace/quota"
	"crocuswing/internal/workspace/workspace"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
)

var rule = quota.Rule{Window: 5 * time.Second, Overage: 0.25, Slack: 20}

// The simulated gossip makes an instance known within discoveryTime of its start, or startupTime among instances that start together,
// and drops it failureTime after it was last heard, up to failureSpread later at some instances.
const (
	startupTime   = time.Second
	discoveryTime = 12 * time.Second
	failureTime   = 23 * time.Second
	failureSpread = 10 * time.Second
	crossing      = 3 * time.Millisecond
)

var errLost = errors.New("no answer")

// fleet is a number of instances in one synctest bubble. Instances in different parts do not reach each other.
type fleet struct {
	t     *testing.T
	mu    sync.Mutex
	nodes []*node
	rng   *rand.Rand
	calls int
	all   map[string]*workspace.Workspace
	runs  map[string][]time.Time
	stop  context.CancelFunc
	ctx   context.Context

	applyMu   chanMutex // one disruption at a time
	startedAt time.Time
	loweredAt time.Time
}

// chanMutex is a mutex on which goroutines wait durably in the sense of package synctest.
type chanMutex chan struct{}

func (m chanMutex) Lock()   { m <- struct{}{} }
func (m chanMutex) Unlock() { <-m }

// node is one instance and what the gossip tells it.
type node struct {
	*fleet
	index       int
	entry       membership.Member
	enforcer    *Enforcer
	kill        context.CancelFunc
	isUp        bool
	isOld       bool // of a release without the call
	part        int
	frozenUntil time.Time
	startedAt   time.Time
	heard       []time.Time // when each other instance was last heard; zero if it is not known
	missed      []time.Duration
	delay       []time.Duration
}

func newFleet(t *testing.T, n int, seed uint64, all ...*workspace.Workspace) *fleet {
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 1)), all: make(map[string]*workspace.Workspace), runs: make(map[string][]time.Time), applyMu: make(chanMutex, 1), startedAt: time.Now()}
	f.ctx, f.stop = context.WithCancel(t.Context())
	for _, w := range all {
		f.all[w.Name] = w
	}
	for i := range n {
		f.nodes = append(f.nodes, &node{fleet: f, index: i, entry: membership.Member{Name: fmt.Sprint("i-", i), Address: fmt.Sprint(i)}})
	}
	for _, v := range f.nodes {
		v.start()
	}
	return f
}

func (f *fleet) Workspace(name string) (*workspace.Workspace, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.all[name]
	return w, ok
}

func (f *fleet) HasLimits() bool { return true }

// start starts or restarts the instance. It knows nobody.
func (v *node) start() {
	v.stopProcess()
	v.mu.Lock()
	n := len(v.nodes)
	v.isUp, v.startedAt = true, time.Now()
	v.heard, v.missed, v.delay = make([]time.Time, n), make([]time.Duration, n), make([]time.Duration, n)
	for i := range n {
		v.missed[i] = failureTime + time.Duration(v.rng.Int64N(int64(failureSpread)))
		v.delay[i] = time.Duration(v.rng.Int64N(int64(startupTime)))
		if other := v.nodes[i]; other.isUp && other.heard != nil && time.Since(other.startedAt) > startupTime && other.heard[v.index].IsZero() {
			other.delay[v.index] = time.Duration(v.rng.Int64N(int64(discoveryTime)))
		}
	}
	v.mu.Unlock()
	var ctx context.Context
	ctx, v.kill = context.WithCancel(v.ctx)
	e := New(v, rule, v.fleet, zap.NewNop(), WithExpectedOthers())
	v.mu.Lock()
	v.enforcer = e
	v.mu.Unlock()
	go e.Run(ctx)
}

func (v *node) stopProcess() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.isUp = false
	if v.kill != nil {
		v.kill()
	}
}

func (v *node) Self() membership.Member { return v.entry }

// Members returns what the gossip has told the instance so far. A frozen instance does not get on.
func (v *node) Members() []membership.Member {
	v.thaw()
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	members := make([]membership.Member, 0, len(v.nodes))
	for i, o := range v.nodes {
		if o == v {
			continue
		}
		if o.isUp && o.part == v.part && !now.Before(o.frozenUntil) && now.Sub(o.startedAt) >= v.delay[i] && now.Sub(v.startedAt) >= min(v.delay[i], startupTime) {
			v.heard[i] = now
		}
		if !v.heard[i].IsZero() && now.Sub(v.heard[i]) < v.missed[i] {
			members = append(members, o.entry)
		}
	}
	return members
}

func (v *node) thaw() {
	v.mu.Lock()
	left := time.Until(v.frozenUntil)
	v.mu.Unlock()
	if left > 0 {
		time.Sleep(left)
	}
}

// Call passes a call to another instance, unless one of the two is cut off, stopped or frozen.
func (v *node) Call(ctx context.Context, address, _ string, request, reply any) error {
	var to int
	_, _ = fmt.Sscan(address, &to)
	o := v.nodes[to]
	body, err := msgpack.Marshal(request)
	require.NoError(v.t, err)
	v.mu.Lock()
	v.calls++
	isReached := o.isUp && o.part == v.part && !o.isOld
	v.mu.Unlock()
	if !isReached {
		<-ctx.Done()
		return errLost
	}
	time.Sleep(crossing)
	o.thaw()
	v.mu.Lock()
	e := o.enforcer
	v.mu.Unlock()
	answer, err := e.Handle(ctx, body)
	if err != nil || ctx.Err() != nil {
		return errLost
	}
	time.Sleep(crossing)
	text, err := msgpack.Marshal(answer)
	require.NoError(v.t, err)
	return msgpack.Unmarshal(text, reply)
}

// request sends a request to the instance and reports whether it was admitted.
func (v *node) request(name string) error {
	w, _ := v.Workspace(name)
	v.mu.Lock()
	e, usable := v.enforcer, v.isUp && !time.Now().Before(v.frozenUntil)
	v.mu.Unlock()
	if !usable {
		return errLost
	}
	_, err := e.Admit(v.ctx, w)
	if err == nil {
		v.mu.Lock()
		v.runs[name] = append(v.runs[name], time.Now())
		v.mu.Unlock()
	}
	return err
}

func (f *fleet) countCalls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// peak returns the largest number of requests of a workspace that ran within a window.
func (f *fleet) peak(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	runs, first, most := f.runs[name], 0, 0
	for i, at := range runs {
		for at.Sub(runs[first]) >= rule.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// bucket is the quota as a caller understands it.
type bucket struct {
	quota workspace.Quota
	level float64
	at    time.Time
}

func newBucket(q workspace.Quota) *bucket {
	return &bucket{quota: q, level: max(1, q.Burst), at: time.Now()}
}

// permits reports whether a request now is within the quota.
func (b *bucket) permits() bool {
	now := time.Now()
	b.level = min(max(1, b.quota.Burst), b.level+now.Sub(b.at).Seconds()*b.quota.Rate)
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// load is the requests of one workspace at some instances.
type load struct {
	name  string
	nodes []int
	rate  func(since time.Duration) float64
}

// result counts the requests of a load.
type result struct{ within, refused, over, admittedOver, failed int }

// run sends requests with exponentially distributed gaps for d and returns the result when all have ended.
func (f *fleet) run(l load, d time.Duration, seed uint64) result {
	rng := rand.New(rand.NewPCG(seed, 2))
	w, _ := f.Workspace(l.name)
	b := newBucket(w.Quota)
	var r result
	var mu sync.Mutex
	var all sync.WaitGroup
	for start := time.Now(); ; {
		rate := l.rate(time.Since(start))
		time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if time.Since(start) > d {
			break
		}
		to := f.nodes[l.nodes[rng.IntN(len(l.nodes))]]
		isWithin := b.permits()
		all.Go(func() {
			err := to.request(l.name)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case errors.Is(err, errLost):
				r.failed++
			case isWithin:
				r.within++
				if err != nil {
					r.refused++
				}
			default:
				r.over++
				if err == nil {
					r.admittedOver++
				}
			}
		})
	}
	all.Wait()
	return r
}
