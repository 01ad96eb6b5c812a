package coordinator_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"crocuswing/internal/config/set"
	"crocuswing/internal/fleet/view"
	"crocuswing/internal/index/shard"
	"crocuswing/internal/order/coordinator"
	"crocuswing/internal/order/outcome"
	"crocuswing/internal/upstream/failure"
	"crocuswing/internal/wire/order"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

var (
	key       = []byte("0123456789abcdef")
	instances = []string{"north-1", "north-2", "south-1", "south-2"}
	errLost   = errors.New("connection was lost")
)

// fresh is a Viewer whose view permits everything.
type fresh struct{ view view.View }

func newFresh(tb testing.TB) fresh {
	s, err := set.Parse(1, map[string][]byte{
		"in-force": []byte(`{"preset": "p"}`),
		"preset/p": []byte(`{"name": "p", "deadline-ms": 1000, "answer-policy": "coverage", "hedge-quantile": 0.95, "hedge-share": 0, "retry-share": 0, "allow-orders-without-ticket": true}`),
		"service/order-entry": []byte(`{"name": "order-entry", "kind": "order", "contract": {"slots": 2, "connections": 4, "cold-slots": 1, "warm-after": 1},
			"layouts": [{"snapshot": "s1", "shards": [{"name": "0", "replicas": ["a", "b"]}]}]}`),
	})
	require.NoError(tb, err)
	return fresh{view: view.View{}.WithConfig(s)}
}

func (f fresh) Fresh(context.Context) (view.View, error) { return f.view, nil }

// world holds coordinators that forward to each other in memory, and the record of what the upstreams ran.
// Faults are drawn from the seed and the name of the event, so that they do not depend on scheduling.
type world struct {
	fresh
	seed  uint64
	fault fault

	mu          sync.Mutex
	desks       map[string]*process
	incarnation uint64
	ran         map[string]int // by body
	forwards    int            // calls between processes
}

// process is one incarnation of an instance. It is a Sender and a Forwarder that dies with it.
type process struct {
	*coordinator.Coordinator
	world *world
	name  string
	dead  chan struct{} // closed when the process was killed
	awake chan struct{} // closed unless the process is paused
}

// fault tells what goes wrong. Shares lie in 0 to 1 and count attempts or calls.
type fault struct {
	name     string
	share    float64
	upstream func(ctx context.Context, w *world, q order.Request) (order.Reply, error)
	unsent   float64 // calls that are not sent
	lost     float64 // calls that do not arrive
	unheard  float64 // calls whose answer is lost
	kills    bool    // processes are replaced
	pauses   bool    // processes are paused
}

func newWorld(f fresh, seed uint64, fl fault) *world {
	w := &world{fresh: f, seed: seed, fault: fl, desks: make(map[string]*process), ran: make(map[string]int)}
	for _, name := range instances {
		w.start(name)
	}
	return w
}

// start replaces the named process by a new incarnation.
func (w *world) start(name string) {
	awake := make(chan struct{})
	close(awake)
	p := &process{world: w, name: name, dead: make(chan struct{}), awake: awake}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnation++
	p.Coordinator = coordinator.New(name, w.incarnation, key, p, minter{p}, w.fresh)
	if old, ok := w.desks[name]; ok {
		close(old.dead)
	}
	w.desks[name] = p
}

// pause stops the named process for d.
func (w *world) pause(name string, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	awake := make(chan struct{})
	w.desks[name].awake = awake
	time.AfterFunc(d, func() { close(awake) })
}

func (w *world) process(name string) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.desks[name]
}

// roll draws a number in 0 to 1 for the named event.
func (w *world) roll(event ...any) float64 {
	return float64(xxhash.Sum64String(fmt.Sprint(w.seed, w.fault.name, event))>>11) / (1 << 53)
}

func (w *world) run(q order.Request) order.Reply {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ran[q.Body]++
	return order.Reply{RequestID: q.RequestID, OrderID: q.Body}
}

