// Package relay holds the messages by which an instance sends work through an upstream's home.
package relay

import (
	"time"

	"crocuswing/internal/upstream/signal"
	"crocuswing/internal/wire/order"
	"crocuswing/internal/wire/part"
)

// Request is one attempt on one upstream; exactly one of Part and Order is set.
type Request struct {
	Upstream string         `msgpack:"u"`
	Part     *part.Request  `msgpack:"p"`
	Order    *order.Request `msgpack:"o"`

	// Restarted tells that the sender, a home, saw the upstream become cold under Incarnation.
	Restarted   bool   `msgpack:"d"`
	Incarnation string `msgpack:"i"`
}

// Reply is the result of the attempt. FailureKind is empty on success, else the kind of failure.
type Reply struct {
	Part        part.Reply    `msgpack:"p"`
	Order       order.Reply   `msgpack:"o"`
	Signal      signal.Signal `msgpack:"s"`
	FailureKind string        `msgpack:"f"`
	NotRun      bool          `msgpack:"n"`
	Reason      string        `msgpack:"r"`

	// Cold tells that the home does not know the upstream to be warm.
	Cold bool `msgpack:"c"`
	// Incarnation is the upstream's last one that the home knows.
	Incarnation string `msgpack:"i"`
	// AllowsOtherHome tells that another home may send what this one refused.
	AllowsOtherHome bool `msgpack:"e"`
	// RetryAfter is the wait that the upstream asked for.
	RetryAfter time.Duration `msgpack:"w"`
}

// Notice tells the other homes what one home saw of an upstream.
type Notice struct {
	Upstream    string `msgpack:"u"`
	Incarnation string `msgpack:"i"`
	Draining    bool   `msgpack:"l"`
	Cold        bool   `msgpack:"c"`
}
