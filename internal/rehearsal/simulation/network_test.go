package simulation

import (
	"math/rand/v2"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/leaf"
)

// network delivers messages between nodes and leaves. Messages of a node to a leaf stay in order,
// and so do those of the leaf to the node.
type network struct {
	simulator *simulator
	random    *rand.Rand
	links     [][]*link // by node, then leaf
}

// link holds the connections from one node to one leaf.
type link struct {
	openConnections int
	// generation is incremented when all connections break.
	generation int
	inFlight   map[dispatch.AttemptID]*attempt
	// lastRequestArrival and lastReplyArrival are the latest arrivals in each direction. No later
	// message may arrive before them.
	lastRequestArrival, lastReplyArrival Time
	delay                                time.Duration
}

func newNetwork(s *simulator) *network {
	n := &network{simulator: s, random: newRandom(s.config.Seed, streamNetwork, 0)}
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

// oneWayDelay returns the one-way delay between two zones.
func (s *simulator) oneWayDelay(from, to string) time.Duration {
	if from == to {
		return s.config.Deployment.Network.IntraZoneDelay
	}
	return s.config.Deployment.Network.InterZoneDelay
}

func (n *network) linkFor(a *attempt) *link { return n.links[a.node.index][a.leaf.index] }

func (n *network) drawJitter() time.Duration {
	return exponential(n.random, n.simulator.config.Deployment.Network.MeanJitter)
}

// nextRequestArrival returns when a message that is sent now arrives at the leaf.
func (n *network) nextRequestArrival(link *link, extra time.Duration) Time {
	arrival := n.simulator.engine.now + extra + link.delay + n.drawJitter()
	link.lastRequestArrival = max(arrival, link.lastRequestArrival)
	return link.lastRequestArrival
}

// nextReplyArrival returns when a message that is sent now arrives at the node.
func (n *network) nextReplyArrival(link *link) Time {
	arrival := n.simulator.engine.now + link.delay + n.drawJitter()
	link.lastReplyArrival = max(arrival, link.lastReplyArrival)
	return link.lastReplyArrival
}

// send sends the work of an attempt to its leaf. It opens a new connection if the existing ones
// are full.
func (n *network) send(a *attempt) {
	link := n.linkFor(a)
	link.inFlight[a.id] = a
	settings := &n.simulator.config.Deployment.Network
	full := len(link.inFlight) > link.openConnections*settings.MaxStreamsPerConnection
	if link.openConnections == 0 || full && link.openConnections < settings.MaxConnectionsPerLink {
		n.dial(link, a)
		return
	}
	n.transmit(link, a, 0)
}

// dial opens a connection and sends the request. If the connection fails, the attempt fails with
// nothing sent.
func (n *network) dial(link *link, a *attempt) {
	settings := &n.simulator.config.Deployment.Network
	if a.leaf.liveness == leafSilent {
		n.scheduleFailure(link, a, settings.DialTimeout, false)
		return
	}
	if a.leaf.liveness == leafCrashed || a.leaf.connections >= n.simulator.config.Service.MaxConnectionsPerLeaf {
		n.scheduleFailure(link, a, 2*link.delay, false)
		return
	}
	link.openConnections++
	a.leaf.connections++
	n.transmit(link, a, settings.ConnectionSetupTime)
}

// scheduleFailure fails an attempt at its node after a delay.
func (n *network) scheduleFailure(link *link, a *attempt, delay time.Duration, sent bool) {
	n.simulator.engine.scheduleAfter(delay, func() { n.failAttempt(link, a, sent) })
}

func (n *network) failAttempt(link *link, a *attempt, sent bool) {
	if a.state == attemptEnded {
		return
	}
	delete(link.inFlight, a.id)
	a.node.deliver(func() { a.node.fail(a, dispatch.Failure{Sent: sent}) })
}

// transmit sends the request over an open connection.
func (n *network) transmit(link *link, a *attempt, extra time.Duration) {
	a.state = attemptSent
	boot, generation := a.leaf.boot, link.generation
	n.simulator.engine.scheduleAt(n.nextRequestArrival(link, extra), func() {
		if a.leaf.liveness != leafUp || a.leaf.boot != boot || link.generation != generation {
			a.work.state = workDone
			n.failBrokenAttempt(link, a)
			return
		}
		a.leaf.receive(a.work)
	})
}

// failBrokenAttempt fails an attempt that arrives at a machine whose process is gone. A machine
// that does not respond sends no reset; breakLinks fails its attempts later.
func (n *network) failBrokenAttempt(link *link, a *attempt) {
	if a.leaf.liveness == leafSilent {
		return
	}
	n.scheduleFailure(link, a, link.delay, true)
}

// abort resets the stream of an attempt. The node forgets the attempt immediately; the leaf
// receives the reset after the network delay.
func (n *network) abort(a *attempt) {
	link := n.linkFor(a)
	delete(link.inFlight, a.id)
	if a.state != attemptSent {
		return
	}
	boot := a.leaf.boot
	n.simulator.engine.scheduleAt(n.nextRequestArrival(link, 0), func() {
		if a.leaf.liveness == leafUp && a.leaf.boot == boot {
			a.leaf.cancel(a.work)
		}
	})
}

// deliverReply sends a reply to the node of the attempt.
func (n *network) deliverReply(a *attempt, answer reply) {
	n.deliverToNode(a, func() { a.node.reply(a, answer) })
}

// deliverRefusal sends a refusal to the node of the attempt.
func (n *network) deliverRefusal(a *attempt, refusal leaf.Refusal, retryAfter time.Duration) {
	answer := dispatch.Refusal{
		Reason: refusal, RetryAfter: retryAfter, BootID: a.leaf.bootID(), Load: a.leaf.loadSummary(),
	}
	n.deliverToNode(a, func() { a.node.refuse(a, answer) })
}

func (n *network) deliverToNode(a *attempt, action func()) {
	link := n.linkFor(a)
	generation := link.generation
	n.simulator.engine.scheduleAt(n.nextReplyArrival(link), func() {
		if link.generation != generation {
			return // the connection broke and the attempt has already failed
		}
		delete(link.inFlight, a.id)
		a.node.deliver(action)
	})
}

// breakLinks breaks all connections to a leaf. Each node notices it after the given time plus the
// network delay.
func (n *network) breakLinks(l *emulatedLeaf, timeout time.Duration) {
	for _, row := range n.links {
		link := row[l.index]
		generation := link.generation
		n.simulator.engine.scheduleAfter(timeout+link.delay, func() {
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
