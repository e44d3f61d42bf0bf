package simulation

import (
	"math/rand/v2"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/leaf"
)

// network carries messages between nodes and leaves, in order for each pair.
type network struct {
	world  *world
	random *rand.Rand
	links  [][]*link // by node, then leaf
}

// link is the connections of one node to one leaf.
type link struct {
	open int
	// epoch grows when all connections break.
	epoch    int
	inFlight map[dispatch.AttemptID]*attempt
	// lastThere and lastBack keep messages in order.
	lastThere, lastBack Time
	delay               time.Duration
}

func newNetwork(w *world) *network {
	n := &network{world: w, random: newRandom(w.config.Seed, streamNetwork, 0)}
	for _, from := range w.nodes {
		row := make([]*link, 0, len(w.leaves))
		for _, to := range w.leaves {
			row = append(row, &link{
				open:     1,
				inFlight: make(map[dispatch.AttemptID]*attempt),
				delay:    w.delay(from.zone, to.zone),
			})
			to.connections++
		}
		n.links = append(n.links, row)
	}
	return n
}

// delay is the one-way delay between two zones.
func (w *world) delay(from, to string) time.Duration {
	if from == to {
		return w.config.Deployment.Network.WithinZone
	}
	return w.config.Deployment.Network.BetweenZones
}

func (n *network) link(a *attempt) *link { return n.links[a.node.index][a.leaf.index] }

func (n *network) jitter() time.Duration {
	return exponential(n.random, n.world.config.Deployment.Network.Jitter)
}

// there returns when a message sent now reaches the leaf.
func (n *network) there(link *link, extra time.Duration) Time {
	arrival := n.world.engine.now + extra + link.delay + n.jitter()
	link.lastThere = max(arrival, link.lastThere)
	return link.lastThere
}

// back returns when a message sent now reaches the node.
func (n *network) back(link *link) Time {
	arrival := n.world.engine.now + link.delay + n.jitter()
	link.lastBack = max(arrival, link.lastBack)
	return link.lastBack
}

// send carries an attempt's work to its leaf, over a new connection if those
// at hand are full.
func (n *network) send(a *attempt) {
	link := n.link(a)
	link.inFlight[a.id] = a
	settings := &n.world.config.Deployment.Network
	full := len(link.inFlight) > link.open*settings.StreamsPerConnection
	if link.open == 0 || full && link.open < settings.ConnectionsPerNode {
		n.dial(link, a)
		return
	}
	n.transmit(link, a, 0)
}

// dial opens a connection and then sends, or reports that nothing was sent.
func (n *network) dial(link *link, a *attempt) {
	settings := &n.world.config.Deployment.Network
	if a.leaf.up == leafSilent {
		n.failLater(link, a, settings.DialTimeout, false)
		return
	}
	if a.leaf.up == leafCrashed || a.leaf.connections >= n.world.config.Service.Connections {
		n.failLater(link, a, 2*link.delay, false)
		return
	}
	link.open++
	a.leaf.connections++
	n.transmit(link, a, settings.ConnectionCost)
}

// failLater ends an attempt at the node after a while.
func (n *network) failLater(link *link, a *attempt, after time.Duration, sent bool) {
	n.world.engine.after(after, func() { n.failAttempt(link, a, sent) })
}

func (n *network) failAttempt(link *link, a *attempt, sent bool) {
	if a.state == attemptEnded {
		return
	}
	delete(link.inFlight, a.id)
	a.node.deliver(func() { a.node.fail(a, dispatch.Failure{Sent: sent}) })
}

// transmit puts the request on the wire.
func (n *network) transmit(link *link, a *attempt, extra time.Duration) {
	a.state = attemptSent
	boot, epoch := a.leaf.boot, link.epoch
	n.world.engine.at(n.there(link, extra), func() {
		if a.leaf.up != leafUp || a.leaf.boot != boot || link.epoch != epoch {
			a.work.state = workDone
			n.failBroken(link, a)
			return
		}
		a.leaf.receive(a.work)
	})
}

// failBroken ends an attempt that reached a dead process on a live machine;
// a silent machine says nothing, until breakLinks.
func (n *network) failBroken(link *link, a *attempt) {
	if a.leaf.up == leafSilent {
		return
	}
	n.failLater(link, a, link.delay, true)
}

// abort resets the stream of an attempt: the node is done with it at once, the
// leaf receives the reset later.
func (n *network) abort(a *attempt) {
	link := n.link(a)
	delete(link.inFlight, a.id)
	if a.state != attemptSent {
		return
	}
	boot := a.leaf.boot
	n.world.engine.at(n.there(link, 0), func() {
		if a.leaf.up == leafUp && a.leaf.boot == boot {
			a.leaf.cancel(a.work)
		}
	})
}

// deliverReply carries a reply back.
func (n *network) deliverReply(a *attempt, answer reply) {
	n.deliverBack(a, func() { a.node.reply(a, answer) })
}

// deliverRefusal carries a refusal back.
func (n *network) deliverRefusal(a *attempt, refusal leaf.Refusal, retryAfter time.Duration) {
	answer := dispatch.Refusal{
		Reason: refusal, RetryAfter: retryAfter, BootID: a.leaf.bootID(), Load: a.leaf.summary(),
	}
	n.deliverBack(a, func() { a.node.refuse(a, answer) })
}

func (n *network) deliverBack(a *attempt, do func()) {
	link := n.link(a)
	epoch := link.epoch
	n.world.engine.at(n.back(link), func() {
		if link.epoch != epoch {
			return // the connection broke; the attempt was failed
		}
		delete(link.inFlight, a.id)
		a.node.deliver(do)
	})
}

// breakLinks ends all connections to a leaf as its nodes notice, after a while.
func (n *network) breakLinks(l *emulatedLeaf, after time.Duration) {
	for _, row := range n.links {
		link := row[l.index]
		epoch := link.epoch
		n.world.engine.after(after+link.delay, func() {
			if link.epoch == epoch {
				n.breakLink(link)
			}
		})
	}
}

func (n *network) breakLink(link *link) {
	link.epoch++
	link.open = 0
	for _, a := range sortedAttempts(link.inFlight) {
		if a.state == attemptSent {
			n.failAttempt(link, a, true)
		}
	}
}
