package aggregator

import (
	"math/bits"
	"net/http"
)

const (
	// Method is the name of the call that asks another instance to gather parts.
	Method = "aggregate"
	// RestMethod is the name of the call for the parts that were late in the reply to Method.
	RestMethod = "aggregate-rest"
)

// Request asks an instance to gather the parts of some shards of a request. The caller's request travels unchanged.
type Request struct {
	ID string `msgpack:"i"`
	// Call tells the calls for requests with the same ID apart, which callers choose. Instances of former releases do not send it.
	Call   uint64 `msgpack:"c,omitempty"`
	Method string `msgpack:"m"`
	// Target is the request target as the caller sent it, Path is its decoded path.
	Target string      `msgpack:"t"`
	Path   string      `msgpack:"p"`
	Host   string      `msgpack:"h"`
	Header http.Header `msgpack:"e"`
	// Workspace is the name of the caller's workspace. The key that identifies it is not in Header.
	Workspace string `msgpack:"w,omitempty"`
	Body      []byte `msgpack:"b,omitempty"`
	// Revision is the configuration revision whose shards are meant. An instance with another revision refuses.
	Revision int64 `msgpack:"r"`
	// Shards is the set of shards by their index in the route.
	Shards Set `msgpack:"s"`
	// TimeLeftUS is the time in microseconds for which the caller waits, and ObjectiveUS the time until its objective; 0 if unknown.
	TimeLeftUS  int64 `msgpack:"l"`
	ObjectiveUS int64 `msgpack:"o,omitempty"`
	// Near reports that the asked instance is in the same region. It may use the upstreams of all regions and counts the request in its
	// retry budget. It sends one attempt for each shard and the others after the grant (see RestRequest).
	Near bool `msgpack:"n,omitempty"`
}

// Reply holds the parts that have arrived, merged.
type Reply struct {
	// Answered is the set of shards whose parts are in Records; Proofs lists their proofs in the order of the shards.
	Answered Set      `msgpack:"a"`
	Proofs   []string `msgpack:"p"`
	// Records are the greatest records of these parts, in descending order.
	Records []byte `msgpack:"b"`
	// Sent is the set of the other shards of which an upstream may have received the request. Late is the set of those among them whose
	// attempts continue; RestMethod returns their parts.
	Sent Set `msgpack:"s,omitempty"`
	Late Set `msgpack:"l,omitempty"`
	// EarlyUS is the time in microseconds by which the reply precedes the time at which it would have been due with parts late.
	EarlyUS int64 `msgpack:"y,omitempty"`
	// TookUS is the time in microseconds from the arrival of the call to the reply. The rest of the time that the call takes is the way.
	TookUS int64 `msgpack:"t,omitempty"`
	// RetryAfterUS is the time in microseconds after which the request may be repeated, if the instance could serve fewer parts than an
	// answer needs; 0 otherwise. Nothing was sent then.
	RetryAfterUS int64 `msgpack:"w,omitempty"`
}

// RestRequest asks for the parts that were late in the reply to the Request with the same ID and Call.
type RestRequest struct {
	ID   string `msgpack:"i"`
	Call uint64 `msgpack:"c,omitempty"`
	// Grant permits the aggregator all remaining attempts of the route on the late shards. The instance that asks sends none then.
	Grant bool `msgpack:"g,omitempty"`
	// DueUS is the time in microseconds after which the reply is due with what has arrived, at least one part; 0 if only when no part is
	// late any more. The call may be repeated for the rest.
	DueUS int64 `msgpack:"u,omitempty"`
}

// Set is a set of small integers as a bitmap.
type Set []byte

// With returns the set with n added. The receiver must not be used any more.
func (s Set) With(n int) Set {
	for len(s) <= n/8 {
		s = append(s, 0)
	}
	s[n/8] |= 1 << (n % 8)
	return s
}

// Has reports whether n is in the set.
func (s Set) Has(n int) bool { return n >= 0 && n/8 < len(s) && s[n/8]&(1<<(n%8)) != 0 }

// Len returns the number of integers in the set.
func (s Set) Len() int {
	n := 0
	for _, b := range s {
		n += bits.OnesCount8(b)
	}
	return n
}
