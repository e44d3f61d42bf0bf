package simulation

import (
	"math/rand/v2"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/leaf"
)

// network carries messages between nodes and leaves, in order for each pair.
type network struct {
	sim    *simulator
	random *rand.Rand
	links  [][]*link // by node, then leaf
}

// link is the connections of one node to one leaf.
type link struct {
	openConnections int
	// epoch grows when all connections break.
	generation int
	inFlight   map[dispatch.AttemptID]*attempt
	// lastThere and lastBack keep messages in order.
	lastRequestArrival, lastReplyArrival Time
	delay                                time.Duration
}

func newNetwork(s *simulator) *network {
	n := &network{sim: s, random: newRandom(s.config.Seed, streamNetwork, 0)}
	for _, from := range s.nodes {
		row := make([]*link, 0, len(s.leaves))
		for _, to := range s.leaves {
			row = append(row, &link{
				openConnections: 1,
				inFlight:        make(map[dispatch.AttemptID]*attempt),
				delay:           s.oneWayDelay(from.zone, to.zone),
			})
			to.connections++
		}
		n.links = append(n.links, row)
	}
	return n
}

// delay is the one-way delay between two zones.
func (s *simulator) oneWayDelay(from, to string) time.Duration {
	if from == to {
		return s.config.Deployment.Network.IntraZoneDelay
	}
	return s.config.Deployment.Network.InterZoneDelay
}

func (n *network) linkFor(a *attempt) *link { return n.links[a.node.index][a.leaf.index] }

func (n *network) drawJitter() time.Duration {
	return exponential(n.random, n.sim.config.Deployment.Network.MeanJitter)
}

// there returns when a message sent now reaches the leaf.
func (n *network) nextRequestArrival(link *link, extra time.Duration) Time {
	arrival := n.sim.engine.now + extra + link.delay + n.drawJitter()
	link.lastRequestArrival = max(arrival, link.lastRequestArrival)
	return link.lastRequestArrival
}

// back returns when a message sent now reaches the node.
func (n *network) nextReplyArrival(link *link) Time {
	arrival := n.sim.engine.now + link.delay + n.drawJitter()
	link.lastReplyArrival = max(arrival, link.lastReplyArrival)
	return link.lastReplyArrival
}

// send carries an attempt's work to its leaf, over a new connection if those
// at hand are full.
func (n *network) send(a *attempt) {
	link := n.linkFor(a)
	link.inFlight[a.id] = a
	settings := &n.sim.config.Deployment.Network
	full := len(link.inFlight) > link.openConnections*settings.MaxStreamsPerConnection
	if link.openConnections == 0 || full && link.openConnections < settings.MaxConnectionsPerLink {
		n.dial(link, a)
		return
	}
	n.transmit(link, a, 0)
}

// dial opens a connection and then sends, or reports that nothing was sent.
func (n *network) dial(link *link, a *attempt) {
	settings := &n.sim.config.Deployment.Network
	if a.leaf.liveness == leafSilent {
		n.scheduleFailure(link, a, settings.DialTimeout, false)
		return
	}
	if a.leaf.liveness == leafCrashed || a.leaf.connections >= n.sim.config.Service.MaxConnectionsPerLeaf {
		n.scheduleFailure(link, a, 2*link.delay, false)
		return
	}
	link.openConnections++
	a.leaf.connections++
	n.transmit(link, a, settings.ConnectionSetupTime)
}

// failLater ends an attempt at the node after a while.
func (n *network) scheduleFailure(link *link, a *attempt, after time.Duration, sent bool) {
	n.sim.engine.scheduleAfter(after, func() { n.failAttempt(link, a, sent) })
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
	boot, generation := a.leaf.boot, link.generation
	n.sim.engine.scheduleAt(n.nextRequestArrival(link, extra), func() {
		if a.leaf.liveness != leafUp || a.leaf.boot != boot || link.generation != generation {
			a.work.state = workDone
			n.failBrokenAttempt(link, a)
			return
		}
		a.leaf.receive(a.work)
	})
}

// failBroken ends an attempt that reached a dead process on a live machine;
// a silent machine says nothing, until breakLinks.
func (n *network) failBrokenAttempt(link *link, a *attempt) {
	if a.leaf.liveness == leafSilent {
		return
	}
	n.scheduleFailure(link, a, link.delay, true)
}

// abort resets the stream of an attempt: the node is done with it at once, the
// leaf receives the reset later.
func (n *network) abort(a *attempt) {
	link := n.linkFor(a)
	delete(link.inFlight, a.id)
	if a.state != attemptSent {
		return
	}
	boot := a.leaf.boot
	n.sim.engine.scheduleAt(n.nextRequestArrival(link, 0), func() {
		if a.leaf.liveness == leafUp && a.leaf.boot == boot {
			a.leaf.cancel(a.work)
		}
	})
}

// deliverReply carries a reply back.
func (n *network) deliverReply(a *attempt, answer reply) {
	n.deliverToNode(a, func() { a.node.reply(a, answer) })
}

// deliverRefusal carries a refusal back.
func (n *network) deliverRefusal(a *attempt, refusal leaf.Refusal, retryAfter time.Duration) {
	answer := dispatch.Refusal{
		Reason: refusal, RetryAfter: retryAfter, BootID: a.leaf.bootID(), Load: a.leaf.loadSummary(),
	}
	n.deliverToNode(a, func() { a.node.refuse(a, answer) })
}

func (n *network) deliverToNode(a *attempt, action func()) {
	link := n.linkFor(a)
	generation := link.generation
	n.sim.engine.scheduleAt(n.nextReplyArrival(link), func() {
		if link.generation != generation {
			return // the connection broke; the attempt was failed
		}
		delete(link.inFlight, a.id)
		a.node.deliver(action)
	})
}

// breakLinks ends all connections to a leaf as its nodes notice, after a while.
func (n *network) breakLinks(l *emulatedLeaf, after time.Duration) {
	for _, row := range n.links {
		link := row[l.index]
		generation := link.generation
		n.sim.engine.scheduleAfter(after+link.delay, func() {
			if link.generation == generation {
				n.breakLink(link)
			}
		})
	}
}

func (n *network) breakLink(link *link) {
	link.generation++
	link.openConnections = 0
	for _, a := range sortedAttempts(link.inFlight) {
		if a.state == attemptSent {
			n.failAttempt(link, a, true)
		}
	}
}
