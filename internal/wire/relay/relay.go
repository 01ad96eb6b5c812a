// Package relay defines the messages between an instance that handles a request and a home of the upstream that it chose.
// Only homes keep connections to an upstream, so the home sends the attempt and returns its result.
package relay

import (
	"time"

	"crocuswing/internal/upstream/signal"
	"crocuswing/internal/wire/order"
	"crocuswing/internal/wire/part"
)

// Request is one attempt on one upstream. Exactly one of Part and Order is set.
type Request struct {
	Upstream string         `msgpack:"u"`
	Part     *part.Request  `msgpack:"p"`
	Order    *order.Request `msgpack:"o"`

	// Restarted is set if the sender, which is a home itself, saw the upstream become cold under Incarnation.
	Restarted bool `msgpack:"d"`
	// Incarnation is the last incarnation of the upstream that the sender knows.
	Incarnation string `msgpack:"i"`
}

// Reply is the result of the attempt. FailureKind is empty on success.
type Reply struct {
	Part        part.Reply    `msgpack:"p"`
	Order       order.Reply   `msgpack:"o"`
	Signal      signal.Signal `msgpack:"s"`
	FailureKind string        `msgpack:"f"`
	NotRun      bool          `msgpack:"n"`
	Reason      string        `msgpack:"r"`

	// Cold is set unless the home knows that the upstream is warm.
	Cold bool `msgpack:"c"`
	// Incarnation is the last incarnation of the upstream that the home knows.
	Incarnation string `msgpack:"i"`
	// AllowsOtherHome is set if another home may send the attempt that this one refused.
	AllowsOtherHome bool `msgpack:"e"`
	// RetryAfter is the delay that the upstream requested.
	RetryAfter time.Duration `msgpack:"w"`
}

// Notice reports a state change of an upstream to its other homes.
type Notice struct {
	Upstream    string `msgpack:"u"`
	Incarnation string `msgpack:"i"`
	Draining    bool   `msgpack:"l"`
	Cold        bool   `msgpack:"c"`
}
