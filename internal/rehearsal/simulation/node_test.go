package simulation

import (
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/leaf"
	"github.com/micaplank/micaplank/internal/selfhosted/topology"
)

// minimumTick is the shortest time between now and the next tick that a Decider may ask for.
const minimumTick = 50 * time.Microsecond

// node drives a Decider as the scatter driver of a real node does.
type node struct {
	simulator       *simulator
	index           int
	zone            string
	decider         Decider
	table           *topology.Table
	currentTopology dispatch.Topology
	attempts        map[dispatch.AttemptID]*attempt
	queries         map[dispatch.QueryID]*query
	// nextTickAt is when the next tick is scheduled; zero means that none is.
	nextTickAt Time
	thawAt     Time
	down       bool
}

func newNode(s *simulator, index int, zone string) *node {
	return &node{
		simulator: s, index: index, zone: zone,
		table:    topology.NewTable(topology.DefaultConfig()),
		attempts: make(map[dispatch.AttemptID]*attempt),
		queries:  make(map[dispatch.QueryID]*query),
	}
}

// deliver runs an event of the node now, or when the node thaws. A node that is down drops it.
func (n *node) deliver(action func()) {
	switch {
	case n.down:
	case n.simulator.engine.now < n.thawAt:
		n.simulator.engine.scheduleAt(n.thawAt, func() { n.deliver(action) })
	default:
		action()
	}
}

// submit passes a query to the Decider.
func (n *node) submit(q *query) {
	now := n.simulator.engine.now
	class := n.simulator.config.Service.Classes[q.class]
	q.node = n
	q.deadline = now + class.Deadline
	n.queries[q.id()] = q
	n.perform(n.decider.Submit(now, dispatch.Query{
		ID:              q.id(),
		Class:           class.catalogClass(n.simulator.config.Service.Name),
		KeyHash:         q.keyHash,
		HasKey:          class.Keyed(),
		Deadline:        q.deadline,
		MinimumCoverage: class.MinimumCoverage,
	}))
}

// cancel notifies the Decider that the client cancelled a query.
func (n *node) cancel(q *query) {
	if q.finished || n.queries[q.id()] == nil {
		return
	}
	n.perform(n.decider.Cancel(n.simulator.engine.now, q.id()))
}

// perform carries out actions in order and then schedules the next tick.
func (n *node) perform(actions []dispatch.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case dispatch.Send:
			n.send(action)
		case dispatch.Abort:
			n.abort(action)
		case dispatch.Finish:
			n.finish(action)
		}
	}
	n.scheduleTick()
}

// scheduleTick schedules the next tick unless an earlier one is already scheduled.
func (n *node) scheduleTick() {
	next, ok := n.decider.NextTick()
	if !ok {
		return
	}
	now := n.simulator.engine.now
	next = max(next, now+minimumTick)
	if n.nextTickAt > now && n.nextTickAt <= next {
		return
	}
	n.nextTickAt = next
	n.simulator.engine.scheduleAt(next, func() {
		if n.nextTickAt == next {
			n.deliver(n.tick)
		}
	})
}

func (n *node) tick() {
	n.nextTickAt = 0
	n.perform(n.decider.Tick(n.simulator.engine.now))
}

func (n *node) send(send dispatch.Send) {
	q := n.queries[send.Query]
	a := &attempt{
		id: send.Attempt, node: n, query: q, shard: send.Shard, snapshot: send.Snapshot,
		leaf: n.simulator.leavesByAddress[send.Leaf],
	}
	if n.attempts[a.id] != nil {
		n.simulator.recordViolation(ViolationAction, "node %d: attempt id %d is used twice", n.index, a.id)
		return
	}
	if q == nil || q.finished || a.leaf == nil {
		n.simulator.recordViolation(ViolationAction, "node %d: send for query %d, which is finished or unknown, or to unknown leaf %s", n.index, send.Query, send.Leaf)
		return
	}
	n.attempts[a.id] = a
	n.simulator.result.Sends++
	duration := n.simulator.drawWorkDuration(q, send.Shard, n.simulator.shardCount(send.Snapshot.Epoch))
	a.work = &work{
		attempt:       a,
		startDeadline: n.simulator.engine.now + send.Remaining,
		duration:      n.simulator.addNoise(duration, a),
		meanDuration:  n.simulator.meanWorkDuration(q, send.Snapshot.Epoch),
	}
	n.simulator.network.send(a)
}

// abort resets the stream of an attempt. The Decider receives the failure in a separate event at
// the same time, after the current actions.
func (n *node) abort(abort dispatch.Abort) {
	a := n.attempts[abort.Attempt]
	if a == nil || a.state == attemptEnded {
		return
	}
	sent := a.state == attemptSent
	n.simulator.network.abort(a)
	n.simulator.engine.scheduleAt(n.simulator.engine.now, func() {
		n.deliver(func() { n.fail(a, dispatch.Failure{Sent: sent, Aborted: true}) })
	})
}

