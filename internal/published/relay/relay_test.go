package relay

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/fleet/membership"
	"crocuswing/internal/peer/client"
	"crocuswing/internal/published/change"
	"crocuswing/internal/published/follower"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
)

const interval = time.Second

// store simulates the platform's store. It can refuse the reads of individual instances.
type store struct {
	mu              sync.Mutex
	revision        int64
	excludedDomains map[string]bool
	calls           int
	unavailable     map[string]bool // by instance name
}

// storeClient is one instance's client of the store.
type storeClient struct {
	*store
	instance string
}

func (c storeClient) Read(context.Context) (change.Batch, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if c.unavailable[c.instance] {
		return change.Batch{}, errors.New("store unavailable")
	}
	b := change.Batch{Full: true, Position: change.Position{Era: 1, Revision: c.revision}}
	for name := range c.excludedDomains {
		d, _ := c.Decode(change.Item{Key: name})
		b.Changes = append(b.Changes, d)
	}
	return b, nil
}

func (c storeClient) ReadSince(ctx context.Context, _ change.Position, _ bool) (change.Batch, error) {
	return c.Read(ctx)
}
func (storeClient) Reset() {}
func (storeClient) Decode(i change.Item) (change.Change, bool) {
	return change.Change{Item: i, Kind: change.KindDomain, Name: i.Key}, true
}

func (s *store) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *store) put(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.excludedDomains[name] = true
}

// fleet is a set of instances that call each other in memory.
type fleet struct {
	*store
	mu         sync.Mutex
	instances  map[string]*instance
	down       map[string]bool
	unanswered int // number of calls without a reply
}

type instance struct {
	*fleet
	name     string
	follower *follower.Follower
	handler  func(ctx context.Context, body []byte) (any, error)
}

func (i *instance) Self() membership.Member { return membership.Member{Name: i.name, Address: i.name} }

func (i *instance) Members() []membership.Member {
	var all []membership.Member
	for name := range i.instances {
		if name != i.name {
			all = append(all, membership.Member{Name: name, Address: name})
		}
	}
	return all
}

func (i *instance) isDown(name string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.down[name]
}

func (i *instance) Call(ctx context.Context, address, _ string, request, reply any) error {
	const latency = 8 * time.Millisecond
	time.Sleep(2 * latency)
	if i.isDown(address) || i.isDown(i.name) {
		i.mu.Lock()
		i.unanswered++
		i.mu.Unlock()
		<-ctx.Done()
		return ctx.Err()
	}
	body, err := msgpack.Marshal(request)
	if err != nil {
		return err
	}
	got, err := i.instances[address].handler(ctx, body)
	if err != nil {
		return &client.RefusedError{Reason: err.Error()}
	}
	if body, err = msgpack.Marshal(got); err != nil {
		return err
	}
	return msgpack.Unmarshal(body, reply)
}

// run starts n instances, lets them run for 5 s and calls test.
func run(t *testing.T, n int, test func(t *testing.T, f *fleet)) {
	start(t, n, false, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		test(t, f)
	})
}

// start starts n instances, with the store available or not, and stops them when test returns.
func start(t *testing.T, n int, isUnavailable bool, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{store: &store{revision: 1, excludedDomains: make(map[string]bool), unavailable: make(map[string]bool)}, instances: make(map[string]*instance), down: make(map[string]bool)}
		for k := range n {
			i := &instance{fleet: f, name: fmt.Sprintf("i-%d", k)}
			f.instances[i.name] = i
			f.unavailable[i.name] = isUnavailable
		}
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		for _, i := range f.instances {
			r := New(storeClient{store: f.store, instance: i.name}, i, func(string) {})
			i.follower = follower.New(r, interval, zap.NewNop())
			i.handler = Handler(i.follower)
		}
		for _, i := range f.instances {
			group.Go(func() { i.follower.Run(ctx) })
		}
		test(t, f)
		cancel()
		group.Wait()
	})
}

