package simulation

import (
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/leaf"
	"github.com/micaplank/micaplank/internal/selfhosted/topology"
)

// minimumTick bounds how often a Decider may ask to be woken.
const minimumTick = 50 * time.Microsecond

// node drives one Decider, as the scatter driver of a real node does.
type node struct {
	sim             *simulator
	index           int
	zone            string
	decider         Decider
	table           *topology.Table
	currentTopology dispatch.Topology
	attempts        map[dispatch.AttemptID]*attempt
	queries         map[dispatch.QueryID]*query
	// wakeAt is when the next tick is scheduled; zero means none.
	nextTickAt Time
	thawAt     Time
	down       bool
}

func newNode(s *simulator, index int, zone string) *node {
	return &node{
		sim: s, index: index, zone: zone,
		table:    topology.New(topology.DefaultConfig()),
		attempts: make(map[dispatch.AttemptID]*attempt),
		queries:  make(map[dispatch.QueryID]*query),
	}
}

// deliver runs what happens at the node now, or when it thaws.
func (n *node) deliver(action func()) {
	switch {
	case n.down:
	case n.sim.engine.now < n.thawAt:
		n.sim.engine.scheduleAt(n.thawAt, func() { n.deliver(action) })
	default:
		action()
	}
}

// submit hands a query to the Decider.
func (n *node) submit(q *query) {
	now := n.sim.engine.now
	class := n.sim.config.Service.Classes[q.class]
	q.node = n
	q.deadline = now + class.Deadline
	n.queries[q.id()] = q
	n.perform(n.decider.Submit(now, dispatch.Query{
		ID:              q.id(),
		Class:           class.catalogClass(n.sim.config.Service.Name),
		KeyHash:         q.keyHash,
		HasKey:          class.Keyed(),
		Deadline:        q.deadline,
		MinimumCoverage: class.MinimumCoverage,
	}))
}

// cancel tells the Decider that the client of a query went away.
func (n *node) cancel(q *query) {
	if q.finished || n.queries[q.id()] == nil {
		return
	}
	n.perform(n.decider.Cancel(n.sim.engine.now, q.id()))
}

// perform carries out actions in order and schedules the next tick.
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

// arm schedules the next tick if it comes before the one scheduled.
func (n *node) scheduleTick() {
	next, ok := n.decider.NextTick()
	if !ok {
		return
	}
	now := n.sim.engine.now
	next = max(next, now+minimumTick)
	if n.nextTickAt > now && n.nextTickAt <= next {
		return
	}
	n.nextTickAt = next
	n.sim.engine.scheduleAt(next, func() {
		if n.nextTickAt == next {
			n.deliver(n.tick)
		}
	})
}

func (n *node) tick() {
	n.nextTickAt = 0
	n.perform(n.decider.Tick(n.sim.engine.now))
}

func (n *node) send(send dispatch.Send) {
	q := n.queries[send.Query]
	a := &attempt{
		id: send.Attempt, node: n, query: q, shard: send.Shard, snapshot: send.Snapshot,
		leaf: n.sim.leavesByAddress[send.Leaf],
	}
	if n.attempts[a.id] != nil {
		n.sim.recordViolation(ViolationAction, "attempt id used twice")
		return
	}
	if q == nil || q.finished || a.leaf == nil {
		n.sim.recordViolation(ViolationAction, "send for a query that is over, or to no leaf")
		return
	}
	n.attempts[a.id] = a
	n.sim.result.Sends++
	duration := n.sim.drawWorkDuration(q, send.Shard, n.sim.shardCount(send.Snapshot.Epoch))
	a.work = &work{
		attempt:       a,
		startDeadline: n.sim.engine.now + send.Remaining,
		duration:      n.sim.addNoise(duration, a),
		meanDuration:  n.sim.meanWorkDuration(q, send.Snapshot.Epoch),
	}
	n.sim.network.send(a)
}

// abort resets the stream and reports its end at once, after the actions at
// hand.
func (n *node) abort(abort dispatch.Abort) {
	a := n.attempts[abort.Attempt]
	if a == nil || a.state == attemptEnded {
		return
	}
	sent := a.state == attemptSent
	n.sim.network.abort(a)
	n.sim.engine.scheduleAt(n.sim.engine.now, func() {
		n.deliver(func() { n.fail(a, dispatch.Failure{Sent: sent, Aborted: true}) })
	})
}

// end reports whether the attempt was still open, and closes it.
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
		n.perform(n.decider.Fail(n.sim.engine.now, a.id, failure))
	}
}

func (n *node) reply(a *attempt, answer reply) {
	if !n.endAttempt(a) {
		return
	}
	a.receivedReply = &answer
	n.observeLeafState(a.leaf, answer.bootID, answer.load.State)
	n.perform(n.decider.Reply(n.sim.engine.now, a.id, dispatch.Reply{
		Shard: answer.shard, Snapshot: answer.snapshot, BootID: answer.bootID, Load: answer.load,
	}))
}

func (n *node) refuse(a *attempt, refusal dispatch.Refusal) {
	if !n.endAttempt(a) {
		return
	}
	n.observeLeafState(a.leaf, refusal.BootID, refusal.Load.State)
	n.perform(n.decider.Refuse(n.sim.engine.now, a.id, refusal))
}

// heardState marks a leaf whose reply says that it drains.
func (n *node) observeLeafState(l *emulatedLeaf, bootID string, state leaf.State) {
	if state != leaf.StateDraining {
		return
	}
	n.table.Draining(l.address, bootID)
	n.refreshTopology()
}

// refreshTopology passes a changed topology to the Decider.
func (n *node) refreshTopology() {
	now := n.sim.engine.now
	current, ok := n.table.Service(now, n.sim.config.Service.Name)
	if !ok || equalTopologies(n.currentTopology, current) {
		return
	}
	n.currentTopology = current
	n.perform(n.decider.SetTopology(now, current))
}

// poll asks one leaf for its load, again and again.
func (n *node) poll(l *emulatedLeaf) {
	settings := &n.sim.config.Deployment
	engine := &n.sim.engine
	delay := n.sim.oneWayDelay(n.zone, l.zone)
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
	if engine.now < n.sim.arrivalsEndAt {
		engine.scheduleAfter(settings.Leaf.PollInterval, func() { n.poll(l) })
	}
}

func (n *node) handleReport(l *emulatedLeaf, report leaf.LoadReport) {
	now := n.sim.engine.now
	n.table.Report(now, l.address, report)
	n.refreshTopology()
	n.perform(n.decider.Observe(now, l.address, report.LoadSummary))
}

func (n *node) handlePollFailure(l *emulatedLeaf) {
	n.table.ReportFailed(l.address)
	n.refreshTopology()
}

// finish gives the answer to the client.
func (n *node) finish(finish dispatch.Finish) {
	q := n.queries[finish.Query]
	if q == nil || q.finished {
		n.sim.recordViolation(ViolationFinish, "query %d finished again or never submitted", finish.Query)
		return
	}
	q.finished = true
	q.finish = finish
	q.finishedAt = n.sim.engine.now
	n.sim.checkFinish(n, q)
	n.sim.recordOutcome(q)
	delete(n.queries, finish.Query)
	for _, answer := range finish.Answered {
		delete(n.attempts, answer.Attempt)
	}
}

// sortedAttempts lists attempts by id.
func sortedAttempts(attempts map[dispatch.AttemptID]*attempt) []*attempt {
	list := make([]*attempt, 0, len(attempts))
	for _, a := range attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int { return int(a.id) - int(b.id) })
	return list
}

// sameTopology compares what a Decider would see.
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
