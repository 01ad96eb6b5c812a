// Package relay holds the messages by which an instance sends work through an upstream's first home.
package relay

import (
	"crocuswing/internal/upstream/signal"
	"crocuswing/internal/wire/order"
	"crocuswing/internal/wire/part"
)

// Request is one attempt on one upstream; exactly one of Part and Order is set.
type Request struct {
	Upstream string         `msgpack:"u"`
	Part     *part.Request  `msgpack:"p"`
	Order    *order.Request `msgpack:"o"`
}

// Reply is the result of the attempt. Failed is empty on success, else the kind of failure.
type Reply struct {
	Part   part.Reply    `msgpack:"p"`
	Order  order.Reply   `msgpack:"o"`
	Signal signal.Signal `msgpack:"s"`
	Cold   bool          `msgpack:"c"` // what the home knows
	Failed string        `msgpack:"f"`
	NotRun bool          `msgpack:"n"`
	Reason string        `msgpack:"r"`
}
