package relay

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/fleet/membership"
	"crocuswing/internal/published/change"
	"crocuswing/internal/published/follower"
	"crocuswing/internal/published/registration"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

const (
	// drainTime is the time after the removal of an upstream from which no instance may send to it.
	drainTime = 3 * time.Second
	// returnTime is the time after an outage of the store within which upstreams that are up have registered again.
	returnTime = 2 * time.Second
	// reportInterval is the interval at which upstreams report. A registration lapses after three of them without a report.
	reportInterval = 1200 * time.Millisecond
	// lapseTime is the shortest outage of the store in which a registration lapses: the last report may be one interval old.
	lapseTime = 2 * reportInterval
	keyPrefix = "u/" // of registrations
)

// freezable is an instance that can be frozen and restarted. It is its own client of the store.
type freezable struct {
	*freezableFleet
	name    string
	process atomic.Pointer[process]
	starts  uint64

	mu     sync.Mutex
	thawed chan struct{} // closed unless the instance is frozen
}

// process is one lifetime of an instance.
type process struct {
	follow  *follower.Follower
	handler func(ctx context.Context, body []byte) (any, error)
	stop    context.CancelFunc
}

// start starts the instance anew. A process that ran before ends with all that it knows.
func (n *freezable) start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.starts++
	rng := rand.New(rand.NewPCG(n.seed, xxhash.Sum64String(n.name)+n.starts))
	f := follower.New(New(n, n, func(string) {}), interval, zap.NewNop(), follower.WithRand(rng))
	f.SetReportInterval(reportInterval)
	old := n.process.Swap(&process{follow: f, handler: Handler(f), stop: cancel})
	if old != nil {
		old.stop()
	}
	n.running.Go(func() { f.Run(ctx) })
}

// upstreams returns the upstreams in the view of the instance.
func (n *freezable) upstreams() map[string]registration.Registration {
	return n.process.Load().follow.View().Upstreams
}

// freezableFleet is a set of instances with a common store.
type freezableFleet struct {
	*registry
	seed      uint64 // of the jitter
	instances map[string]*freezable
	fleet     *fleet // carries the calls between the instances
	running   sync.WaitGroup
}

func (n *freezable) freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.thawed = make(chan struct{})
}

func (n *freezable) thaw() {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.thawed:
	default:
		close(n.thawed)
	}
}

// await blocks while the instance is frozen, or until ctx ends, and reports whether the instance is not frozen.
func (n *freezable) await(ctx context.Context) bool {
	n.mu.Lock()
	thawed := n.thawed
	n.mu.Unlock()
	select {
	case <-thawed:
		return true
	case <-ctx.Done():
		return false
	}
}

func (n *freezable) Read(ctx context.Context) (change.Batch, error) {
	return n.ReadSince(ctx, change.Position{}, false)
}

func (n *freezable) ReadSince(_ context.Context, after change.Position, _ bool) (change.Batch, error) {
	const latency = 4 * time.Millisecond
	n.await(context.Background())
	time.Sleep(latency)
	b, err := n.read(n.name, after)
	n.await(context.Background())
	return b, err
}

func (*freezable) Reset() {}

func (*freezable) Decode(i change.Item) (change.Change, bool) { return decode(i), true }

func (n *freezable) Self() membership.Member { return membership.Member{Name: n.name, Address: n.name} }

func (n *freezable) Members() (all []membership.Member) {
	for name := range n.instances {
		if name != n.name {
			all = append(all, membership.Member{Name: name, Address: name})
		}
	}
	return all
}

// Call fails when ctx ends if the called instance is frozen. A frozen caller returns when it is thawed.
func (n *freezable) Call(ctx context.Context, address, method string, request, reply any) error {
	defer n.await(context.Background())
	called := n.instances[address]
	if !called.await(ctx) {
		return ctx.Err()
	}
	err := n.fleet.instances[n.name].Call(ctx, address, method, request, reply)
	if !called.await(ctx) {
		return ctx.Err()
	}
	return err
}

// has reports whether the view of the instance contains the upstream.
func (n *freezable) has(upstream string) bool {
	_, ok := n.upstreams()[upstream]
	return ok
}

// runFreezable starts n instances and upstreams "0" to "9", lets them run for 5 s and calls test with the instances in the order of the tree.
func runFreezable(t *testing.T, n int, test func(t *testing.T, c *freezableFleet, ranked []*freezable)) {
	runFreezableSeed(t, n, 0, test)
}

