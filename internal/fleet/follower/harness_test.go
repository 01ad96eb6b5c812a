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
	maxApplyTime = 4 * time.Second      // required time from publication until a revision is in force everywhere
	callOverhead = 3*52 + 2*30          // bytes per call in addition to the messages: three TCP/IP headers and two frame headers
	upstreams    = 12
)

// Modes of the platform as seen by an instance.
const (
	modeUp       = iota
	modeDown     // no answer
	modeStale    // a copy that is no longer updated
	modeFlapping // alternates between the current and the stale copy
	modeHalf     // a partial read: the first entry or member is missing
	modeConflict // the revision in force with another digest
	modeCount
)

var errLost = errors.New("no answer")

// harness runs instances in memory, with a platform and a stale copy of it.
type harness struct {
	platform, stalePlatform *platform.Platform
	nodes                   []*node
	pending                 []map[string]string // values that are not yet published on the stale copy
	killed                  []*node             // instances that were stopped permanently
	mu                      sync.Mutex
	mode                    int
	partition               map[string]int // network partition by instance; the platform is in partition 0
	reverted                []string
	cancel                  context.CancelFunc
	running                 sync.WaitGroup
	ctx                     context.Context
}

// node is one instance in the harness.
type node struct {
	*Follower
	harness      *harness
	self         member.Member
	reads        atomic.Int64
	bytes        atomic.Int64 // size of the control messages sent and received
	refused      atomic.Int64
	pauseOnReply atomic.Bool // pause while the next reply of a peer is in transit
	cancel       context.CancelFunc
	mu           sync.Mutex
	resumed      chan struct{} // closed while the instance is not paused
	highest      uint64        // highest revision that was in force
}

func newHarness() *harness {
	h := &harness{platform: platform.New(), stalePlatform: platform.New(), partition: make(map[string]int)}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	for n := range upstreams {
		h.setMember(member.Member{Name: fmt.Sprintf("up-%d", n), Kind: member.KindUpstream, FailureDomain: "d0", Address: "127.0.0.1:1", State: member.StateLive})
	}
	h.publish(baseValues())
	return h
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

func domainValue(name string, isOut bool) map[string]string {
	return map[string]string{"domain/" + name: fmt.Sprintf(`{"name":%q,"region":"south","out":%t}`, name, isOut)}
}

// publish publishes a revision on the platform. The stale copy is brought up to date too while the mode is up or down.
func (h *harness) publish(values map[string]string) uint64 {
	h.pending = append(h.pending, values)
	if h.currentMode() == modeUp || h.currentMode() == modeDown {
		for _, v := range h.pending {
			h.stalePlatform.Publish(v)
		}
		h.pending = nil
	}
	return h.platform.Publish(values)
}

func (h *harness) setMember(m member.Member) {
	h.platform.SetMember(m)
	h.stalePlatform.SetMember(m)
}

// add starts an instance in a failure domain. The seeds are names of running instances.
func (h *harness) add(domain string, seeds ...string) *node {
	name := fmt.Sprintf("n%03d", len(h.nodes))
	n := &node{harness: h, resumed: make(chan struct{})}
	close(n.resumed)
	n.self = member.Member{Name: name, Kind: member.KindInstance, FailureDomain: domain, Address: name, State: member.StateLive}
	n.Follower = New(n.self, &platformConn{n}, &peerConn{n}, detector.New(), zap.NewNop(), n.checkRevision,
		WithRandomSeed(uint64(len(h.nodes))), WithSeeds(seeds), WithCounter(n.countMetric))
	h.mu.Lock()
	h.nodes = append(h.nodes, n)
	h.mu.Unlock()
	ctx, cancel := context.WithCancel(h.ctx)
	n.cancel = cancel
	h.running.Go(func() { n.Run(ctx) })
	return n
}

// addListed lists and starts count instances in each of the failure domains.
func (h *harness) addListed(count int, domains ...string) {
	for _, d := range domains {
		for range count {
			h.setMember(h.add(d).self)
		}
	}
}

func (h *harness) close() {
	for _, n := range slices.Concat(h.nodes, h.killed) {
		n.pause(false)
	}
	h.cancel()
	h.running.Wait()
	time.Sleep(2 * readTimeout) // background refreshes end within their own timeout
}

// kill permanently stops the nodes for which match returns true. It returns the number of all nodes killed so far.
func (h *harness) kill(match func(*node) bool) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	var remaining []*node
	for _, n := range h.nodes {
		if !match(n) {
			remaining = append(remaining, n)
			continue
		}
		n.cancel()
		n.pause(true)
		h.killed = append(h.killed, n)
	}
	h.nodes = remaining
	return len(h.killed)
}

func (h *harness) setMode(mode int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mode = mode
}

func (h *harness) currentMode() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.mode
}

// setPartition moves the nodes for which match returns true into the given partition.
func (h *harness) setPartition(partition int, match func(i int) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, n := range h.nodes {
		if match(i) {
			h.partition[n.self.Name] = partition
		}
	}
}

func (h *harness) partitionOf(name string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.partition[name]
}

func (h *harness) nodeByName(name string) *node {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, n := range h.nodes {
		if n.self.Name == name {
			return n
		}
	}
	return nil
}

// lagging describes the nodes that do not have the given revision in force or are not ready.
func (h *harness) lagging(revision uint64) []string {
	var names []string
	for _, n := range h.nodes {
		if n.Current().Config().Revision() != revision || n.NotReadyReason() != "" {
			names = append(names, fmt.Sprintf("%s at %d %s", n.self.Name, n.Current().Config().Revision(), n.NotReadyReason()))
		}
	}
	return names
}

