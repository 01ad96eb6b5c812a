// Package relay reduces the load on the platform's store: instances relay the published state to each other, and only a few of
// them read the store. A Relay is the follower's source; Handler serves the calls of other instances.
//
// Each instance computes the same tree from the hashes of the instance names, without coordination. The root reads the store; every
// other instance calls its parent, which answers when it has changes. An ancestor that does not answer, or whose state is too old,
// is avoided for a while, and the store is the fallback. Instances that disagree about the tree therefore only cause extra reads.
package relay

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"crocuswing/internal/fleet/membership"
	"crocuswing/internal/peer/client"
	"crocuswing/internal/published/change"
	"crocuswing/internal/published/follower"
	"crocuswing/internal/published/state"
	"crocuswing/internal/task/pause"
	"crocuswing/internal/wire/list"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// Method is the name of the remote call between instances.
	Method = "published"

	// fanOut is the number of children of one instance. At the design size of 2,800 instances the tree is three levels deep.
	fanOut = 64
	// pollTimeout is how long a parent without changes holds a call. It bounds how late the failure of a parent is detected.
	pollTimeout = time.Second
	// callMargin is the time that a call may take in addition to pollTimeout on the longest path between regions.
	callMargin = 400 * time.Millisecond
	// maxAge is the age above which the state of another instance is rejected. A read of the store after that still completes within
	// the shortest time allowed for a change to take effect.
	maxAge = 1800 * time.Millisecond
	// avoidTime is how long an instance that did not answer, or answered with stale state, is not called.
	avoidTime = 4 * time.Second
	// discoveryTime is the time in which the first round of the membership protocol finds other instances, about three one-way
	// latencies between regions.
	discoveryTime = 80 * time.Millisecond
	// fallbackPeers is the number of other instances that are called if the store does not answer.
	fallbackPeers = 2
)

// Store reads the platform's store.
type Store interface {
	follower.Source
	// Decode decodes an item. It returns false if items of that key are not used.
	Decode(i change.Item) (change.Change, bool)
}

// Members lists the other instances and calls them.
type Members interface {
	Members() []membership.Member
	Self() membership.Member
	Call(ctx context.Context, address, method string, request, reply any) error
}

// Relay is a follower.Source that prefers other instances to the store. It is safe for concurrent use.
type Relay struct {
	Store
	members Members
	count   func(name string)

	mu       sync.Mutex
	avoided  map[string]avoidance // by address
	rotation uint64
	hasRead  bool
	lastRead time.Time // last full read of the store while this instance had an ancestor
}

// avoidance is why and until when an instance is not called.
type avoidance struct {
	until   time.Time
	isStale bool // it answered with stale state
}

// request asks for the changes after a revision.
type request struct {
	Revision int64 `msgpack:"r"`
	// Era is the era of Revision. Instances of former releases ignore it and do not send it.
	Era int64 `msgpack:"e,omitempty"`
	// Now asks for an answer at once, also without changes. Instances of former releases ignore it.
	Now bool `msgpack:"n,omitempty"`
}

// reply holds the changes after the revision of a request. The store confirmed them AgeMS ago.
type reply struct {
	Full     bool                   `msgpack:"w,omitempty"`
	Revision int64                  `msgpack:"r"`
	Era      int64                  `msgpack:"e,omitempty"`
	Items    list.List[change.Item] `msgpack:"i,omitempty"`
	AgeMS    int64                  `msgpack:"a"`
	// HeldMS is the time from the arrival of the request to the reply, rounded up. Instances of former releases do not send it.
	HeldMS int64 `msgpack:"h,omitempty"`
}

// ageAfter returns the age of the reply when the call has taken elapsed. The time on the way counts as age, since a caller that was paused
// meanwhile gets an old reply late.
func (r *reply) ageAfter(elapsed time.Duration) time.Duration {
	held := pollTimeout + callMargin
	if r.HeldMS > 0 {
		held = time.Duration(r.HeldMS-1) * time.Millisecond
	}
	return time.Duration(r.AgeMS)*time.Millisecond + max(0, elapsed-held)
}

// StaleError reports that the state of another instance is too old.
type StaleError struct {
	Address string
	Age     time.Duration
}

// Error implements the error interface.
func (e *StaleError) Error() string {
	return fmt.Sprintf("state of instance %s is stale: confirmed %v ago", e.Address, e.Age)
}

