// Package membership counts the instances that are up.
//
// Each instance counts its own heartbeats; the counts spread by gossip, and an instance whose count does not grow is
// taken as gone: van Renesse, Minsky and Hayden, "A gossip-style failure detection service", Middleware 1998.
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
	// Method is the name of the call between instances.
	Method = "census"

	quickRounds = 10 // rounds after the start that follow each other quickly, to find the others
	quickEvery  = 300 * time.Millisecond
	every       = 3 * time.Second
	fanOut      = 2 // members called each round
	callTimeout = 800 * time.Millisecond
	// goneAfter keeps an instance in the count for longer than a restart takes.
	goneAfter = 20 * time.Second
	// goRound is how many times the news of all instances have to fit into the messages before silence counts: in random
	// gossip some take several times the mean.
	goRound = 15
	// forgetAfter exceeds the time for which others tell old news of an instance that is gone.
	forgetAfter = 10 * time.Minute
	// newsShare of the instances are in a message, at least minNews and at most maxNews; the others are told in other
	// rounds. At 2,800 instances that is 3 KB/s.
	newsShare = 4
	minNews   = 8
	maxNews   = 32
	// sampleFactor times as many are drawn, and the freshest of them told.
	sampleFactor = 2
)

// Member is an instance as others tell of it.
type Member struct {
	Name    string `msgpack:"n"`
	Address string `msgpack:"a"`
	// Incarnation is the start of its process, Heartbeat grows while it runs.
	Incarnation int64  `msgpack:"i"`
	Heartbeat   uint64 `msgpack:"h"`
}

// Message is the message of both directions.
type Message struct {
	Members []Member `msgpack:"m"`
}

// Membership is safe for concurrent use.
type Membership struct {
	log     *zap.Logger
	changed func(size int)

	mu      sync.Mutex
	self    Member
	seeds   []string
	members map[string]*member
	clients map[string]*client.Client
	size    int
	random  *rand.Rand
}

type member struct {
	Member
	grown time.Time // when its heartbeat last grew here
	gone  bool      // kept, so that old news from others do not bring it back
}

// New makes the membership of an instance that others reach at address. changed is told each new count.
func New(name, address string, seeds []string, log *zap.Logger, changed func(size int)) *Membership {
	return &Membership{
		log:     log,
		changed: changed,
		self:    Member{Name: name, Address: address, Incarnation: time.Now().UnixNano()},
		seeds:   seeds,
		members: make(map[string]*member),
		clients: make(map[string]*client.Client),
		size:    1,
		random:  rand.New(rand.NewPCG(xxhash.Sum64String(name), 0)),
	}
}

// SetSeeds replaces the addresses by which others are found.
func (c *Membership) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
}

// Size is the number of instances that are taken as up, this one included.
func (c *Membership) Size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.size
}

// Self describes this instance.
func (c *Membership) Self() Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.self
}

// Members gives the other instances that are taken as up.
func (c *Membership) Members() []Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]Member, 0, len(c.members))
	for _, m := range c.members {
		if !m.gone {
			all = append(all, m.Member)
		}
	}
	return all
}

// Call asks another instance.
func (c *Membership) Call(ctx context.Context, address, method string, request, reply any) error {
	return c.client(address).Call(ctx, method, request, reply)
}

// Run tells and asks others until ctx ends.
func (c *Membership) Run(ctx context.Context) {
	defer c.close()
	for round := 0; ctx.Err() == nil; round++ {
		var calls sync.WaitGroup
		for _, to := range c.choose(round) {
			calls.Go(func() { c.call(ctx, to) })
		}
		calls.Wait()
		c.count(time.Now())
		wait := every
		if round < quickRounds {
			wait = quickEvery
		}
		pause.For(ctx, wait/2+rand.N(wait))
	}
}

// Handle takes a call of another instance and gives what this one knows.
func (c *Membership) Handle(_ context.Context, body []byte) (any, error) {
	var news Message
	if err := msgpack.Unmarshal(body, &news); err != nil {
		return nil, fmt.Errorf("census: %w", err)
	}
	c.learn(news, time.Now())
	return c.news(), nil
}

