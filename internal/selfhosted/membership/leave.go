package membership

// Leave announces a planned stop. The node goes on answering.
func (c *Core) Leave() {
	if c.self.State == StateAlive {
		c.announce(StateLeaving)
	}
}

// Depart declares this node gone. It sends that at once to a few members and
// is silent from then on.
func (c *Core) Depart() {
	if c.silent() {
		return
	}
	c.announce(StateGone)
	c.notify()
	c.departed = true
}

// departureNotices is how many members a node that ends notifies itself.
// Not measured: chosen because each of them passes the news on.
const departureNotices = 6

// notify sends the last update of this node to a few members.
func (c *Core) notify() {
	for i := range min(departureNotices, len(c.view.live)) {
		if p := c.gossipTarget(i); p != nil {
			c.sendTo(p, Packet{Kind: PacketGossip})
		}
	}
}

// announce changes this node's own record and spreads it.
func (c *Core) announce(state State) {
	c.self.Refutation++
	c.self.State = state
	c.broadcasts.add(fullUpdate(c.self))
}

func (c *Core) silent() bool { return c.superseded || c.departed }
