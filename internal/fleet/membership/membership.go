// Package membership tracks which instances of the tier are running. The catalog of upstreams divides the shared limits by their
// number, and the relay of the published state selects its peers from them.
//
// Each instance increments its own heartbeat counter. The counters spread by gossip, and an instance whose counter stops
// increasing is considered failed: van Renesse, Minsky and Hayden, "A gossip-style failure detection service",
// Middleware 1998.
package membership

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"crocuswing/internal/peer/client"
	"crocuswing/internal/task/pause"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
)

const (
	// Method is the name of the gossip call between instances.
	Method = "census"

	startupRounds   = 10 // rounds after the start that run at startupInterval, to discover the others quickly
	startupInterval = 300 * time.Millisecond
	gossipInterval  = 3 * time.Second
	fanout          = 2 // members called in each round
	callTimeout     = 800 * time.Millisecond
	// minFailureTimeout is longer than a restart takes, so that an instance that restarts stays counted.
	minFailureTimeout = 20 * time.Second
	// propagationFactor is the number of times that the entries of all instances have to fit into the messages received
	// before a missing heartbeat counts as a failure. In random gossip some entries take several times the mean to spread.
	propagationFactor = 15
	// tombstoneTimeout exceeds the time for which others still send entries of a failed instance.
	tombstoneTimeout = 10 * time.Minute
	// A message holds one in messageDivisor of the other instances, at least minMembers and at most maxMembers; the rest
	// is sent in other rounds. At 2,800 instances this is 3 KB/s.
	messageDivisor = 4
	minMembers     = 8
	maxMembers     = 32
	// sampleFactor times as many instances are drawn, of which those with the most recent heartbeats are sent.
	sampleFactor = 2
)

// Member is the gossiped entry of one instance.
type Member struct {
	Name    string `msgpack:"n"`
	Address string `msgpack:"a"`
	// Incarnation is the start time of the process in Unix nanoseconds. Heartbeat increases while the process runs.
	Incarnation int64  `msgpack:"i"`
	Heartbeat   uint64 `msgpack:"h"`
	// FailureDomain is empty in the entries of instances of former releases.
	FailureDomain string `msgpack:"d,omitempty"`
	// Capacity is the processor time of the instance in thousandths of a core; 0 if unknown.
	Capacity int `msgpack:"c,omitempty"`
}

// Message is both the request and the reply of a gossip exchange.
type Message struct {
	Members []Member `msgpack:"m"`
}

// Membership tracks the running instances by gossip. It is safe for concurrent use.
type Membership struct {
	log          *zap.Logger
	onSizeChange func(size int)

	mu      sync.Mutex
	self    Member
	seeds   []string
	members map[string]*member
	clients map[string]*client.Client
	size    int
	rng     *rand.Rand
}

type member struct {
	Member
	lastHeartbeat time.Time // time at which this instance last saw the heartbeat increase
	failed        bool      // kept as a tombstone, so that outdated entries do not add it again
}

// New returns the membership of the instance name, which others reach at address. It calls onSizeChange with each new
// number of instances.
func New(name, address string, seeds []string, log *zap.Logger, onSizeChange func(size int)) *Membership {
	return &Membership{
		log:          log,
		onSizeChange: onSizeChange,
		self:         Member{Name: name, Address: address, Incarnation: time.Now().UnixNano()},
		seeds:        seeds,
		members:      make(map[string]*member),
		clients:      make(map[string]*client.Client),
		size:         1,
		rng:          rand.New(rand.NewPCG(xxhash.Sum64String(name), 0)),
	}
}

// SetFailureDomain sets the failure domain that the entry of this instance states.
func (ms *Membership) SetFailureDomain(name string) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.self.FailureDomain = name
}

// SetCapacity sets the processor time, in thousandths of a core, that the entry of this instance states; 0 if unknown.
func (ms *Membership) SetCapacity(capacity int) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.self.Capacity = capacity
}

// SetSeeds replaces the addresses that are called to discover other instances.
func (ms *Membership) SetSeeds(seeds []string) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.seeds = seeds
}

// Size returns the number of running instances, including this one.
func (ms *Membership) Size() int {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.size
}

// Self returns the entry of this instance.
func (ms *Membership) Self() Member {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.self
}

// Members returns the other running instances, in no particular order.
func (ms *Membership) Members() []Member {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	all := make([]Member, 0, len(ms.members))
	for _, m := range ms.members {
		if !m.failed {
			all = append(all, m.Member)
		}
	}
	return all
}

// Call calls a method of the instance at address.
func (ms *Membership) Call(ctx context.Context, address, method string, request, reply any) error {
	return ms.client(address).Call(ctx, method, request, reply)
}

// Connect opens a connection to the instance at address unless there is one.
func (ms *Membership) Connect(ctx context.Context, address string) error {
	return ms.client(address).Connect(ctx)
}

// Run gossips with other instances until ctx is done.
func (ms *Membership) Run(ctx context.Context) {
	defer ms.close()
	for round := 0; ctx.Err() == nil; round++ {
		var calls sync.WaitGroup
		for _, to := range ms.pickTargets(round) {
			calls.Go(func() { ms.exchange(ctx, to) })
		}
		calls.Wait()
		ms.updateSize(time.Now())
		wait := gossipInterval
		if round < startupRounds {
			wait = startupInterval
		}
		pause.For(ctx, wait/2+rand.N(wait))
	}
}

