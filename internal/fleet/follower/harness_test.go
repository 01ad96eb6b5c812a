package follower

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"crocuswing/internal/fleet/detector"
	"crocuswing/internal/fleet/member"
	"crocuswing/internal/fleet/view"
	"crocuswing/internal/standin/platform"
	"crocuswing/internal/task/pause"
	"crocuswing/internal/wire/gossip"
	"crocuswing/internal/wire/manifest"
	"crocuswing/internal/wire/memberlist"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
)

const (
	linkLatency  = 8 * time.Millisecond // one way, between regions
	inForceLimit = 4 * time.Second
	callOverhead = 3*52 + 2*30 // bytes of a call besides its messages: three TCP/IP headers, two frames
	upstreams    = 12
)

// modes of the platform as one instance sees it.
const (
	modeUp       = iota
	modeDown     // no answer at all
	modeStale    // a copy that stopped at some revision
	modeFlapping // the newest and the stale copy in turn
	modeHalf     // entries and values are missing
	modeConflict // the revision in force with other content
	modeCount
)

var errLost = errors.New("no answer")

// rig is a fleet in memory with a platform and an older copy of it.
type rig struct {
	platform, old *platform.Platform
	nodes         []*node
	pending       []map[string]string // published, but not on the older copy
	gone          []*node             // those that were stopped for good
	mu            sync.Mutex
	mode          int
	side          map[string]int // part of the fleet, by instance; the platform is in part 0
	reverted      []string
	stop          context.CancelFunc
	running       sync.WaitGroup
	ctx           context.Context
}

// node is one instance of the rig.
type node struct {
	*Follower
	rig     *rig
	self    member.Member
	reads   atomic.Int64
	bytes   atomic.Int64 // of control messages, sent and received
	refused atomic.Int64
	faint   atomic.Bool // pause when the next answer of a peer is under way
	end     context.CancelFunc
	mu      sync.Mutex
	awake   chan struct{} // closed while the instance runs
	highest uint64
}

func newRig() *rig {
	r := &rig{platform: platform.New(), old: platform.New(), side: make(map[string]int)}
	r.ctx, r.stop = context.WithCancel(context.Background())
	for n := range upstreams {
		r.list(member.Member{Name: fmt.Sprintf("up-%d", n), Kind: member.KindUpstream, FailureDomain: "d0", Address: "127.0.0.1:1", State: member.StateLive})
	}
	r.publish(baseValues())
	return r
}

func baseValues() map[string]string {
	const policy = `{"name":%q,"deadline-ms":500,"answer-policy":"coverage","hedge-quantile":0.9,"hedge-share":0.05,"retry-share":0.1}`
	return map[string]string{
		"in-force":        `{"preset":"ordinary"}`,
		"preset/ordinary": fmt.Sprintf(policy, "ordinary"),
		"preset/peak":     fmt.Sprintf(policy, "peak"),
		"domain/d0":       `{"name":"d0","region":"south"}`,
		"domain/d1":       `{"name":"d1","region":"north"}`,
	}
}

func out(name string, is bool) map[string]string {
	return map[string]string{"domain/" + name: fmt.Sprintf(`{"name":%q,"region":"south","out":%t}`, name, is)}
}

// publish makes a revision on the platform, and on the older copy unless it is held back.
func (r *rig) publish(values map[string]string) uint64 {
	r.pending = append(r.pending, values)
	if r.getMode() == modeUp || r.getMode() == modeDown {
		for _, v := range r.pending {
			r.old.Publish(v)
		}
		r.pending = nil
	}
	return r.platform.Publish(values)
}

func (r *rig) list(m member.Member) {
	r.platform.SetMember(m)
	r.old.SetMember(m)
}

// add starts an instance in a failure domain; its seeds are the instances that run already.
func (r *rig) add(domain string, seeds ...string) *node {
	name := fmt.Sprintf("n%03d", len(r.nodes))
	n := &node{rig: r, awake: make(chan struct{})}
	close(n.awake)
	n.self = member.Member{Name: name, Kind: member.KindInstance, FailureDomain: domain, Address: name, State: member.StateLive}
	n.Follower = New(n.self, &door{n}, &wire{n}, detector.New(), zap.NewNop(), n.check,
		WithRandomSeed(uint64(len(r.nodes))), WithSeeds(seeds), WithCounter(n.tally))
	r.mu.Lock()
	r.nodes = append(r.nodes, n)
	r.mu.Unlock()
	ctx, end := context.WithCancel(r.ctx)
	n.end = end
	r.running.Go(func() { n.Run(ctx) })
	return n
}

// addListed lists and starts count instances in each of the failure domains.
func (r *rig) addListed(count int, domains ...string) {
	for _, d := range domains {
		for range count {
			r.list(r.add(d).self)
		}
	}
}

func (r *rig) close() {
	for _, n := range slices.Concat(r.nodes, r.gone) {
		n.pause(false)
	}
	r.stop()
	r.running.Wait()
	time.Sleep(2 * readTimeout) // refreshes that requests began end by themselves
}

// kill stops the nodes for which is is true for good.
func (r *rig) kill(is func(*node) bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var left []*node
	for _, n := range r.nodes {
		if !is(n) {
			left = append(left, n)
			continue
		}
		n.end()
		n.pause(true)
		r.gone = append(r.gone, n)
	}
	r.nodes = left
	return len(r.gone)
}

func (r *rig) setMode(mode int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = mode
}

func (r *rig) getMode() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode
}

// split puts the nodes for which in is true into the given part.
func (r *rig) split(part int, in func(i int) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, n := range r.nodes {
		if in(i) {
			r.side[n.self.Name] = part
		}
	}
}

func (r *rig) sideOf(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.side[name]
}

