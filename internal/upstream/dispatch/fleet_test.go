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

const hopLatency = 1500 * time.Microsecond

// fleet is some instances before some servers, all in virtual time.
type fleet struct {
	t               testing.TB
	servers         map[string]*server
	nodes           map[string]*node
	naive           bool // send at once, without limits
	version         uint64
	isOut           bool
	born, loadEnded time.Time
	mu              sync.Mutex
	isCut           func(a, b string) bool
	stop            context.CancelFunc
	work            sync.WaitGroup
}

// node is one instance.
type node struct {
	*dispatch.Dispatcher
	name      string
	fleet     *fleet
	directory *directory.Directory
	current   atomic.Pointer[view.View]
	gone      atomic.Bool
	isOld     atomic.Bool // the view, and it cannot be refreshed
	paused    atomic.Pointer[chan struct{}]
}

func newFleet(t *testing.T, instances int, servers ...string) *fleet {
	f := &fleet{t: t, born: time.Now(), servers: make(map[string]*server), nodes: make(map[string]*node), isCut: func(string, string) bool { return false }}
	var ctx context.Context
	ctx, f.stop = context.WithCancel(t.Context())
	for _, name := range servers {
		f.servers[name] = newServer(name)
	}
	for n := range instances {
		x := &node{name: fmt.Sprintf("instance-%d", n), fleet: f}
		x.directory = directory.New(x.name, directory.WithOpener(x.open))
		x.Dispatcher = dispatch.New(x.name, x, x.directory, x)
		f.nodes[x.name] = x
		f.work.Go(func() { x.Run(ctx) })
	}
	f.publish(f.instances(), nil)
	return f
}

func (f *fleet) close() {
	f.stop()
	f.work.Wait()
	for _, x := range f.nodes {
		x.Wait(context.Background())
	}
}

func (f *fleet) instances() []string {
	names := make([]string, 0, len(f.nodes))
	for n := range len(f.nodes) {
		names = append(names, fmt.Sprintf("instance-%d", n))
	}
	return names
}

// publish gives the listed instances a view that lists them, with the states of some upstreams.
func (f *fleet) publish(listed []string, states map[string]string) {
	f.publishTo(listed, listed, states)
}

// publishTo gives some instances such a view.
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
	v := view.View{}.WithConfig(f.config()).WithRoster(roster.New(f.version, members)).WithConfirmed(time.Now())
	for _, name := range readers {
		x := f.nodes[name]
		if x.paused.Load() == nil {
			x.current.Store(&v)
			x.directory.Update(v)
		}
	}
}

