package dispatch_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"crocuswing/internal/config/domain"
	"crocuswing/internal/config/preset"
	"crocuswing/internal/config/service"
	"crocuswing/internal/config/set"
	"crocuswing/internal/fleet/member"
	"crocuswing/internal/fleet/roster"
	"crocuswing/internal/fleet/view"
	"crocuswing/internal/index/layout"
	"crocuswing/internal/index/shard"
	"crocuswing/internal/upstream/directory"
	"crocuswing/internal/upstream/dispatch"
	"crocuswing/internal/upstream/failure"
	"crocuswing/internal/upstream/signal"
	"crocuswing/internal/wire/part"
	"crocuswing/internal/wire/relay"

	"github.com/stretchr/testify/require"
)

// hopLatency is the one-way latency between two instances.
const hopLatency = 1500 * time.Microsecond

// fleet is a set of instances in front of a set of servers, all in virtual time.
type fleet struct {
	t                    testing.TB
	servers              map[string]*server
	nodes                map[string]*node
	naive                bool // send immediately, without limits
	version              uint64
	isDomainExcluded     bool
	startedAt, loadEnded time.Time
	mu                   sync.Mutex
	isPartitioned        func(a, b string) bool
	stop                 context.CancelFunc
	background           sync.WaitGroup
}

// node is one instance.
type node struct {
	*dispatch.Dispatcher
	name      string
	fleet     *fleet
	directory *directory.Directory
	current   atomic.Pointer[view.View]
	stopped   atomic.Bool
	isStale   atomic.Bool // the view is too old and cannot be refreshed
	paused    atomic.Pointer[chan struct{}]
}

func newFleet(t *testing.T, instances int, servers ...string) *fleet {
	f := &fleet{t: t, startedAt: time.Now(), servers: make(map[string]*server), nodes: make(map[string]*node), isPartitioned: func(string, string) bool { return false }}
	var ctx context.Context
	ctx, f.stop = context.WithCancel(t.Context())
	for _, name := range servers {
		f.servers[name] = newServer(name)
	}
	for n := range instances {
		nd := &node{name: fmt.Sprintf("instance-%d", n), fleet: f}
		nd.directory = directory.New(nd.name, directory.WithOpener(nd.open))
		nd.Dispatcher = dispatch.New(nd.name, nd, nd.directory, nd)
		f.nodes[nd.name] = nd
		f.background.Go(func() { nd.Run(ctx) })
	}
	f.publish(f.instances(), nil)
	return f
}

func (f *fleet) close() {
	f.stop()
	f.background.Wait()
	for _, nd := range f.nodes {
		nd.Wait(context.Background())
	}
}

func (f *fleet) instances() []string {
	names := make([]string, 0, len(f.nodes))
	for n := range len(f.nodes) {
		names = append(names, fmt.Sprintf("instance-%d", n))
	}
	return names
}

// publish sets the view of the listed instances to one that lists them, with the given states of upstreams.
func (f *fleet) publish(listed []string, states map[string]string) {
	f.publishTo(listed, listed, states)
}

// publishTo sets the view of the readers to one with the listed instances and the given states of upstreams.
func (f *fleet) publishTo(readers, listed []string, states map[string]string) {
	f.version++
	members := make([]member.Member, 0, len(listed)+len(f.servers))
	for _, name := range listed {
		members = append(members, member.Member{Name: name, Kind: member.KindInstance, FailureDomain: "north-a", Region: "north", State: member.StateLive})
	}
	for name := range f.servers {
		m := member.Member{Name: name, Kind: member.KindUpstream, FailureDomain: "south-a", Region: "south", Address: name, State: member.StateLive}
		if s := states[name]; s != "" {
			m.State = s
		}
		members = append(members, m)
	}
	v := view.View{}.WithConfig(f.config()).WithRoster(roster.New(f.version, members)).WithConfirmation(time.Now())
	for _, name := range readers {
		nd := f.nodes[name]
		if nd.paused.Load() == nil {
			nd.current.Store(&v)
			nd.directory.Update(v)
		}
	}
}

func (f *fleet) config() set.Set {
	sh := shard.Shard{Name: "shard"}
	for name := range f.servers {
		sh.Replicas = append(sh.Replicas, name)
	}
	s := service.Service{Name: "search", Kind: service.KindSearch, Contract: testContract}
	s.Layouts = []layout.Layout{{Snapshot: "s1", Shards: []shard.Shard{sh}}}
	p := preset.Preset{Name: "ordinary", DeadlineMS: 240, AnswerPolicy: preset.PolicyCoverage, HedgeQuantile: 0.95, HedgeShare: 0.05, RetryShare: 0.1}
	values := make(map[string][]byte)
	for name, v := range map[string]any{
		"preset/ordinary": p, "service/search": s,
		"domain/south-a": domain.Domain{Name: "south-a", Region: "south", Excluded: f.isDomainExcluded},
	} {
		text, err := json.Marshal(v)
		require.NoError(f.t, err)
		values[name] = text
	}
	values["in-force"] = []byte(`{"preset": "ordinary"}`)
	parsed, err := set.Parse(f.version, values)
	require.NoError(f.t, err)
	return parsed
}

// homes returns the homes of a server, first home first.
func (f *fleet) homes(server string) []string {
	nd := f.nodes["instance-0"]
	t, _ := nd.directory.Target(server)
	return t.Homes(nd.directory.Ranking())
}

