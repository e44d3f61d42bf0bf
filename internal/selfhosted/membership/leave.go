package membership

// Leave announces a planned stop. The node continues to answer packets.
func (c *Core) Leave() {
	if c.self.State == StateAlive {
		c.announceState(StateLeaving)
	}
}

// Depart declares this node gone and sends that update to a few members at once. The core sends and
// accepts no packets from then on.
func (c *Core) Depart() {
	if c.inactive() {
		return
	}
	c.announceState(StateGone)
	c.sendFinalUpdate()
	c.departed = true
}

// finalUpdateTargets is the number of members to which a node sends its final update. Each of them
// passes the update on.
const finalUpdateTargets = 6

// sendFinalUpdate sends the queued updates, including the final update of this node, to a few
// members.
func (c *Core) sendFinalUpdate() {
	for i := range min(finalUpdateTargets, len(c.view.live)) {
		if p := c.gossipTarget(i); p != nil {
			c.sendToPeer(p, Packet{Kind: PacketGossip})
		}
	}
}

// announceState changes the state of this node and queues its record. It raises the refutation
// counter, so that the new record replaces older ones.
func (c *Core) announceState(state State) {
	c.self.Refutation++
	c.self.State = state
	c.broadcasts.add(fullUpdate(c.self))
}

// inactive reports whether the core has stopped taking part in the protocol.
func (c *Core) inactive() bool { return c.superseded || c.departed }
