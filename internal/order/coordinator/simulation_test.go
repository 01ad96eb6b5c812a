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
	key               = []byte("0123456789abcdef")
	instances         = []string{"north-1", "north-2", "south-1", "south-2"}
	errConnectionLost = errors.New("connection was lost")
)

// staticViewer is a Viewer that always returns the same view.
type staticViewer struct{ view view.View }

func newStaticViewer(tb testing.TB) staticViewer {
	cfg, err := set.Parse(1, map[string][]byte{
		"in-force": []byte(`{"preset": "p"}`),
		"preset/p": []byte(`{"name": "p", "deadline-ms": 1000, "answer-policy": "coverage", "hedge-quantile": 0.95, "hedge-share": 0, "retry-share": 0, "allow-orders-without-ticket": true}`),
		"service/order-entry": []byte(`{"name": "order-entry", "kind": "order", "contract": {"slots": 2, "connections": 4, "cold-slots": 1, "warm-after": 1},
			"layouts": [{"snapshot": "s1", "shards": [{"name": "0", "replicas": ["a", "b"]}]}]}`),
	})
	require.NoError(tb, err)
	return staticViewer{view: view.View{}.WithConfig(cfg)}
}

func (v staticViewer) Fresh(context.Context) (view.View, error) { return v.view, nil }

// simulation holds coordinators that forward to each other in memory, and counts the orders that the upstreams ran.
// Faults are drawn from the seed and the name of the event, so that they do not depend on scheduling.
type simulation struct {
	staticViewer
	seed  uint64
	fault fault

	mu          sync.Mutex
	processes   map[string]*process
	incarnation uint64
	executed    map[string]int // by body
	forwards    int            // calls between processes
}

// process is one incarnation of an instance. It is also the Sender and the Forwarder of its coordinator.
type process struct {
	*coordinator.Coordinator
	sim     *simulation
	name    string
	killed  chan struct{} // closed when the process is killed
	resumed chan struct{} // closed unless the process is paused
}

// fault describes the faults to inject. All shares are between 0 and 1.
type fault struct {
	name          string
	share         float64 // share of attempts that reach the faulty upstream
	upstream      func(ctx context.Context, sim *simulation, q order.Request) (order.Reply, error)
	requestUnsent float64 // share of calls that fail before they are sent
	requestLost   float64 // share of calls that do not arrive
	replyLost     float64 // share of calls whose reply is lost
	kills         bool    // whether processes are replaced by new incarnations
	pauses        bool    // whether processes are paused
}

func newSimulation(viewer staticViewer, seed uint64, fl fault) *simulation {
	sim := &simulation{staticViewer: viewer, seed: seed, fault: fl, processes: make(map[string]*process), executed: make(map[string]int)}
	for _, name := range instances {
		sim.start(name)
	}
	return sim
}

// start starts a new incarnation of the named instance and kills the previous one.
func (s *simulation) start(name string) {
	resumed := make(chan struct{})
	close(resumed)
	p := &process{sim: s, name: name, killed: make(chan struct{}), resumed: resumed}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation++
	p.Coordinator = coordinator.New(name, s.incarnation, key, p, peerMinter{p}, s.staticViewer)
	if old, ok := s.processes[name]; ok {
		close(old.killed)
	}
	s.processes[name] = p
}

// pause suspends the named process for d.
func (s *simulation) pause(name string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	resumed := make(chan struct{})
	s.processes[name].resumed = resumed
	time.AfterFunc(d, func() { close(resumed) })
}

func (s *simulation) process(name string) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.processes[name]
}

// draw returns a pseudorandom number in [0, 1) for the event.
func (s *simulation) draw(event ...any) float64 {
	return float64(xxhash.Sum64String(fmt.Sprint(s.seed, s.fault.name, event))>>11) / (1 << 53)
}

func (s *simulation) execute(q order.Request) order.Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executed[q.Body]++
	return order.Reply{RequestID: q.RequestID, OrderID: q.Body}
}

func (s *simulation) executions(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executed[body]
}