// Handle merges the message of another instance and returns the message of this one.
func (ms *Membership) Handle(_ context.Context, body []byte) (any, error) {
	var msg Message
	if err := msgpack.Unmarshal(body, &msg); err != nil {
		return nil, fmt.Errorf("census: %w", err)
	}
	ms.merge(msg, time.Now())
	return ms.message(), nil
}

// pickTargets returns the addresses of random members, and of one seed that is not a known member, if there is one.
func (ms *Membership) pickTargets(round int) []string {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.self.Heartbeat++
	known := map[string]bool{ms.self.Address: true}
	for _, m := range ms.members {
		known[m.Address] = !m.failed
	}
	var addresses []string
	for _, m := range ms.sample(fanout) {
		addresses = append(addresses, m.Address)
	}
	for i := range ms.seeds {
		if seed := ms.seeds[(round+i)%len(ms.seeds)]; !known[seed] {
			return append(addresses, seed)
		}
	}
	return addresses
}

func (ms *Membership) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply Message
	if err := ms.Call(ctx, address, Method, ms.message(), &reply); err != nil {
		ms.log.Debug("instance not reached", zap.String("address", address), zap.Error(err))
		return
	}
	ms.merge(reply, time.Now())
}

func (ms *Membership) client(address string) *client.Client {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	cl, ok := ms.clients[address]
	if !ok {
		cl = client.New(address, func() uint64 { return 0 }, func(uint64) {})
		ms.clients[address] = cl
	}
	return cl
}

func (ms *Membership) message() Message {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	size := ms.messageSize()
	drawn := ms.sample(sampleFactor * size)
	slices.SortStableFunc(drawn, func(a, b *member) int { return b.lastHeartbeat.Compare(a.lastHeartbeat) })
	msg := Message{Members: []Member{ms.self}}
	for _, m := range drawn[:min(size, len(drawn))] {
		msg.Members = append(msg.Members, m.Member)
	}
	return msg
}

// sample returns at most n other running instances in random order.
func (ms *Membership) sample(n int) []*member {
	var all []*member
	for _, name := range slices.Sorted(maps.Keys(ms.members)) {
		if m := ms.members[name]; !m.failed {
			all = append(all, m)
		}
	}
	ms.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// messageSize returns the number of other instances in a message.
func (ms *Membership) messageSize() int {
	return min(max(minMembers, len(ms.members)/messageDivisor), maxMembers)
}

// failureTimeout returns the time without a heartbeat after which an instance is considered failed. It assumes that this
// instance receives 2*fanout messages per round: the replies to its own calls and, on average, as many calls of others.
func (ms *Membership) failureTimeout() time.Duration {
	perRound := 2 * fanout * (ms.messageSize() + 1)
	rounds := len(ms.members)/perRound + 1
	return minFailureTimeout + time.Duration(propagationFactor*rounds)*gossipInterval
}

// merge adopts the entries of msg that are unknown or newer than the known ones.
func (ms *Membership) merge(msg Message, now time.Time) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, m := range msg.Members {
		if m.Name == ms.self.Name {
			ms.supersede(m)
			continue
		}
		known, ok := ms.members[m.Name]
		if !ok || m.isNewerThan(known.Member) {
			ms.members[m.Name] = &member{Member: m, lastHeartbeat: now}
		}
	}
}

// supersede raises the incarnation of this process above that of a former process of the same name, if that is higher.
// Incarnations are taken from the wall clock, which may have been set back since the former process started.
func (ms *Membership) supersede(former Member) {
	if former.Incarnation > ms.self.Incarnation {
		ms.self.Incarnation = former.Incarnation + 1
		ms.log.Info("a former process of this instance started at a later time of day", zap.Int64("incarnation", ms.self.Incarnation))
	}
}

func (m Member) isNewerThan(o Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	return m.Heartbeat > o.Heartbeat
}

// updateSize marks the instances that have failed and reports the number of running ones if it has changed.
func (ms *Membership) updateSize(now time.Time) {
	ms.mu.Lock()
	ms.expire(now)
	size := len(ms.sample(len(ms.members))) + 1
	changed := size != ms.size
	ms.size = size
	ms.mu.Unlock()
	if changed {
		ms.log.Info("number of instances", zap.Int("instances", size))
		ms.onSizeChange(size)
	}
}

// expire marks instances without a recent heartbeat as failed, drops old tombstones, and closes clients that are no longer used.
func (ms *Membership) expire(now time.Time) {
	addresses := make(map[string]bool)
	timeout := ms.failureTimeout()
	for name, m := range ms.members {
		sinceHeartbeat := now.Sub(m.lastHeartbeat)
		switch {
		case m.failed && sinceHeartbeat > tombstoneTimeout:
			delete(ms.members, name)
		case !m.failed && sinceHeartbeat > timeout:
			ms.log.Info("instance is gone", zap.String("peer", name), zap.Duration("silent-for", sinceHeartbeat))
			m.failed = true
		case !m.failed:
			addresses[m.Address] = true
		}
	}
	for _, seed := range ms.seeds {
		addresses[seed] = true
	}
	for address, cl := range ms.clients {
		if !addresses[address] {
			cl.Close()
			delete(ms.clients, address)
		}
	}
}

func (ms *Membership) close() {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, cl := range ms.clients {
		cl.Close()
	}
}