// choose gives random members and one seed that is not known as a member, if there is one.
func (c *Membership) choose(round int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.self.Heartbeat++
	known := map[string]bool{c.self.Address: true}
	for _, m := range c.members {
		known[m.Address] = !m.gone
	}
	var addresses []string
	for _, m := range c.some(fanOut) {
		addresses = append(addresses, m.Address)
	}
	for i := range c.seeds {
		if seed := c.seeds[(round+i)%len(c.seeds)]; !known[seed] {
			return append(addresses, seed)
		}
	}
	return addresses
}

func (c *Membership) call(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply Message
	if err := c.Call(ctx, address, Method, c.news(), &reply); err != nil {
		c.log.Debug("instance not reached", zap.String("address", address), zap.Error(err))
		return
	}
	c.learn(reply, time.Now())
}

func (c *Membership) client(address string) *client.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.clients[address]
	if !ok {
		known = client.New(address, func() uint64 { return 0 }, func(uint64) {})
		c.clients[address] = known
	}
	return known
}

func (c *Membership) news() Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	most := c.most()
	some := c.some(sampleFactor * most)
	slices.SortStableFunc(some, func(a, b *member) int { return b.grown.Compare(a.grown) })
	n := Message{Members: []Member{c.self}}
	for _, m := range some[:min(most, len(some))] {
		n.Members = append(n.Members, m.Member)
	}
	return n
}

// some gives at most n random instances that are taken as up.
func (c *Membership) some(n int) []*member {
	var all []*member
	for _, name := range slices.Sorted(maps.Keys(c.members)) {
		if m := c.members[name]; !m.gone {
			all = append(all, m)
		}
	}
	c.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// most is the number of others in a message.
func (c *Membership) most() int { return min(max(minNews, len(c.members)/newsShare), maxNews) }

// patience is how long an instance may be silent. A round brings as many messages as this instance sends and gets.
func (c *Membership) patience() time.Duration {
	perRound := 2 * fanOut * (c.most() + 1)
	rounds := len(c.members)/perRound + 1
	return goneAfter + time.Duration(goRound*rounds)*every
}

func (c *Membership) learn(news Message, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range news.Members {
		if m.Name == c.self.Name {
			c.outlive(m)
			continue
		}
		known, ok := c.members[m.Name]
		if !ok || m.isNewerThan(known.Member) {
			c.members[m.Name] = &member{Member: m, grown: now}
		}
	}
}

// outlive makes this process newer than the news of a former one of its name. The time of day, from which incarnations come, may have
// jumped back since that one's start.
func (c *Membership) outlive(former Member) {
	if former.Incarnation > c.self.Incarnation {
		c.self.Incarnation = former.Incarnation + 1
		c.log.Info("a former process of this instance started at a later time of day", zap.Int64("incarnation", c.self.Incarnation))
	}
}

func (m Member) isNewerThan(o Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	return m.Heartbeat > o.Heartbeat
}

// count forgets the instances that were silent for too long and tells a new number.
func (c *Membership) count(now time.Time) {
	c.mu.Lock()
	c.forget(now)
	size := len(c.some(len(c.members))) + 1
	isNew := size != c.size
	c.size = size
	c.mu.Unlock()
	if isNew {
		c.log.Info("number of instances", zap.Int("instances", size))
		c.changed(size)
	}
}

// forget marks the silent instances as gone and closes the connections to them.
func (c *Membership) forget(now time.Time) {
	addresses := make(map[string]bool)
	patience := c.patience()
	for name, m := range c.members {
		silent := now.Sub(m.grown)
		switch {
		case m.gone && silent > forgetAfter:
			delete(c.members, name)
		case !m.gone && silent > patience:
			c.log.Info("instance is gone", zap.String("peer", name), zap.Duration("silent-for", silent))
			m.gone = true
		case !m.gone:
			addresses[m.Address] = true
		}
	}
	for _, seed := range c.seeds {
		addresses[seed] = true
	}
	for address, known := range c.clients {
		if !addresses[address] {
			known.Close()
			delete(c.clients, address)
		}
	}
}

func (c *Membership) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, known := range c.clients {
		known.Close()
	}
}
