package membership

// Leave announces a planned stop. The node goes on answering.
func (c *Core) Leave() {
	if c.self.State == StateAlive {
		c.announceState(StateLeaving)
	}
}

// Depart declares this node gone. It sends that at once to a few members and
// is silent from then on.
func (c *Core) Depart() {
	if c.inactive() {
		return
	}
	c.announceState(StateGone)
	c.sendFinalUpdate()
	c.departed = true
}

// departureNotices is how many members a node that ends notifies itself.
// Not measured: chosen because each of them passes the news on.
const finalUpdateTargets = 6

// notify sends the last update of this node to a few members.
func (c *Core) sendFinalUpdate() {
	for i := range min(finalUpdateTargets, len(c.view.live)) {
		if p := c.gossipTarget(i); p != nil {
			c.sendToPeer(p, Packet{Kind: PacketGossip})
		}
	}
}

// announce changes this node's own record and spreads it.
func (c *Core) announceState(state State) {
	c.self.Refutation++
	c.self.State = state
	c.broadcasts.add(fullUpdate(c.self))
}

func (c *Core) inactive() bool { return c.superseded || c.departed }