// waitInForce waits until all nodes have the revision in force, but no longer than limit, and returns the time waited.
func (h *harness) waitInForce(revision uint64, limit time.Duration) time.Duration {
	start := time.Now()
	for time.Since(start) < limit && len(h.lagging(revision)) > 0 {
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

// checkRevision records an instance whose revision decreased.
func (n *node) checkRevision(v view.View) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if v.Config().Revision() < n.highest {
		n.harness.mu.Lock()
		n.harness.reverted = append(n.harness.reverted, n.self.Name)
		n.harness.mu.Unlock()
	}
	n.highest = v.Config().Revision()
}

// countMetric counts the refused configurations.
func (n *node) countMetric(metric string) {
	if len(metric) > 25 && metric[:25] == "crocuswing_config_refused" {
		n.refused.Add(1)
	}
}

// pause suspends or resumes the instance.
func (n *node) pause(paused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.resumed:
		if paused {
			n.resumed = make(chan struct{})
		}
	default:
		if !paused {
			close(n.resumed)
		}
	}
}

// whenResumed returns a channel that is closed while the instance is not paused.
func (n *node) whenResumed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.resumed
}

// platformConn connects an instance to the platform, peerConn to its peers.
type (
	platformConn struct{ node *node }
	peerConn     struct{ node *node }
)

// reach returns the copy of the platform that the instance currently reaches, and the mode.
func (c *platformConn) reach(ctx context.Context) (*platform.Platform, int, error) {
	<-c.node.whenResumed()
	pause.For(ctx, linkLatency)
	mode, reads := c.node.harness.currentMode(), c.node.reads.Add(1)
	if c.node.harness.partitionOf(c.node.self.Name) != 0 {
		mode = modeDown
	}
	switch {
	case mode == modeDown:
		pause.For(ctx, 100*time.Millisecond)
		return nil, mode, errLost
	case mode == modeStale, mode == modeFlapping && reads/2%2 == 0:
		return c.node.harness.stalePlatform, mode, nil
	}
	return c.node.harness.platform, mode, nil
}

// isLost reports whether a reply is lost because the mode or the partition changed during the read.
func (c *platformConn) isLost(mode int) bool {
	return c.node.harness.currentMode() != mode || c.node.harness.partitionOf(c.node.self.Name) != 0
}

func (c *platformConn) Manifest(ctx context.Context, after uint64, wait time.Duration) (manifest.Manifest, bool, error) {
	p, mode, err := c.reach(ctx)
	if err != nil {
		return manifest.Manifest{}, false, err
	}
	m, changed, err := p.Manifest(ctx, after, wait)
	if c.isLost(mode) {
		return manifest.Manifest{}, false, errLost
	}
	switch {
	case mode == modeHalf && len(m.Entries) > 0:
		m.Entries = m.Entries[1:]
	case mode == modeConflict:
		m.Digest = "0123456789abcdef"
	}
	<-c.node.whenResumed()
	return m, changed, err
}

func (c *platformConn) MemberList(ctx context.Context, after uint64, wait time.Duration) (memberlist.List, bool, error) {
	p, mode, err := c.reach(ctx)
	if err != nil {
		return memberlist.List{}, false, err
	}
	l, changed, err := p.MemberList(ctx, after, wait)
	if c.isLost(mode) {
		return memberlist.List{}, false, errLost
	}
	if mode == modeHalf && len(l.Members) > 0 {
		l.Members = l.Members[1:]
	}
	<-c.node.whenResumed()
	return l, changed, err
}

func (c *platformConn) Value(ctx context.Context, hash string) ([]byte, error) {
	p, _, err := c.reach(ctx)
	if err != nil {
		return nil, err
	}
	return p.Value(ctx, hash)
}

func (c *peerConn) Sync(ctx context.Context, peer string, req gossip.SyncRequest) (gossip.SyncReply, error) {
	return call(ctx, c.node, peer, req, func(to *node) (gossip.SyncReply, error) { return to.HandleSync(req), nil })
}

func (c *peerConn) Page(ctx context.Context, peer string, req gossip.PageRequest) (gossip.Page, error) {
	return call(ctx, c.node, peer, req, func(to *node) (gossip.Page, error) { return to.Store().Page(req) })
}

func (c *peerConn) Value(ctx context.Context, peer string, req gossip.ValueRequest) (gossip.Value, error) {
	return call(ctx, c.node, peer, req, func(to *node) (gossip.Value, error) { return to.Store().Value(req) })
}

// call transmits a call between two instances. Its size is counted at both.
func call[Q, R any](ctx context.Context, from *node, peer string, req Q, handle func(*node) (R, error)) (R, error) {
	var none R
	<-from.whenResumed()
	to := from.harness.nodeByName(peer)
	pause.For(ctx, linkLatency)
	cut := func() bool {
		return to == nil || from.harness.partitionOf(from.self.Name) != from.harness.partitionOf(peer)
	}
	if cut() {
		<-ctx.Done()
		return none, errLost
	}
	select {
	case <-to.whenResumed():
	case <-ctx.Done():
		return none, errLost
	}
	reply, err := handle(to)
	if from.pauseOnReply.CompareAndSwap(true, false) {
		from.pause(true)
	}
	size := int64(callOverhead + sizeOf(req) + sizeOf(reply))
	from.bytes.Add(size)
	to.bytes.Add(size)
	pause.For(ctx, linkLatency)
	if cut() {
		<-ctx.Done()
		return none, errLost
	}
	<-from.whenResumed()
	return reply, err
}

func sizeOf(v any) int {
	text, _ := msgpack.Marshal(v)
	return len(text)
}
