// Package membership tracks which instances of the tier are running. The catalog of upstreams divides the shared limits among them, and
// the relay of the published state selects its peers from them. An instance that has just started has no shares until it knows the fleet
// (see knowledge).
//
// Each instance increments its own heartbeat counter. The counters spread by gossip, and an instance whose counter stops
// increasing is considered failed: van Renesse, Minsky and Hayden, "A gossip-style failure detection service",
// Middleware 1998.
package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"crocuswing/internal/fleet/share"
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
	// smallFleetInterval replaces startupInterval until the fleet is known, where a message with all members is small.
	smallFleetInterval = 100 * time.Millisecond
	smallFleet         = 64 // instances
	gossipInterval     = 3 * time.Second
	fanout             = 2 // members called in each round
	callTimeout        = 800 * time.Millisecond
	// startupTimeout replaces callTimeout until the fleet is known. After a loss of power the connection to an instance that is not up yet
	// hangs, while a new one is accepted as soon as it is up.
	startupTimeout = 250 * time.Millisecond
	// minFailureTimeout is longer than a restart takes, so that an instance that restarts stays counted.
	minFailureTimeout = 20 * time.Second
	// propagationFactor is the number of times that the entries of all instances have to fit into the messages received
	// before a missing heartbeat counts as a failure. In random gossip some entries take several times the mean to spread.
	propagationFactor = 15
	// tombstoneTimeout exceeds the time for which others still send entries of a failed instance.
	tombstoneTimeout = 10 * time.Minute
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

// Membership tracks the running instances by gossip. It is safe for concurrent use.
type Membership struct {
	log           *zap.Logger
	onFleetChange func(*share.Division)

	reporting sync.Mutex // held during calls of onFleetChange, which thereby keep their order

	mu sync.Mutex
	knowledge
	self    Member
	seeds   []string
	members map[string]*member
	running []*member // members that have not failed, by name; nil after a change
	clients map[string]*client.Client
	size    int // as reported last
	rng     *rand.Rand
}

type member struct {
	Member
	lastHeartbeat time.Time // time at which this instance last saw the heartbeat increase
	addedAt       time.Time // time from which this instance has counted it without interruption
	// startedTogether reports that this instance knew it when it took the fleet for complete, without an instance that knew the fleet before.
	startedTogether bool
	knowsFleet      bool // as it has told this instance
	failed          bool // kept as a tombstone, so that outdated entries do not add it again
}

// New returns the membership of the instance name, which others reach at address. It calls onFleetChange with each new division of limits
// among the instances, and with nil when this instance no longer knows the fleet, as it does at its start.
func New(name, address string, seeds []string, log *zap.Logger, onFleetChange func(*share.Division)) *Membership {
	return &Membership{
		log:           log,
		onFleetChange: onFleetChange,
		self:          Member{Name: name, Address: address, Incarnation: time.Now().UnixNano()},
		seeds:         seeds,
		members:       make(map[string]*member),
		clients:       make(map[string]*client.Client),
		size:          1,
		rng:           rand.New(rand.NewPCG(xxhash.Sum64String(name), 0)),
		knowledge:     knowledge{digest: xxhash.Sum64String(name)},
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
		ms.beginRound(time.Now())
		var calls sync.WaitGroup
		for i, to := range ms.pickTargets(round) {
			calls.Go(func() { ms.exchange(ctx, to, ms.wantsAll(round, i)) })
		}
		calls.Wait()
		now := time.Now()
		ms.update(now)
		wait := ms.interval(round, now)
		pause.For(ctx, wait/2+rand.N(wait))
	}
}

// interval returns the mean time from this round to the next one.
func (ms *Membership) interval(round int, now time.Time) time.Duration {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if !ms.known && ms.isSmall() {
		return smallFleetInterval
	}
	if round < startupRounds || !ms.known || now.Before(ms.grownAt.Add(spreadTime)) {
		return startupInterval
	}
	return gossipInterval
}

// Handle merges the message of another instance and returns the message of this one.
func (ms *Membership) Handle(_ context.Context, body []byte) (any, error) {
	var msg Message
	if err := msgpack.Unmarshal(body, &msg); err != nil {
		return nil, fmt.Errorf("census: %w", err)
	}
	now := time.Now()
	reply := ms.reply(msg, now)
	ms.update(now)
	return reply, nil
}

// pickTargets returns the addresses of random members, and of one seed that is not a known member, if there is one. An instance that does
// not know the fleet first calls a member that does, then several seeds, whether they are known or not.
func (ms *Membership) pickTargets(round int) []string {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.self.Heartbeat++
	addresses := []string{}
	excluded := map[string]bool{ms.self.Address: true}
	add := func(address string) bool {
		if excluded[address] {
			return false
		}
		excluded[address] = true
		addresses = append(addresses, address)
		return true
	}
	seedCount := startupSeeds
	if ms.known {
		seedCount = 1
		for _, m := range ms.runningMembers() {
			excluded[m.Address] = true
		}
	} else if m := ms.sampleKnowing(); m != nil {
		add(m.Address)
	}
	for i := range ms.seeds {
		if seedCount > 0 && add(ms.seeds[(round+i)%len(ms.seeds)]) {
			seedCount--
		}
	}
	clear(excluded)
	for _, address := range addresses {
		excluded[address] = true
	}
	for _, m := range ms.sample(fanout) {
		add(m.Address)
	}
	return addresses
}

// isSmall reports whether the known fleet is small.
func (ms *Membership) isSmall() bool { return len(ms.members) < smallFleet }

// timeout returns the time that a call may take.
func (ms *Membership) timeout() time.Duration {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if ms.known {
		return callTimeout
	}
	return startupTimeout
}

func (ms *Membership) exchange(ctx context.Context, address string, wantAll bool) {
	ctx, cancel := context.WithTimeout(ctx, ms.timeout())
	defer cancel()
	var reply Message
	if err := ms.Call(ctx, address, Method, ms.request(wantAll, time.Now()), &reply); err != nil {
		ms.log.Debug("instance not reached", zap.String("address", address), zap.Error(err))
		return
	}
	now := time.Now()
	ms.merge(reply, now)
	ms.learn(reply, now)
	ms.update(now)
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

// failureTimeout returns the time without a heartbeat after which an instance is considered failed. It assumes that this
// instance receives 2*fanout messages per round: the replies to its own calls and, on average, as many calls of others.
func (ms *Membership) failureTimeout() time.Duration {
	perRound := 2 * fanout * (ms.messageSize() + 1)
	rounds := len(ms.members)/perRound + 1
	return minFailureTimeout + time.Duration(propagationFactor*rounds)*gossipInterval
}

// toggle adds a name to the digest of the running members or takes it out.
func (ms *Membership) toggle(name string) {
	ms.digest ^= xxhash.Sum64String(name)
	ms.running = nil
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
		switch {
		case !ok || (known.failed && m.isNewerThan(known.Member)):
			ms.members[m.Name] = &member{Member: m, lastHeartbeat: now, addedAt: now}
			ms.toggle(m.Name)
			ms.grownAt = now
		case m.isNewerThan(known.Member):
			known.Member, known.lastHeartbeat = m, now
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
			ms.toggle(name)
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
