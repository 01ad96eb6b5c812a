// Package relay spares the platform's store most reads: instances pass on to each other what it publishes.
//
// The instances form a tree by the hashes of their names, without agreement. The root reads the store; every other one asks its
// parent, which answers when it has news. An ancestor that does not answer, or whose news are old, is passed over, and
// the store itself is the last resort, so that differing views of the tree cost reads and nothing else.
package relay

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"crocuswing/internal/fleet/membership"
	"crocuswing/internal/peer/client"
	"crocuswing/internal/published/change"
	"crocuswing/internal/published/follower"
	"crocuswing/internal/published/state"
	"crocuswing/internal/task/pause"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// Method is the name of the call between instances.
	Method = "published"

	// width is the number of instances that ask one parent: at the design size of 2,800 the tree is three deep.
	width = 64
	// hold is how long a parent without news keeps a call; it bounds how late its end is noticed.
	hold = time.Second
	// slack is what a call may take beyond its hold on the longest path between regions.
	slack = 400 * time.Millisecond
	// maxAge is the age above which news of another instance are not relied on; with a read of the store on top they
	// still arrive within the shortest time for a change.
	maxAge = 1800 * time.Millisecond
	// avoidFor is how long an instance that did not answer, or had old news, is passed over.
	avoidFor = 4 * time.Second
	// discovery is the time in which the first round of the membership finds some others, about three ways between regions.
	discovery = 80 * time.Millisecond
	// helpers is the number of other instances that are asked if the store does not answer.
	helpers = 2
)

// Store is the source that all news come from.
type Store interface {
	follower.Source
	// Decode gives an item its meaning, and false if it has none.
	Decode(i change.Item) (change.Change, bool)
}

// Members knows the other instances and calls them.
type Members interface {
	Members() []membership.Member
	Self() membership.Member
	Call(ctx context.Context, address, method string, request, reply any) error
}

// Relay is a source for a follower. It is safe for concurrent use.
type Relay struct {
	Store
	members Members
	count   func(name string)

	mu      sync.Mutex
	avoided map[string]time.Time // by address
	turn    uint64
	begun   bool
	read    time.Time // when the store was last asked for everything although there is an ancestor
}

// request asks for what is new after a revision.
type request struct {
	Revision int64 `msgpack:"r"`
}

// reply is what is new, as of AgeMS ago.
type reply struct {
	Whole    bool          `msgpack:"w,omitempty"`
	Revision int64         `msgpack:"r"`
	Items    []change.Item `msgpack:"i,omitempty"`
	AgeMS    int64         `msgpack:"a"`
	HoldMS   int64         `msgpack:"h,omitempty"`
}

// StaleError tells that another instance has only old news.
type StaleError struct {
	Address string
	Age     time.Duration
}

// Error names the instance and the age.
func (e *StaleError) Error() string { return fmt.Sprintf("news of %s are %v old", e.Address, e.Age) }

// New makes a relay in front of a store. count counts by the name of a metric.
func New(s Store, m Members, count func(name string)) *Relay {
	return &Relay{Store: s, members: m, count: count, avoided: make(map[string]time.Time)}
}

// ReadSince asks the nearest ancestor, then the store, then some others.
func (r *Relay) ReadSince(ctx context.Context, revision int64) (change.Batch, error) {
	ancestors, others := r.order()
	if b, ok := r.askNearest(ctx, ancestors, revision); ok {
		return b, nil
	}
	batch, err := r.Store.ReadSince(ctx, revision)
	if err == nil || isCompacted(err) {
		return batch, err
	}
	if b, ok := r.help(ctx, others, revision); ok {
		return b, nil
	}
	return change.Batch{}, err
}

// Read gets everything. The root asks the store, the others their ancestor, and the store only now and then: while it is away, a
// fleet that has just started would flood it.
func (r *Relay) Read(ctx context.Context) (change.Batch, error) {
	if r.isFirst() && !pause.For(ctx, discovery) {
		return change.Batch{}, ctx.Err()
	}
	ancestors, others := r.order()
	if b, ok := r.askNearest(ctx, ancestors, 0); ok {
		return b, nil
	}
	if len(ancestors) > 0 && !r.mayRead() {
		return change.Batch{}, errWait
	}
	batch, err := r.Store.Read(ctx)
	if err == nil {
		return batch, nil
	}
	if b, ok := r.help(ctx, append(ancestors, others...), 0); ok {
		return b, nil
	}
	return change.Batch{}, err
}

// askNearest asks the first ancestor that is not avoided. A second one waits for the next call: it may be about to find out about
// the first one too, and two waits on top of each other take too long.
func (r *Relay) askNearest(ctx context.Context, ancestors []membership.Member, revision int64) (change.Batch, bool) {
	for _, m := range ancestors {
		if !r.isAvoided(m.Address) {
			b, err := r.ask(ctx, m, revision)
			return b, err == nil
		}
	}
	return change.Batch{}, false
}