func (w *world) times(body string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ran[body]
}

// wake blocks while the process is paused, and for ever once it is dead.
func (p *process) wake(ctx context.Context) bool {
	p.world.mu.Lock()
	awake := p.awake
	p.world.mu.Unlock()
	select {
	case <-p.dead:
		return false
	default:
	}
	select {
	case <-awake:
		return true
	case <-p.dead:
	case <-ctx.Done():
	}
	return false
}

func (p *process) Choose(s shard.Shard, tried []string) (string, bool) {
	if len(tried) == len(s.Replicas) {
		return "", false
	}
	return s.Replicas[len(tried)], true
}

// Order runs one attempt with the world's fault at its share. A paused process sends it late, a dead one never.
func (p *process) Order(ctx context.Context, upstream string, q order.Request) (order.Reply, error) {
	w := p.world
	if !p.wake(context.WithoutCancel(ctx)) {
		return order.Reply{}, errLost
	}
	time.Sleep(time.Duration(1+w.roll("service", q.RequestID)*20) * time.Millisecond)
	if w.fault.upstream != nil && w.roll("upstream", q.RequestID, upstream) < w.fault.share {
		return w.fault.upstream(ctx, w, q)
	}
	reply := w.run(q)
	if !p.wake(ctx) {
		return order.Reply{}, errLost
	}
	return reply, nil
}

// Forward carries a placement to its owner, or loses it or the answer.
func (p *process) Forward(ctx context.Context, owner string, q coordinator.Placement) (outcome.Outcome, error) {
	w := p.world
	event := []any{p.name, q.Action, q.Body, q.Ticket, time.Now().UnixNano()}
	if w.roll("unsent", event) < w.fault.unsent {
		return outcome.Outcome{}, &coordinator.UnsentError{Err: errLost}
	}
	time.Sleep(time.Millisecond)
	to := w.process(owner)
	w.mu.Lock()
	w.forwards++
	w.mu.Unlock()
	if w.roll("lost", event) < w.fault.lost || !to.wake(ctx) {
		<-ctx.Done()
		return outcome.Outcome{}, ctx.Err()
	}
	o := to.HandleForwarded(ctx, q)
	if w.roll("unheard", event) < w.fault.unheard || !to.wake(ctx) {
		<-ctx.Done()
		return outcome.Outcome{}, ctx.Err()
	}
	return o, nil
}

// minter takes tickets from the other processes.
type minter struct{ *process }

func (m minter) Mint(_ context.Context, c coordinator.MintRequest) (coordinator.MintReply, error) {
	for _, name := range instances {
		if g, err := m.world.process(name).MintForPeer(c); err == nil {
			return g, nil
		}
	}
	return coordinator.MintReply{}, errLost
}

// notSent is the failure of an attempt that is proven not to have run.
func notSent(kind string) func(context.Context, *world, order.Request) (order.Reply, error) {
	return func(context.Context, *world, order.Request) (order.Reply, error) {
		return order.Reply{}, &failure.Failure{Upstream: "u", Kind: kind, NotRun: true}
	}
}

// broken is the failure of an attempt that half of the upstreams ran.
func broken(kind string) func(context.Context, *world, order.Request) (order.Reply, error) {
	return func(_ context.Context, w *world, q order.Request) (order.Reply, error) {
		if w.roll("ran", q.RequestID) < 0.5 {
			w.run(q)
		}
		return order.Reply{}, &failure.Failure{Upstream: "u", Kind: kind}
	}
}

// late answers after the caller's deadline.
func late(_ context.Context, w *world, q order.Request) (order.Reply, error) {
	reply := w.run(q)
	time.Sleep(5 * time.Second)
	return reply, nil
}

// silent never answers.
func silent(ctx context.Context, w *world, q order.Request) (order.Reply, error) {
	w.run(q)
	<-ctx.Done()
	return order.Reply{}, &failure.Failure{Upstream: "u", Kind: failure.KindTimeout, Err: ctx.Err()}
}
