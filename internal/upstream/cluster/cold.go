package cluster

import "time"

// SetColdShare sets a function that returns the number of requests per second of this instance to a cold replica, by its name; nil for no
// limit.
func (c *Cluster) SetColdShare(share func(upstream string) int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coldShare = share
}

// SetColdRate sets the same number of requests per second for each cold replica; negative for no limit.
func (c *Cluster) SetColdRate(perSecond int) {
	if perSecond < 0 {
		c.SetColdShare(nil)
		return
	}
	c.SetColdShare(func(string) int { return perSecond })
}

// hasColdCapacity reports whether the replica is not cold or its cold rate permits another request now.
func (c *Cluster) hasColdCapacity(r *Replica, now time.Time) bool {
	return c.coldShare == nil || !r.isCold(now) || r.isWithinColdRate(now, c.coldShare(r.Name()))
}