// awaitResume blocks while the process is paused. It returns false if the process was killed or ctx ends first.
func (p *process) awaitResume(ctx context.Context) bool {
	p.sim.mu.Lock()
	resumed := p.resumed
	p.sim.mu.Unlock()
	select {
	case <-p.killed:
		return false
	default:
	}
	select {
	case <-resumed:
		return true
	case <-p.killed:
	case <-ctx.Done():
	}
	return false
}

func (p *process) Choose(s shard.Shard, attempted []string) (string, bool) {
	if len(attempted) == len(s.Replicas) {
		return "", false
	}
	return s.Replicas[len(attempted)], true
}

// Order simulates one attempt, which reaches the faulty upstream with the configured share. A paused process sends it after the
// pause, a killed one never.
func (p *process) Order(ctx context.Context, upstream string, q order.Request) (order.Reply, error) {
	sim := p.sim
	if !p.awaitResume(context.WithoutCancel(ctx)) {
		return order.Reply{}, errConnectionLost
	}
	time.Sleep(time.Duration(1+sim.draw("service", q.RequestID)*20) * time.Millisecond)
	if sim.fault.upstream != nil && sim.draw("upstream", q.RequestID, upstream) < sim.fault.share {
		return sim.fault.upstream(ctx, sim, q)
	}
	reply := sim.execute(q)
	if !p.awaitResume(ctx) {
		return order.Reply{}, errConnectionLost
	}
	return reply, nil
}

// Forward delivers a placement to the owner of its ticket, unless the fault loses the placement or the reply.
func (p *process) Forward(ctx context.Context, owner string, q coordinator.Placement) (outcome.Outcome, error) {
	sim := p.sim
	event := []any{p.name, q.Action, q.Body, q.Ticket, time.Now().UnixNano()}
	if sim.draw("unsent", event) < sim.fault.requestUnsent {
		return outcome.Outcome{}, &coordinator.UnsentError{Err: errConnectionLost}
	}
	time.Sleep(time.Millisecond)
	to := sim.process(owner)
	sim.mu.Lock()
	sim.forwards++
	sim.mu.Unlock()
	if sim.draw("lost", event) < sim.fault.requestLost || !to.awaitResume(ctx) {
		<-ctx.Done()
		return outcome.Outcome{}, ctx.Err()
	}
	o := to.HandleForwarded(ctx, q)
	if sim.draw("unheard", event) < sim.fault.replyLost || !to.awaitResume(ctx) {
		<-ctx.Done()
		return outcome.Outcome{}, ctx.Err()
	}
	return o, nil
}

// peerMinter is a Forwarder that requests tickets from the other processes.
type peerMinter struct{ *process }

func (m peerMinter) Mint(_ context.Context, req coordinator.MintRequest) (coordinator.MintReply, error) {
	for _, name := range instances {
		if reply, err := m.sim.process(name).MintForPeer(req); err == nil {
			return reply, nil
		}
	}
	return coordinator.MintReply{}, errConnectionLost
}

// failNotRun returns an upstream that fails each attempt with proof that it did not run.
func failNotRun(kind string) func(context.Context, *simulation, order.Request) (order.Reply, error) {
	return func(context.Context, *simulation, order.Request) (order.Reply, error) {
		return order.Reply{}, &failure.Failure{Upstream: "u", Kind: kind, NotRun: true}
	}
}

// failMaybeRun returns an upstream that fails each attempt without such proof; half of the attempts run.
func failMaybeRun(kind string) func(context.Context, *simulation, order.Request) (order.Reply, error) {
	return func(_ context.Context, sim *simulation, q order.Request) (order.Reply, error) {
		if sim.draw("ran", q.RequestID) < 0.5 {
			sim.execute(q)
		}
		return order.Reply{}, &failure.Failure{Upstream: "u", Kind: kind}
	}
}

// respondLate runs the order and responds after the caller's deadline.
func respondLate(_ context.Context, sim *simulation, q order.Request) (order.Reply, error) {
	reply := sim.execute(q)
	time.Sleep(5 * time.Second)
	return reply, nil
}

// neverRespond runs the order and does not respond.
func neverRespond(ctx context.Context, sim *simulation, q order.Request) (order.Reply, error) {
	sim.execute(q)
	<-ctx.Done()
	return order.Reply{}, &failure.Failure{Upstream: "u", Kind: failure.KindTimeout, Err: ctx.Err()}
}
