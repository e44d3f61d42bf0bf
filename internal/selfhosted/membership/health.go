package membership

import "time"

// maximumHealthScore is the upper bound of the local health score, as Lifeguard defines it. At the
// bound, probe times are nine times their configured values.
const maximumHealthScore = 8

// raiseHealthScore and lowerHealthScore change the local health score. A higher score means that
// this node doubts its own health and gives other members more time before it suspects them.
func (c *Core) raiseHealthScore() { c.healthScore = min(c.healthScore+1, maximumHealthScore) }

func (c *Core) lowerHealthScore() { c.healthScore = max(c.healthScore-1, 0) }

// scaleByHealth multiplies an interval by the local health score plus one.
func (c *Core) scaleByHealth(interval time.Duration) time.Duration {
	return interval * time.Duration(c.healthScore+1)
}
