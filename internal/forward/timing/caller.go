package timing

import (
	"time"

	"crocuswing/internal/routing/route"
)

const (
	// processingMargin is the part of the reserved time that does not depend on the distance of the callers.
	processingMargin = 2 * time.Millisecond
	// maxConnectTime is the time above which what a caller's timeout lacks is not the time of a new connection. Callers wait longer before
	// they repeat a request.
	maxConnectTime = 25 * time.Millisecond
	// timeoutResolution is the resolution in which callers state their timeout. Smaller differences come from calls between instances.
	timeoutResolution = time.Millisecond
	// connectWeight is the weight of the newest sample in the mean time that callers take to connect.
	connectWeight = 0.1
)

// callerPath estimates the round trip to the callers. The latency objective counts from the moment at which a caller sends its request
// until the reply has arrived, and the instance sees neither way.
type callerPath struct {
	// connectTime is the mean time that callers took to open a connection, a round trip; 0 if unknown. A caller that opened a connection
	// for a request states a timeout that lacks this time.
	connectTime time.Duration
}

// record adds what the timeout of a caller lacks of its full timeout, if that is the time of a new connection.
func (c *callerPath) record(lack time.Duration) {
	if lack < timeoutResolution || lack > maxConnectTime {
		return
	}
	if c.connectTime == 0 {
		c.connectTime = lack
	}
	c.connectTime += time.Duration(connectWeight * float64(lack-c.connectTime))
}

// margin returns the time reserved for the way of a request from its caller and of its reply back, and for processing.
func (c *callerPath) margin() time.Duration { return max(replyMargin, c.connectTime+processingMargin) }

// fullTimeout returns the timeout that callers of the route state if they have not waited yet: the longest one seen, or that of the route
// if it is just above. Callers that open a connection for each request never state their full timeout.
func (l *routeLatency) fullTimeout(r *route.Route) time.Duration {
	if lack := r.Timeout - l.maxTimeout; lack > 0 && lack <= maxConnectTime {
		return r.Timeout
	}
	return l.maxTimeout
}