// endAttempt marks an attempt as ended and reports whether it was still open.
func (n *node) endAttempt(a *attempt) bool {
	if a.state == attemptEnded {
		return false
	}
	a.state = attemptEnded
	if a.query.finished {
		delete(n.attempts, a.id)
	}
	return true
}

func (n *node) fail(a *attempt, failure dispatch.Failure) {
	if n.endAttempt(a) {
		n.perform(n.decider.Fail(n.simulator.engine.now, a.id, failure))
	}
}

func (n *node) reply(a *attempt, answer reply) {
	if !n.endAttempt(a) {
		return
	}
	a.receivedReply = &answer
	n.observeLeafState(a.leaf, answer.bootID, answer.load.State)
	n.perform(n.decider.Reply(n.simulator.engine.now, a.id, dispatch.Reply{
		Shard: answer.shard, Snapshot: answer.snapshot, BootID: answer.bootID, Load: answer.load,
	}))
}

func (n *node) refuse(a *attempt, refusal dispatch.Refusal) {
	if !n.endAttempt(a) {
		return
	}
	n.observeLeafState(a.leaf, refusal.BootID, refusal.Load.State)
	n.perform(n.decider.Refuse(n.simulator.engine.now, a.id, refusal))
}

// observeLeafState marks a leaf as draining if its reply reports that it drains.
func (n *node) observeLeafState(l *emulatedLeaf, bootID string, state leaf.State) {
	if state != leaf.StateDraining {
		return
	}
	n.table.MarkDraining(l.address, bootID)
	n.refreshTopology()
}

// refreshTopology passes the topology to the Decider if it changed.
func (n *node) refreshTopology() {
	now := n.simulator.engine.now
	current, ok := n.table.ServiceTopology(now, n.simulator.config.Service.Name)
	if !ok || equalTopologies(n.currentTopology, current) {
		return
	}
	n.currentTopology = current
	n.perform(n.decider.SetTopology(now, current))
}

// poll requests the load of a leaf and schedules the next poll.
func (n *node) poll(l *emulatedLeaf) {
	settings := &n.simulator.config.Deployment
	engine := &n.simulator.engine
	delay := n.simulator.oneWayDelay(n.zone, l.zone)
	engine.scheduleAfter(delay, func() {
		if l.liveness != leafUp {
			engine.scheduleAfter(settings.Network.DialTimeout, func() {
				n.deliver(func() { n.handlePollFailure(l) })
			})
			return
		}
		report := l.loadReport()
		engine.scheduleAfter(delay, func() { n.deliver(func() { n.handleReport(l, report) }) })
	})
	if engine.now < n.simulator.arrivalsEndAt {
		engine.scheduleAfter(settings.Leaf.PollInterval, func() { n.poll(l) })
	}
}

func (n *node) handleReport(l *emulatedLeaf, report leaf.LoadReport) {
	now := n.simulator.engine.now
	n.table.RecordReport(now, l.address, report)
	n.refreshTopology()
	n.perform(n.decider.Observe(now, l.address, report.LoadSummary))
}

func (n *node) handlePollFailure(l *emulatedLeaf) {
	n.table.RecordPollFailure(l.address)
	n.refreshTopology()
}

// finish records the answer of a query and checks it.
func (n *node) finish(finish dispatch.Finish) {
	q := n.queries[finish.Query]
	if q == nil || q.finished {
		n.simulator.recordViolation(ViolationFinish, "query %d is finished twice or was never submitted", finish.Query)
		return
	}
	q.finished = true
	q.finish = finish
	q.finishedAt = n.simulator.engine.now
	n.simulator.checkFinish(n, q)
	n.simulator.recordOutcome(q)
	delete(n.queries, finish.Query)
	for _, answer := range finish.Answered {
		delete(n.attempts, answer.Attempt)
	}
}

// sortedAttempts returns the attempts in order of their ids, so that runs are deterministic.
func sortedAttempts(attempts map[dispatch.AttemptID]*attempt) []*attempt {
	list := make([]*attempt, 0, len(attempts))
	for _, a := range attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int { return int(a.id) - int(b.id) })
	return list
}

// equalTopologies compares the parts of a topology that a Decider uses.
func equalTopologies(a, b dispatch.Topology) bool {
	return a.Revision == b.Revision && a.Stopped == b.Stopped && a.Concurrency == b.Concurrency &&
		slices.Equal(a.Partitions, b.Partitions) && slices.EqualFunc(a.Leaves, b.Leaves, equalLeaves)
}

func equalLeaves(a, b dispatch.Leaf) bool {
	return a.Address == b.Address && a.Zone == b.Zone && a.BootID == b.BootID && a.Usable == b.Usable &&
		a.Cold == b.Cold && a.Slots == b.Slots && slices.EqualFunc(a.Holdings, b.Holdings, equalHoldings)
}

func equalHoldings(a, b leaf.Holding) bool {
	return a.Snapshot == b.Snapshot && slices.Equal(a.Shards, b.Shards)
}