func (f *fleet) config() set.Set {
	sh := shard.Shard{Name: "shard"}
	for name := range f.servers {
		sh.Replicas = append(sh.Replicas, name)
	}
	s := service.Service{Name: "search", Kind: service.KindSearch, Contract: bounds}
	s.Layouts = []layout.Layout{{Snapshot: "s1", Shards: []shard.Shard{sh}}}
	p := preset.Preset{Name: "ordinary", DeadlineMS: 240, AnswerPolicy: preset.PolicyCoverage, HedgeQuantile: 0.95, HedgeShare: 0.05, RetryShare: 0.1}
	values := make(map[string][]byte)
	for name, v := range map[string]any{
		"preset/ordinary": p, "service/search": s,
		"domain/south-a": domain.Domain{Name: "south-a", Region: "south", Out: f.isOut},
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

// homes finds the homes of a server, first home first.
func (f *fleet) homes(server string) []string {
	x := f.nodes["instance-0"]
	t, _ := x.directory.Target(server)
	return t.Homes(x.directory.Ranking())
}

// first is the first home of a server.
func (f *fleet) first(server string) *node { return f.nodes[f.homes(server)[0]] }

// cut separates the instances that part tells apart.
func (f *fleet) cut(isCut func(a, b string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isCut = isCut
}

func (f *fleet) reaches(a, b string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.isCut(a, b) && !f.nodes[b].gone.Load()
}

func (x *node) open(name, _ string, _ int, _ func()) directory.Link {
	return gate{server: x.fleet.servers[name], node: x}
}

// Current is the node's view.
func (x *node) Current() view.View { return *x.current.Load() }

// Fresh is the node's view, unless that is too old.
func (x *node) Fresh(context.Context) (view.View, error) {
	if x.isOld.Load() {
		return view.View{}, errOld
	}
	return x.Current(), nil
}

// pause stops the node until the function that it gives is called.
func (x *node) pause() func() {
	resumed := make(chan struct{})
	x.paused.Store(&resumed)
	return func() {
		x.paused.Store(nil)
		close(resumed)
	}
}

func (x *node) await() {
	if resumed := x.paused.Load(); resumed != nil {
		<-*resumed
	}
}

// Relay carries an attempt to another node and back.
func (x *node) Relay(ctx context.Context, instance string, q relay.Request) (relay.Reply, error) {
	x.await()
	time.Sleep(hopLatency)
	if !x.fleet.reaches(x.name, instance) {
		return relay.Reply{}, &failure.Failure{Upstream: q.Upstream, Kind: failure.KindRelay, NotRun: true}
	}
	replied := make(chan relay.Reply, 1)
	go func() {
		other := x.fleet.nodes[instance]
		other.await()
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

// Notify carries notices to another node.
func (x *node) Notify(_ context.Context, instance string, notices []relay.Notice) error {
	x.await()
	time.Sleep(hopLatency)
	if x.fleet.reaches(x.name, instance) && x.fleet.nodes[instance].paused.Load() == nil {
		x.fleet.nodes[instance].HandleNotices(notices)
	}
	return nil
}

// gate is a node's link to a server; it holds requests and answers back while the node is paused.
type gate struct {
	*server
	node *node
}

// Part is held back while the node is paused. It returns when ctx ends, and the server may work on.
func (g gate) Part(ctx context.Context, q part.Request) (part.Reply, signal.Signal, error) {
	g.node.await()
	type answer struct {
		reply part.Reply
		sig   signal.Signal
		err   error
	}
	answered := make(chan answer, 1)
	go func() {
		reply, sig, err := g.server.Part(ctx, q)
		answered <- answer{reply, sig, err}
	}()
	select {
	case a := <-answered:
		g.node.await()
		return a.reply, a.sig, a.err
	case <-ctx.Done():
		g.node.await()
		return part.Reply{}, signal.Signal{Load: -1}, &failure.Failure{Upstream: g.name, Kind: failure.KindCanceled, Err: ctx.Err()}
	}
}

// load sends a request to each server every interval, from one live node after the other.
type load struct {
	interval time.Duration
	lasts    time.Duration
	timeout  time.Duration
	retries  int // of refused requests
}

type outcome struct {
	sent, done, refused, lost int
}

// forget drops what the servers counted so far.
func (f *fleet) forget() {
	for _, s := range f.servers {
		s.change(func() { s.seen = counts{} })
	}
}

func (f *fleet) run(l load) outcome {
	var mu sync.Mutex
	var o outcome
	var group sync.WaitGroup
	ends := time.Now().Add(l.lasts)
	for n := 0; time.Now().Before(ends); n++ {
		x := f.nodes[fmt.Sprintf("instance-%d", n%len(f.nodes))]
		for name := range f.servers {
			if x.gone.Load() || x.paused.Load() != nil {
				continue
			}
			group.Go(func() {
				err := f.send(x, name, l)
				mu.Lock()
				defer mu.Unlock()
				o.count(err)
			})
		}
		time.Sleep(l.interval)
	}
	f.loadEnded = time.Now()
	group.Wait()
	return o
}

func (f *fleet) send(x *node, server string, l load) error {
	ctx, cancel := context.WithTimeout(context.Background(), l.timeout)
	defer cancel()
	if f.naive {
		_, _, err := f.servers[server].Part(ctx, part.Request{})
		return errors.Join(err, ctx.Err())
	}
	_, err := x.Part(ctx, server, part.Request{})
	for n := 0; n < l.retries && isNotRun(err) && ctx.Err() == nil; n++ {
		time.Sleep(serviceTime / 2)
		_, err = x.Part(ctx, server, part.Request{})
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
		o.lost++
	}
}
