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
	world    *world
	index    int
	zone     string
	decider  Decider
	table    *topology.Table
	known    dispatch.Topology
	attempts map[dispatch.AttemptID]*attempt
	queries  map[dispatch.QueryID]*query
	// wakeAt is when the next tick is scheduled; zero means none.
	wakeAt Time
	thawAt Time
	dead   bool
}

func newNode(w *world, index int, zone string) *node {
	return &node{
		world: w, index: index, zone: zone,
		table:    topology.New(topology.DefaultConfig()),
		attempts: make(map[dispatch.AttemptID]*attempt),
		queries:  make(map[dispatch.QueryID]*query),
	}
}

// deliver runs what happens at the node now, or when it thaws.
func (n *node) deliver(do func()) {
	switch {
	case n.dead:
	case n.world.engine.now < n.thawAt:
		n.world.engine.at(n.thawAt, func() { n.deliver(do) })
	default:
		do()
	}
}

// submit hands a query to the Decider.
func (n *node) submit(q *query) {
	now := n.world.engine.now
	class := n.world.config.Service.Classes[q.class]
	q.node = n
	q.deadline = now + class.Deadline
	n.queries[q.id()] = q
	n.perform(n.decider.Submit(now, dispatch.Query{
		ID:              q.id(),
		Class:           class.catalogClass(n.world.config.Service.Name),
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
	n.perform(n.decider.Cancel(n.world.engine.now, q.id()))
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
	n.arm()
}

// arm schedules the next tick if it comes before the one scheduled.
func (n *node) arm() {
	next, ok := n.decider.NextTick()
	if !ok {
		return
	}
	now := n.world.engine.now
	next = max(next, now+minimumTick)
	if n.wakeAt > now && n.wakeAt <= next {
		return
	}
	n.wakeAt = next
	n.world.engine.at(next, func() {
		if n.wakeAt == next {
			n.deliver(n.tick)
		}
	})
}

func (n *node) tick() {
	n.wakeAt = 0
	n.perform(n.decider.Tick(n.world.engine.now))
}

func (n *node) send(send dispatch.Send) {
	q := n.queries[send.Query]
	a := &attempt{
		id: send.Attempt, node: n, query: q, shard: send.Shard, snapshot: send.Snapshot,
		leaf: n.world.byAddress[send.Leaf],
	}
	if n.attempts[a.id] != nil {
		n.world.violate(ViolationAction, "attempt id used twice")
		return
	}
	if q == nil || q.finished || a.leaf == nil {
		n.world.violate(ViolationAction, "send for a query that is over, or to no leaf")
		return
	}
	n.attempts[a.id] = a
	n.world.result.Sends++
	length := n.world.workLength(q, send.Shard, n.world.shards(send.Snapshot.Epoch))
	a.work = &work{
		attempt:  a,
		lateAt:   n.world.engine.now + send.Remaining,
		length:   n.world.noisyLength(length, a),
		expected: n.world.meanWork(q, send.Snapshot.Epoch),
	}
	n.world.network.send(a)
}

// abort resets the stream and reports its end at once, after the actions at
// hand.
func (n *node) abort(abort dispatch.Abort) {
	a := n.attempts[abort.Attempt]
	if a == nil || a.state == attemptEnded {
		return
	}
	sent := a.state == attemptSent
	n.world.network.abort(a)
	n.world.engine.at(n.world.engine.now, func() {
		n.deliver(func() { n.fail(a, dispatch.Failure{Sent: sent, Aborted: true}) })
	})
}

// end reports whether the attempt was still open, and closes it.
func (n *node) end(a *attempt) bool {
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
	if n.end(a) {
		n.perform(n.decider.Fail(n.world.engine.now, a.id, failure))
	}
}

func (n *node) reply(a *attempt, answer reply) {
	if !n.end(a) {
		return
	}
	a.replied = &answer
	n.heardState(a.leaf, answer.bootID, answer.load.State)
	n.perform(n.decider.Reply(n.world.engine.now, a.id, dispatch.Reply{
		Shard: answer.shard, Snapshot: answer.snapshot, BootID: answer.bootID, Load: answer.load,
	}))
}

func (n *node) refuse(a *attempt, refusal dispatch.Refusal) {
	if !n.end(a) {
		return
	}
	n.heardState(a.leaf, refusal.BootID, refusal.Load.State)
	n.perform(n.decider.Refuse(n.world.engine.now, a.id, refusal))
}

// heardState marks a leaf whose reply says that it drains.
func (n *node) heardState(l *emulatedLeaf, bootID string, state leaf.State) {
	if state != leaf.StateDraining {
		return
	}
	n.table.Draining(l.address, bootID)
	n.refreshTopology()
}

// refreshTopology passes a changed topology to the Decider.
func (n *node) refreshTopology() {
	now := n.world.engine.now
	current, ok := n.table.Service(now, n.world.config.Service.Name)
	if !ok || sameTopology(n.known, current) {
		return
	}
	n.known = current
	n.perform(n.decider.SetTopology(now, current))
}

// poll asks one leaf for its load, again and again.
func (n *node) poll(l *emulatedLeaf) {
	settings := &n.world.config.Deployment
	engine := &n.world.engine
	delay := n.world.delay(n.zone, l.zone)
	engine.after(delay, func() {
		if l.up != leafUp {
			engine.after(settings.Network.DialTimeout, func() {
				n.deliver(func() { n.pollFailed(l) })
			})
			return
		}
		report := l.report()
		engine.after(delay, func() { n.deliver(func() { n.polled(l, report) }) })
	})
	if engine.now < n.world.endAt {
		engine.after(settings.Leaf.ReportEvery, func() { n.poll(l) })
	}
}

func (n *node) polled(l *emulatedLeaf, report leaf.LoadReport) {
	now := n.world.engine.now
	n.table.Report(now, l.address, report)
	n.refreshTopology()
	n.perform(n.decider.Observe(now, l.address, report.LoadSummary))
}

func (n *node) pollFailed(l *emulatedLeaf) {
	n.table.ReportFailed(l.address)
	n.refreshTopology()
}

// finish gives the answer to the client.
func (n *node) finish(finish dispatch.Finish) {
	q := n.queries[finish.Query]
	if q == nil || q.finished {
		n.world.violate(ViolationFinish, "query %d finished again or never submitted", finish.Query)
		return
	}
	q.finished = true
	q.finish = finish
	q.finishedAt = n.world.engine.now
	n.world.checkFinish(n, q)
	n.world.collect(q)
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
func sameTopology(a, b dispatch.Topology) bool {
	return a.Revision == b.Revision && a.Stopped == b.Stopped && a.Concurrency == b.Concurrency &&
		slices.Equal(a.Partitions, b.Partitions) && slices.EqualFunc(a.Leaves, b.Leaves, sameLeaf)
}

func sameLeaf(a, b dispatch.Leaf) bool {
	return a.Address == b.Address && a.Zone == b.Zone && a.BootID == b.BootID && a.Usable == b.Usable &&
		a.Cold == b.Cold && a.Slots == b.Slots && slices.EqualFunc(a.Holdings, b.Holdings, sameHolding)
}

func sameHolding(a, b leaf.Holding) bool {
	return a.Snapshot == b.Snapshot && slices.Equal(a.Shards, b.Shards)
}