// runFreezableSeed is like runFreezable with a seed of the jitter of retries.
func runFreezableSeed(t *testing.T, n int, seed uint64, test func(t *testing.T, c *freezableFleet, ranked []*freezable)) {
	synctest.Test(t, func(t *testing.T) {
		c := &freezableFleet{
			seed:     seed,
			registry: &registry{era: 1, items: make(map[string]written), unavailable: make(map[string]bool)}, instances: make(map[string]*freezable),
			fleet: &fleet{instances: make(map[string]*instance), down: make(map[string]bool)},
		}
		for u := range 10 {
			c.register(fmt.Sprint(u), 1)
		}
		open := make(chan struct{})
		close(open)
		for k := range n {
			x := &freezable{freezableFleet: c, name: fmt.Sprintf("i-%d", k), thawed: open}
			c.instances[x.name] = x
			c.fleet.instances[x.name] = &instance{fleet: c.fleet, name: x.name, handler: func(ctx context.Context, body []byte) (any, error) {
				return x.process.Load().handler(ctx, body)
			}}
		}
		defer c.running.Wait()
		for _, x := range c.instances {
			x.start()
			defer func() { x.process.Load().stop() }()
			defer x.thaw()
		}
		time.Sleep(5 * time.Second)
		var ranked []*freezable
		for _, name := range c.fleet.treeOrder() {
			ranked = append(ranked, c.instances[name])
		}
		test(t, c, ranked)
	})
}

// requireRemoved checks the views for d. From drainTime after its time in removed, no instance may have an upstream.
func (c *freezableFleet) requireRemoved(t *testing.T, d time.Duration, ranked []*freezable, removed func() map[string]time.Time) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, x := range ranked {
			for name, at := range removed() {
				if since := time.Since(at); since >= drainTime {
					require.False(t, x.has(name), "%s has upstream %s %v after its removal", x.name, name, since)
				}
			}
		}
	}
}

// TestRemovalWhileReaderIsFrozen guards against requests to upstreams that have left, from undisturbed instances: the one that reads the store
// for the others was frozen, and they took over the grace period in which it keeps what was removed.
func TestRemovalWhileReaderIsFrozen(t *testing.T) {
	for phase := range 10 {
		runFreezable(t, 4, func(t *testing.T, c *freezableFleet, ranked []*freezable) {
			time.Sleep(time.Duration(phase) * interval / 10)
			reader := ranked[0]
			reader.freeze()
			const frozen = 5 * time.Second
			time.AfterFunc(frozen, reader.thaw)
			var mu sync.Mutex
			removed := make(map[string]time.Time)
			for u := range 10 {
				time.AfterFunc(frozen-time.Second+time.Duration(u)*150*time.Millisecond, func() {
					c.remove(fmt.Sprint(u))
					mu.Lock()
					defer mu.Unlock()
					removed[fmt.Sprint(u)] = time.Now()
				})
			}
			c.requireRemoved(t, frozen+2*drainTime, ranked[1:], func() map[string]time.Time {
				mu.Lock()
				defer mu.Unlock()
				return maps.Clone(removed)
			})
			for _, x := range ranked {
				require.Empty(t, x.upstreams(), x.name)
			}
		})
	}
}

// TestLapseDuringOutage lets registrations lapse in an outage of the store that is long enough for it. The upstreams register again within
// returnTime, and no instance may drop them meanwhile.
func TestLapseDuringOutage(t *testing.T) {
	for _, outage := range []time.Duration{lapseTime, 6 * time.Second} {
		for phase := range 10 {
			runFreezable(t, 4, func(t *testing.T, c *freezableFleet, ranked []*freezable) {
				time.Sleep(time.Duration(phase) * interval / 10)
				c.setUnavailable("i-0", "i-1", "i-2", "i-3")
				time.Sleep(outage)
				for u := range 5 {
					c.remove(fmt.Sprint(u))
				}
				c.setUnavailable()
				for u := range 5 {
					time.AfterFunc(returnTime, func() { c.register(fmt.Sprint(u), 2) })
				}
				for range 500 {
					time.Sleep(10 * time.Millisecond)
					for _, x := range ranked {
						require.Len(t, x.upstreams(), 10, "%s after an outage of %v", x.name, outage)
					}
				}
			})
		}
	}
}

// TestRemovalWhileOthersAreDisturbed freezes single instances, and cuts single ones off from the store, at random. The others have removals
// in time.
func TestRemovalWhileOthersAreDisturbed(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 0))
		runFreezable(t, 6, func(t *testing.T, c *freezableFleet, ranked []*freezable) {
			const undisturbed = 3 // the last instances in rank
			removed := make(map[string]time.Time)
			next := int64(10)
			for range 8 {
				x := ranked[rng.IntN(len(ranked)-undisturbed)]
				isFreeze := rng.IntN(2) == 0
				if isFreeze {
					x.freeze()
				} else {
					c.setUnavailable(x.name)
				}
				left := time.Duration(rng.IntN(7000)) * time.Millisecond
				for range 4 {
					step := time.Duration(rng.Int64N(int64(left) + 1))
					left -= step
					c.requireRemoved(t, step, ranked[len(ranked)-undisturbed:], func() map[string]time.Time { return removed })
					name := fmt.Sprint(next - 10)
					c.remove(name)
					removed[name] = time.Now()
					c.register(fmt.Sprint(next), 1)
					next++
				}
				if isFreeze {
					x.thaw()
				} else {
					c.setUnavailable()
				}
				c.requireRemoved(t, time.Duration(rng.IntN(5000))*time.Millisecond, ranked[len(ranked)-undisturbed:], func() map[string]time.Time { return removed })
			}
			time.Sleep(2 * drainTime)
			for _, x := range ranked {
				require.Len(t, x.upstreams(), 10, x.name)
			}
		})
	}
}