// errWait tells that another instance is about to read the store.
var errWait = errors.New("an ancestor knows nothing yet")

// isFirst reports whether nothing was read yet.
func (r *Relay) isFirst() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := !r.begun
	r.begun = true
	return first
}

// mayRead reports whether the store was not read for a while, and counts that as done.
func (r *Relay) mayRead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.read) < hold {
		return false
	}
	r.read = now
	return true
}

func isCompacted(err error) bool {
	var compacted *change.CompactedError
	return errors.As(err, &compacted)
}

// help asks some instances, each instance others, so that those which lost the store together do not all ask the same.
func (r *Relay) help(ctx context.Context, from []membership.Member, revision int64) (change.Batch, bool) {
	if len(from) == 0 {
		return change.Batch{}, false
	}
	r.mu.Lock()
	r.turn += helpers
	first := int((xxhash.Sum64String(r.members.Self().Name) + r.turn) % uint64(len(from)))
	r.mu.Unlock()
	asked := 0
	for _, m := range append(from[first:len(from):len(from)], from[:first]...) {
		if asked == helpers {
			break
		}
		if r.isAvoided(m.Address) {
			continue
		}
		asked++
		if b, err := r.ask(ctx, m, revision); err == nil {
			return b, true
		}
	}
	return change.Batch{}, false
}

// order gives the ancestors of this instance, the nearest first, and all others.
func (r *Relay) order() (ancestors, others []membership.Member) {
	self := r.members.Self()
	all := append(r.members.Members(), self)
	slices.SortFunc(all, func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	rank := slices.IndexFunc(all, func(m membership.Member) bool { return m.Name == self.Name })
	isAncestor := make(map[int]bool)
	for at := rank; at > 0; {
		at = (at - 1) / width
		isAncestor[at] = true
		ancestors = append(ancestors, all[at])
	}
	// Where the root does not answer, the ranks after it take over one by one.
	for at := 1; at < rank && at <= helpers; at++ {
		if !isAncestor[at] {
			isAncestor[at] = true
			ancestors = append(ancestors, all[at])
		}
	}
	for at, m := range all {
		if at != rank && !isAncestor[at] {
			others = append(others, m)
		}
	}
	return ancestors, others
}

// ask gets news from another instance.
func (r *Relay) ask(ctx context.Context, m membership.Member, revision int64) (change.Batch, error) {
	r.count(`crocuswing_store_reads_total{kind="relayed"}`)
	limited, cancel := context.WithTimeout(ctx, hold+slack)
	defer cancel()
	var got reply
	err := r.members.Call(limited, m.Address, Method, request{Revision: revision}, &got)
	age := time.Duration(got.AgeMS) * time.Millisecond
	if err == nil && age > maxAge {
		err = &StaleError{Address: m.Address, Age: age}
	}
	var refused *client.RefusedError
	if errors.As(err, &refused) {
		return change.Batch{}, err // it has just started
	}
	if err != nil {
		r.avoid(m.Address)
		return change.Batch{}, err
	}
	b := change.Batch{Full: got.Whole, Revision: got.Revision, Relayed: true, Age: age, GracePeriod: time.Duration(got.HoldMS) * time.Millisecond}
	for _, i := range got.Items {
		if c, ok := r.Decode(i); ok {
			b.Changes = append(b.Changes, c)
		}
	}
	return b, nil
}

func (r *Relay) isAvoided(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.avoided[address])
}

func (r *Relay) avoid(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for known, until := range r.avoided {
		if now.After(until) {
			delete(r.avoided, known)
		}
	}
	r.avoided[address] = now.Add(avoidFor)
}

// UpdateSource is what this instance knows.
type UpdateSource interface {
	Await(ctx context.Context, revision int64) state.Update
	// Age is the time since the store confirmed it, and false if it never did.
	Age() (time.Duration, bool)
}

// Handler makes the method that passes on what b knows.
func Handler(b UpdateSource) func(ctx context.Context, body []byte) (any, error) {
	return func(ctx context.Context, body []byte) (any, error) {
		var q request
		if err := msgpack.Unmarshal(body, &q); err != nil {
			return nil, fmt.Errorf("published: %w", err)
		}
		age, ok := b.Age()
		if !ok {
			return nil, errors.New("nothing is known yet")
		}
		// What has become old is told at once, so that the other one looks elsewhere.
		limited, cancel := context.WithTimeout(ctx, min(hold, maxAge-age))
		defer cancel()
		n := b.Await(limited, q.Revision)
		age, _ = b.Age()
		return reply{Whole: n.Full, Revision: n.Revision, Items: n.Items, AgeMS: age.Milliseconds() + 1, HoldMS: n.GracePeriod.Milliseconds()}, nil
	}
}