// New returns a relay in front of a store. The relay calls count with the name of the metric to increment.
func New(s Store, m Members, count func(name string)) *Relay {
	return &Relay{Store: s, members: m, count: count, avoided: make(map[string]avoidance)}
}

// ReadSince returns the changes after a position from the nearest ancestor, else from the store, else from another instance.
func (r *Relay) ReadSince(ctx context.Context, after change.Position, mayWait bool) (change.Batch, error) {
	q := request{Revision: after.Revision, Era: after.Era, Now: !mayWait}
	preferred, others := r.rankPeers()
	if b, ok := r.fetchFromPreferred(ctx, preferred, q); ok {
		return b, nil
	}
	batch, err := r.Store.ReadSince(ctx, after, mayWait)
	if err == nil || change.NeedsListing(err) {
		return batch, err
	}
	if b, ok := r.fetchFromOthers(ctx, others, q); ok {
		return b, nil
	}
	r.callStaleAgain()
	return change.Batch{}, err
}

// Read returns all items. The root reads the store. The other instances call an ancestor and read the store at most once per
// pollTimeout: a fleet that has just started would otherwise flood a store that does not answer.
func (r *Relay) Read(ctx context.Context) (change.Batch, error) {
	if r.isFirstRead() && !pause.For(ctx, discoveryTime) {
		return change.Batch{}, ctx.Err()
	}
	preferred, others := r.rankPeers()
	if b, ok := r.fetchFromPreferred(ctx, preferred, request{}); ok {
		return b, nil
	}
	if len(preferred) > 0 && !r.allowFullRead() {
		return change.Batch{}, errAncestorEmpty
	}
	batch, err := r.Store.Read(ctx)
	if err == nil {
		return batch, nil
	}
	if b, ok := r.fetchFromOthers(ctx, append(preferred, others...), request{}); ok {
		return b, nil
	}
	return change.Batch{}, err
}

// fetchFromPreferred calls the first preferred instance that is not avoided. If that fails, the next one is called only on the next
// read: it may itself be waiting for the failed one, and two timeouts in a row take too long.
func (r *Relay) fetchFromPreferred(ctx context.Context, preferred []membership.Member, q request) (change.Batch, bool) {
	for _, m := range preferred {
		if !r.isAvoided(m.Address) {
			b, err := r.fetch(ctx, m, q)
			return b, err == nil
		}
	}
	return change.Batch{}, false
}

// errAncestorEmpty reports that no ancestor answered with state and that this instance read the store less than pollTimeout ago.
var errAncestorEmpty = errors.New("an ancestor knows nothing yet")

// isFirstRead reports whether this is the first read, and records it.
func (r *Relay) isFirstRead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	isFirst := !r.hasRead
	r.hasRead = true
	return isFirst
}

// allowFullRead reports whether an instance that has an ancestor may read the whole store now, at most once per pollTimeout, and
// records the read.
func (r *Relay) allowFullRead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.lastRead) < pollTimeout {
		return false
	}
	r.lastRead = now
	return true
}

// fetchFromOthers calls up to fallbackPeers instances. Each instance starts at another position, so that instances that lost the
// store together do not all call the same ones.
func (r *Relay) fetchFromOthers(ctx context.Context, peers []membership.Member, q request) (change.Batch, bool) {
	if len(peers) == 0 {
		return change.Batch{}, false
	}
	r.mu.Lock()
	r.rotation += fallbackPeers
	first := int((xxhash.Sum64String(r.members.Self().Name) + r.rotation) % uint64(len(peers)))
	r.mu.Unlock()
	calls := 0
	for _, m := range append(peers[first:len(peers):len(peers)], peers[:first]...) {
		if calls == fallbackPeers {
			break
		}
		if r.isAvoided(m.Address) {
			continue
		}
		calls++
		if b, err := r.fetch(ctx, m, q); err == nil {
			return b, true
		}
	}
	return change.Batch{}, false
}

