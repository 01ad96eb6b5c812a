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

// store is the platform's store; it may turn instances away.
type store struct {
	mu       sync.Mutex
	revision int64
	out      map[string]bool
	calls    int
	away     map[string]bool // by instance
}

// way is one instance's way to the store.
type way struct {
	*store
	instance string
}

func (c way) Read(context.Context) (change.Batch, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if c.away[c.instance] {
		return change.Batch{}, errors.New("turned away")
	}
	b := change.Batch{Full: true, Revision: c.revision}
	for name := range c.out {
		d, _ := c.Decode(change.Item{Key: name})
		b.Changes = append(b.Changes, d)
	}
	return b, nil
}

func (c way) ReadSince(ctx context.Context, _ int64) (change.Batch, error) { return c.Read(ctx) }
func (way) Reset()                                                         {}
func (way) Decode(i change.Item) (change.Change, bool) {
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
	s.out[name] = true
}

// fleet is a number of instances that call each other in memory.
type fleet struct {
	*store
	mu        sync.Mutex
	instances map[string]*instance
	down      map[string]bool
	lost      int // calls that were not answered
}

type instance struct {
	*fleet
	name     string
	follower *follower.Follower
	answer   func(ctx context.Context, body []byte) (any, error)
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
	const distance = 8 * time.Millisecond
	time.Sleep(2 * distance)
	if i.isDown(address) || i.isDown(i.name) {
		i.mu.Lock()
		i.lost++
		i.mu.Unlock()
		<-ctx.Done()
		return ctx.Err()
	}
	body, err := msgpack.Marshal(request)
	if err != nil {
		return err
	}
	got, err := i.instances[address].answer(ctx, body)
	if err != nil {
		return &client.RefusedError{Reason: err.Error()}
	}
	if body, err = msgpack.Marshal(got); err != nil {
		return err
	}
	return msgpack.Unmarshal(body, reply)
}

// run plays n instances until test returns.
func run(t *testing.T, n int, test func(t *testing.T, f *fleet)) {
	start(t, n, false, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		test(t, f)
	})
}

// start plays n instances from their start on, with the store or without it.
func start(t *testing.T, n int, isAway bool, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{store: &store{revision: 1, out: make(map[string]bool), away: make(map[string]bool)}, instances: make(map[string]*instance), down: make(map[string]bool)}
		for k := range n {
			i := &instance{fleet: f, name: fmt.Sprintf("i-%d", k)}
			f.instances[i.name] = i
			f.away[i.name] = isAway
		}
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		for _, i := range f.instances {
			r := New(way{store: f.store, instance: i.name}, i, func(string) {})
			i.follower = follower.New(r, interval, zap.NewNop())
			i.answer = Handler(i.follower)
		}
		for _, i := range f.instances {
			group.Go(func() { i.follower.Run(ctx) })
		}
		test(t, f)
		cancel()
		group.Wait()
	})
}

// ranked gives the names in the order of the tree.
func (f *fleet) ranked() []string {
	var names []string
	for name := range f.instances {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	return names
}

// learn gives the longest time that any instance that is up needs to learn of a change.
func (f *fleet) learn(t *testing.T, name string) time.Duration {
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

// TestFewReads reads the store about once in each interval, whatever the number of instances, and a change is known
// everywhere within the interval and the way.
func TestFewReads(t *testing.T) {
	for _, n := range []int{1, 4, 33, 200} {
		run(t, n, func(t *testing.T, f *fleet) {
			before := f.count()
			const span = 30 * time.Second
			time.Sleep(span)
			require.LessOrEqual(t, f.count()-before, int(span/interval)+2)
			require.LessOrEqual(t, f.learn(t, "a"), interval+200*time.Millisecond)
		})
	}
}

// TestRootIsLost silences the instance that reads for the others, and its successors: a change is still known within 3 s.
func TestRootIsLost(t *testing.T) {
	for lost := 1; lost <= 3; lost++ {
		run(t, 33, func(t *testing.T, f *fleet) {
			f.mu.Lock()
			for _, name := range f.ranked()[:lost] {
				f.down[name] = true
			}
			f.mu.Unlock()
			require.LessOrEqual(t, f.learn(t, "a"), 3*time.Second+time.Duration(lost-1)*(hold+slack))
			time.Sleep(5 * time.Second)
			require.LessOrEqual(t, f.learn(t, "b"), 3*time.Second)
			f.mu.Lock()
			before := f.lost
			f.mu.Unlock()
			const span = 20 * time.Second
			time.Sleep(span)
			f.mu.Lock()
			defer f.mu.Unlock()
			most := 33 * lost * int(span/(avoidFor+hold)+1)
			require.LessOrEqual(t, f.lost-before, most+lost*int(span/slack), "the lost ones are asked now and then")
		})
	}
}

// TestRootIsTurnedAway lets the store turn the reading instance away, alone or with a third of all.
func TestRootIsTurnedAway(t *testing.T) {
	for _, n := range []int{1, 11} {
		run(t, 33, func(t *testing.T, f *fleet) {
			f.store.mu.Lock()
			for _, name := range f.ranked()[:n] {
				f.away[name] = true
			}
			f.store.mu.Unlock()
			time.Sleep(3 * time.Second)
			for _, name := range []string{"a", "b", "c"} {
				require.LessOrEqual(t, f.learn(t, name), 3*time.Second)
				time.Sleep(2 * time.Second)
			}
		})
	}
}

// TestStoreIsAway makes every view old, and tells so; a second after the return all are fresh.
func TestStoreIsAway(t *testing.T) {
	run(t, 8, func(t *testing.T, f *fleet) {
		f.store.mu.Lock()
		for name := range f.instances {
			f.away[name] = true
		}
		f.store.mu.Unlock()
		time.Sleep(20 * time.Second)
		for _, i := range f.instances {
			age, ok := i.follower.Age()
			require.True(t, ok)
			require.Greater(t, age, 17*time.Second, "instances do not vouch for each other's old views")
		}
		f.store.mu.Lock()
		clear(f.away)
		f.store.mu.Unlock()
		require.LessOrEqual(t, f.learn(t, "a"), 3*time.Second)
	})
}

// TestStartWithoutStore lets an instance that the store turns away learn everything from the others.
func TestStartWithoutStore(t *testing.T) {
	run(t, 4, func(t *testing.T, f *fleet) {
		f.learn(t, "a")
		i := &instance{fleet: f, name: "late"}
		f.mu.Lock()
		f.away["late"] = true
		f.mu.Unlock()
		r := New(way{store: f.store, instance: i.name}, i, func(string) {})
		i.follower = follower.New(r, interval, zap.NewNop())
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		i.follower.Run(ctx)
		require.True(t, i.follower.View().ExcludedDomains["a"])
	})
}

// TestStartTogether starts all instances while the store is away (cold start of the whole fleet): the store is not flooded, and
// half a second after its return all know the view.
func TestStartTogether(t *testing.T) {
	start(t, 33, true, func(t *testing.T, f *fleet) {
		const away = 6
		time.Sleep(away * time.Second)
		f.store.mu.Lock()
		require.LessOrEqual(t, f.calls, away*(33+int(time.Second/(100*time.Millisecond)))+33)
		clear(f.away)
		f.store.mu.Unlock()
		require.LessOrEqual(t, f.learn(t, "a"), 500*time.Millisecond)
	})
}