func (r *rig) find(name string) *node {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.nodes {
		if n.self.Name == name {
			return n
		}
	}
	return nil
}

// lagging gives the nodes that have not the given revision, or may not work.
func (r *rig) lagging(revision uint64) []string {
	var names []string
	for _, n := range r.nodes {
		if n.Current().Config().Revision() != revision || n.NotReadyReason() != "" {
			names = append(names, fmt.Sprintf("%s at %d %s", n.self.Name, n.Current().Config().Revision(), n.NotReadyReason()))
		}
	}
	return names
}

// untilInForce gives the time until all nodes have the revision, or the limit if some never have.
func (r *rig) untilInForce(revision uint64, limit time.Duration) time.Duration {
	start := time.Now()
	for time.Since(start) < limit && len(r.lagging(revision)) > 0 {
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

func (n *node) check(v view.View) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if v.Config().Revision() < n.highest {
		n.rig.mu.Lock()
		n.rig.reverted = append(n.rig.reverted, n.self.Name)
		n.rig.mu.Unlock()
	}
	n.highest = v.Config().Revision()
}

func (n *node) tally(metric string) {
	if len(metric) > 25 && metric[:25] == "crocuswing_config_refused" {
		n.refused.Add(1)
	}
}

// pause stops the process, or wakes it up.
func (n *node) pause(paused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.awake:
		if paused {
			n.awake = make(chan struct{})
		}
	default:
		if !paused {
			close(n.awake)
		}
	}
}

func (n *node) gate() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.awake
}

// door is the way of one instance to the platform, wire that to its peers.
type (
	door struct{ node *node }
	wire struct{ node *node }
)

// copy gives the copy that the instance reaches at present.
func (d *door) copy(ctx context.Context) (*platform.Platform, int, error) {
	<-d.node.gate()
	pause.For(ctx, linkLatency)
	mode, reads := d.node.rig.getMode(), d.node.reads.Add(1)
	if d.node.rig.sideOf(d.node.self.Name) != 0 {
		mode = modeDown
	}
	switch {
	case mode == modeDown:
		pause.For(ctx, 100*time.Millisecond)
		return nil, mode, errLost
	case mode == modeStale, mode == modeFlapping && reads/2%2 == 0:
		return d.node.rig.old, mode, nil
	}
	return d.node.rig.platform, mode, nil
}

// lost tells that an answer does not arrive because the platform or the link has changed meanwhile.
func (d *door) lost(mode int) bool {
	return d.node.rig.getMode() != mode || d.node.rig.sideOf(d.node.self.Name) != 0
}

func (d *door) Manifest(ctx context.Context, after uint64, wait time.Duration) (manifest.Manifest, bool, error) {
	p, mode, err := d.copy(ctx)
	if err != nil {
		return manifest.Manifest{}, false, err
	}
	m, changed, err := p.Manifest(ctx, after, wait)
	if d.lost(mode) {
		return manifest.Manifest{}, false, errLost
	}
	switch {
	case mode == modeHalf && len(m.Entries) > 0:
		m.Entries = m.Entries[1:]
	case mode == modeConflict:
		m.Digest = "0123456789abcdef"
	}
	<-d.node.gate()
	return m, changed, err
}

func (d *door) MemberList(ctx context.Context, after uint64, wait time.Duration) (memberlist.List, bool, error) {
	p, mode, err := d.copy(ctx)
	if err != nil {
		return memberlist.List{}, false, err
	}
	l, changed, err := p.MemberList(ctx, after, wait)
	if d.lost(mode) {
		return memberlist.List{}, false, errLost
	}
	if mode == modeHalf && len(l.Members) > 0 {
		l.Members = l.Members[1:]
	}
	<-d.node.gate()
	return l, changed, err
}

func (d *door) Value(ctx context.Context, hash string) ([]byte, error) {
	p, _, err := d.copy(ctx)
	if err != nil {
		return nil, err
	}
	return p.Value(ctx, hash)
}

func (d *wire) Sync(ctx context.Context, peer string, q gossip.SyncRequest) (gossip.SyncReply, error) {
	return call(ctx, d.node, peer, q, func(to *node) (gossip.SyncReply, error) { return to.HandleSync(q), nil })
}

func (d *wire) Page(ctx context.Context, peer string, q gossip.PageRequest) (gossip.Page, error) {
	return call(ctx, d.node, peer, q, func(to *node) (gossip.Page, error) { return to.Store().Page(q) })
}

func (d *wire) Value(ctx context.Context, peer string, q gossip.ValueRequest) (gossip.Value, error) {
	return call(ctx, d.node, peer, q, func(to *node) (gossip.Value, error) { return to.Store().Value(q) })
}

// call carries one call between instances, counted at both ends.
func call[Q, R any](ctx context.Context, from *node, peer string, q Q, answer func(*node) (R, error)) (R, error) {
	var none R
	<-from.gate()
	to := from.rig.find(peer)
	pause.For(ctx, linkLatency)
	cut := func() bool { return to == nil || from.rig.sideOf(from.self.Name) != from.rig.sideOf(peer) }
	if cut() {
		<-ctx.Done()
		return none, errLost
	}
	select {
	case <-to.gate():
	case <-ctx.Done():
		return none, errLost
	}
	r, err := answer(to)
	if from.faint.CompareAndSwap(true, false) {
		from.pause(true)
	}
	size := int64(callOverhead + sizeOf(q) + sizeOf(r))
	from.bytes.Add(size)
	to.bytes.Add(size)
	pause.For(ctx, linkLatency)
	if cut() {
		<-ctx.Done()
		return none, errLost
	}
	<-from.gate()
	return r, err
}

func sizeOf(v any) int {
	text, _ := msgpack.Marshal(v)
	return len(text)
}