// rankPeers returns the instances to call before the store and all other instances. The preferred instances are the ancestors,
// nearest first, then those that take over from an unreachable root.
func (r *Relay) rankPeers() (preferred, others []membership.Member) {
	self := r.members.Self()
	all := append(r.members.Members(), self)
	slices.SortFunc(all, func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	rank := slices.IndexFunc(all, func(peer membership.Member) bool { return peer.Name == self.Name })
	isPreferred := make(map[int]bool)
	for i := rank; i > 0; {
		i = (i - 1) / fanOut
		isPreferred[i] = true
		preferred = append(preferred, all[i])
	}
	// If the root does not answer, the instances next in rank take over in order.
	for i := 1; i < rank && i <= fallbackPeers; i++ {
		if !isPreferred[i] {
			isPreferred[i] = true
			preferred = append(preferred, all[i])
		}
	}
	for i, peer := range all {
		if i != rank && !isPreferred[i] {
			others = append(others, peer)
		}
	}
	return preferred, others
}

// fetch gets the answer of another instance.
func (r *Relay) fetch(ctx context.Context, m membership.Member, q request) (change.Batch, error) {
	r.count(`crocuswing_store_reads_total{kind="relayed"}`)
	callCtx, cancel := context.WithTimeout(ctx, pollTimeout+callMargin)
	defer cancel()
	var got reply
	started := time.Now()
	err := r.members.Call(callCtx, m.Address, Method, q, &got)
	age := got.ageAfter(time.Since(started))
	if err == nil && age > maxAge {
		err = &StaleError{Address: m.Address, Age: age}
		if got.ageAfter(0) <= maxAge {
			return change.Batch{}, err // not avoided: this instance was paused
		}
	}
	if err == nil && got.Era < q.Era {
		// Not avoided: an instance that has not noticed yet that the store came back will do so soon. One of a former release states no era.
		return change.Batch{}, &change.EraError{Known: q.Era, Got: got.Era}
	}
	var refused *client.RefusedError
	if errors.As(err, &refused) {
		return change.Batch{}, err // not avoided: the instance is up but has no state yet, or one of an older era
	}
	if err != nil {
		var stale *StaleError
		r.avoid(m.Address, errors.As(err, &stale))
		return change.Batch{}, err
	}
	b := change.Batch{Full: got.Full, Position: change.Position{Era: got.Era, Revision: got.Revision}, Relayed: true, Age: age}
	for _, item := range got.Items {
		if c, ok := r.Decode(item); ok {
			b.Changes = append(b.Changes, c)
		}
	}
	return b, nil
}

func (r *Relay) isAvoided(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.avoided[address].until)
}

func (r *Relay) avoid(address string, isStale bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for known, a := range r.avoided {
		if now.After(a.until) {
			delete(r.avoided, known)
		}
	}
	r.avoided[address] = avoidance{until: now.Add(avoidTime), isStale: isStale}
}

// callStaleAgain ends the avoidance of the instances with stale state. It is called when the store does not answer this instance either: the
// whole fleet would otherwise read the store for avoidTime after an outage.
func (r *Relay) callStaleAgain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.avoided, func(_ string, a avoidance) bool { return a.isStale })
}

// UpdateSource provides this instance's state to other instances.
type UpdateSource interface {
	Await(ctx context.Context, after change.Position) state.Update
	// Position returns the position of the state.
	Position() change.Position
	// Age returns the time since the store confirmed the state, and false if it never did.
	Age() (time.Duration, bool)
}

// Handler returns the handler of calls of Method. It answers with the changes of s.
func Handler(s UpdateSource) func(ctx context.Context, body []byte) (any, error) {
	return func(ctx context.Context, body []byte) (any, error) {
		var req request
		if err := msgpack.Unmarshal(body, &req); err != nil {
			return nil, fmt.Errorf("published: %w", err)
		}
		age, ok := s.Age()
		if !ok {
			return nil, errors.New("nothing is known yet")
		}
		after := change.Position{Era: req.Era, Revision: req.Revision}
		switch position := s.Position(); {
		case req.Era == 0:
			after.Era = position.Era // the other instance is of a former release, or has read a store that states no era
		case position.Era < req.Era:
			return nil, &change.EraError{Known: req.Era, Got: position.Era}
		}
		// When the state reaches maxAge, the call is answered without waiting further, so that the other instance uses another source.
		arrived := time.Now()
		hold := min(pollTimeout, maxAge-age)
		if req.Now {
			hold = 0
		}
		waitCtx, cancel := context.WithTimeout(ctx, hold)
		defer cancel()
		u := s.Await(waitCtx, after)
		age, _ = s.Age()
		return reply{Full: u.Full, Revision: u.Revision, Era: u.Era, Items: u.Items, AgeMS: age.Milliseconds() + 1, HeldMS: time.Since(arrived).Milliseconds() + 1}, nil
	}
}