// firstHome returns the first home of a server.
func (f *fleet) firstHome(server string) *node { return f.nodes[f.homes(server)[0]] }

// partition blocks all calls between instances for which isPartitioned returns true.
func (f *fleet) partition(isPartitioned func(a, b string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isPartitioned = isPartitioned
}

func (f *fleet) canReach(a, b string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.isPartitioned(a, b) && !f.nodes[b].stopped.Load()
}

func (n *node) open(name, _ string, _ int, _ func()) directory.Link {
	return pausableLink{server: n.fleet.servers[name], node: n}
}

// Current returns the node's view.
func (n *node) Current() view.View { return *n.current.Load() }

// Fresh returns the node's view unless it is too old.
func (n *node) Fresh(context.Context) (view.View, error) {
	if n.isStale.Load() {
		return view.View{}, errStaleView
	}
	return n.Current(), nil
}

// pause stops the node until the returned function is called.
func (n *node) pause() func() {
	resumed := make(chan struct{})
	n.paused.Store(&resumed)
	return func() {
		n.paused.Store(nil)
		close(resumed)
	}
}

func (n *node) waitWhilePaused() {
	if resumed := n.paused.Load(); resumed != nil {
		<-*resumed
	}
}

// Relay calls HandleRelay of another node.
func (n *node) Relay(ctx context.Context, instance string, q relay.Request) (relay.Reply, error) {
	n.waitWhilePaused()
	time.Sleep(hopLatency)
	if !n.fleet.canReach(n.name, instance) {
		return relay.Reply{}, &failure.Failure{Upstream: q.Upstream, Kind: failure.KindRelay, NotRun: true}
	}
	replied := make(chan relay.Reply, 1)
	go func() {
		other := n.fleet.nodes[instance]
		other.waitWhilePaused()
		reply := other.HandleRelay(ctx, q)
		time.Sleep(hopLatency)
		replied <- reply
	}()
	select {
	case reply := <-replied:
		return reply, nil
	case <-ctx.Done():
		return relay.Reply{}, &failure.Failure{Upstream: q.Upstream, Kind: failure.KindTimeout, Err: ctx.Err()}
	}
}

// Notify calls HandleNotices of another node.
func (n *node) Notify(_ context.Context, instance string, notices []relay.Notice) error {
	n.waitWhilePaused()
	time.Sleep(hopLatency)
	if n.fleet.canReach(n.name, instance) && n.fleet.nodes[instance].paused.Load() == nil {
		n.fleet.nodes[instance].HandleNotices(notices)
	}
	return nil
}

// pausableLink is a node's link to a server that delays requests and responses while the node is paused.
type pausableLink struct {
	*server
	node *node
}

// Part calls the server once the node is not paused. It returns when ctx ends; the server may continue to work.
func (l pausableLink) Part(ctx context.Context, q part.Request) (part.Reply, signal.Signal, error) {
	l.node.waitWhilePaused()
	type response struct {
		reply part.Reply
		sig   signal.Signal
		err   error
	}
	received := make(chan response, 1)
	go func() {
		reply, sig, err := l.server.Part(ctx, q)
		received <- response{reply, sig, err}
	}()
	select {
	case r := <-received:
		l.node.waitWhilePaused()
		return r.reply, r.sig, r.err
	case <-ctx.Done():
		l.node.waitWhilePaused()
		return part.Reply{}, signal.Signal{Load: -1}, &failure.Failure{Upstream: l.name, Kind: failure.KindCanceled, Err: ctx.Err()}
	}
}

// load sends one request to each server every interval, from the running nodes in turn.
type load struct {
	interval time.Duration
	duration time.Duration
	timeout  time.Duration
	retries  int // maximum retries of a refused request
}

// outcome counts requests by result.
type outcome struct {
	sent, done, refused, failed int
}

// resetCounts clears the counts of all servers.
func (f *fleet) resetCounts() {
	for _, s := range f.servers {
		s.withLock(func() { s.recorded = counts{} })
	}
}

func (f *fleet) run(l load) outcome {
	var mu sync.Mutex
	var o outcome
	var wg sync.WaitGroup
	until := time.Now().Add(l.duration)
	for n := 0; time.Now().Before(until); n++ {
		nd := f.nodes[fmt.Sprintf("instance-%d", n%len(f.nodes))]
		for name := range f.servers {
			if nd.stopped.Load() || nd.paused.Load() != nil {
				continue
			}
			wg.Go(func() {
				err := f.send(nd, name, l)
				mu.Lock()
				defer mu.Unlock()
				o.count(err)
			})
		}
		time.Sleep(l.interval)
	}
	f.loadEnded = time.Now()
	wg.Wait()
	return o
}

func (f *fleet) send(from *node, server string, l load) error {
	ctx, cancel := context.WithTimeout(context.Background(), l.timeout)
	defer cancel()
	if f.naive {
		_, _, err := f.servers[server].Part(ctx, part.Request{})
		return errors.Join(err, ctx.Err())
	}
	_, err := from.Part(ctx, server, part.Request{})
	for retry := 0; retry < l.retries && isNotRun(err) && ctx.Err() == nil; retry++ {
		time.Sleep(serviceTime / 2)
		_, err = from.Part(ctx, server, part.Request{})
	}
	return err
}

func (o *outcome) count(err error) {
	o.sent++
	switch {
	case err == nil:
		o.done++
	case isNotRun(err):
		o.refused++
	default:
		o.failed++
	}
}
