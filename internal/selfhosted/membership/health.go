package membership

import "time"

// maximumHealthScore bounds the health score. A node at the bound gives others
// nine times the usual time.
// Not measured: chosen because it is the bound that Lifeguard names.
const maximumHealthScore = 8

// worsen and improve move the local health score: the higher it is, the more
// time this node gives others before it accuses them.
func (c *Core) raiseHealthScore() { c.healthScore = min(c.healthScore+1, maximumHealthScore) }

func (c *Core) lowerHealthScore() { c.healthScore = max(c.healthScore-1, 0) }

// patience stretches a time while this node's own health is in doubt.
func (c *Core) scaleByHealth(interval time.Duration) time.Duration {
	return interval * time.Duration(c.healthScore+1)
}