// treeOrder returns the instance names in tree order, the root first.
func (f *fleet) treeOrder() []string {
	var names []string
	for name := range f.instances {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	return names
}

// propagate excludes a failure domain and returns the time until all instances that are up have the change.
func (f *fleet) propagate(t *testing.T, name string) time.Duration {
	f.put(name)
	start := time.Now()
	for {
		all := true
		for _, i := range f.instances {
			all = all && (i.isDown(i.name) || i.follower.View().ExcludedDomains[name])
		}
		if all {
			return time.Since(start)
		}
		require.Less(t, time.Since(start), 20*time.Second)
		time.Sleep(10 * time.Millisecond)
	}
}

// TestFewReads checks that the fleet reads the store about once per interval, whatever its size, and that a change reaches all
// instances within the interval plus network latency.
func TestFewReads(t *testing.T) {
	for _, n := range []int{1, 4, 33, 200} {
		run(t, n, func(t *testing.T, f *fleet) {
			before := f.count()
			const span = 30 * time.Second
			time.Sleep(span)
			require.LessOrEqual(t, f.count()-before, int(span/interval)+2)
			require.LessOrEqual(t, f.propagate(t, "a"), interval+200*time.Millisecond)
		})
	}
}

// TestRootUnreachable makes the root, and up to two instances next in rank, unreachable. A change must still reach
// the others within 3 s, plus one call timeout for each further unreachable instance, and the unreachable ones must be called only
// occasionally.
func TestRootUnreachable(t *testing.T) {
	for down := 1; down <= 3; down++ {
		run(t, 33, func(t *testing.T, f *fleet) {
			f.mu.Lock()
			for _, name := range f.treeOrder()[:down] {
				f.down[name] = true
			}
			f.mu.Unlock()
			require.LessOrEqual(t, f.propagate(t, "a"), 3*time.Second+time.Duration(down-1)*(pollTimeout+callMargin))
			time.Sleep(5 * time.Second)
			require.LessOrEqual(t, f.propagate(t, "b"), 3*time.Second)
			f.mu.Lock()
			before := f.unanswered
			f.mu.Unlock()
			const span = 20 * time.Second
			time.Sleep(span)
			f.mu.Lock()
			defer f.mu.Unlock()
			limit := 33 * down * int(span/(avoidTime+pollTimeout)+1)
			require.LessOrEqual(t, f.unanswered-before, limit+down*int(span/callMargin), "unreachable instances are called only occasionally")
		})
	}
}

// TestRootRefusedByStore makes the store refuse the root alone, or a third of all instances. A change must still arrive within 3 s.
func TestRootRefusedByStore(t *testing.T) {
	for _, n := range []int{1, 11} {
		run(t, 33, func(t *testing.T, f *fleet) {
			f.store.mu.Lock()
			for _, name := range f.treeOrder()[:n] {
				f.unavailable[name] = true
			}
			f.store.mu.Unlock()
			time.Sleep(3 * time.Second)
			for _, name := range []string{"a", "b", "c"} {
				require.LessOrEqual(t, f.propagate(t, name), 3*time.Second)
				time.Sleep(2 * time.Second)
			}
		})
	}
}

// TestStoreUnavailable checks that all views age during an outage of the store, since instances must not confirm each other's stale
// views, and that a change arrives within 3 s after the outage.
func TestStoreUnavailable(t *testing.T) {
	run(t, 8, func(t *testing.T, f *fleet) {
		f.store.mu.Lock()
		for name := range f.instances {
			f.unavailable[name] = true
		}
		f.store.mu.Unlock()
		time.Sleep(20 * time.Second)
		for _, i := range f.instances {
			age, ok := i.follower.Age()
			require.True(t, ok)
			require.Greater(t, age, 17*time.Second, "instances must not confirm each other's stale views")
		}
		f.store.mu.Lock()
		clear(f.unavailable)
		f.store.mu.Unlock()
		require.LessOrEqual(t, f.propagate(t, "a"), 3*time.Second)
	})
}

// TestStartWithoutStore checks that a new instance that the store refuses gets the published state from other instances.
func TestStartWithoutStore(t *testing.T) {
	run(t, 4, func(t *testing.T, f *fleet) {
		f.propagate(t, "a")
		i := &instance{fleet: f, name: "late"}
		f.mu.Lock()
		f.unavailable["late"] = true
		f.mu.Unlock()
		r := New(storeClient{store: f.store, instance: i.name}, i, func(string) {})
		i.follower = follower.New(r, interval, zap.NewNop())
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		i.follower.Run(ctx)
		require.True(t, i.follower.View().ExcludedDomains["a"])
	})
}

// TestStartTogether starts the whole fleet while the store is unavailable. The store must not be flooded, and all instances must
// have the view within half a second after its recovery.
func TestStartTogether(t *testing.T) {
	start(t, 33, true, func(t *testing.T, f *fleet) {
		const outage = 6
		time.Sleep(outage * time.Second)
		f.store.mu.Lock()
		require.LessOrEqual(t, f.calls, outage*(33+int(time.Second/(100*time.Millisecond)))+33)
		clear(f.unavailable)
		f.store.mu.Unlock()
		require.LessOrEqual(t, f.propagate(t, "a"), 500*time.Millisecond)
	})
}
