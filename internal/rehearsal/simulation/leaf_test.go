package simulation

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

// leafState is whether a leaf's machine answers.
type leafState uint8

const (
	leafUp leafState = iota
	leafCrashed
	leafSilent
)

// emulatedLeaf is one leaf: slots, a queue in order of arrival, and faults.
type emulatedLeaf struct {
	world   *world
	index   int
	address netip.AddrPort
	zone    string
	slots   int
	up      leafState
	boot    int
	// bootName is the id of the boot namedBoot.
	bootName  string
	namedBoot int
	draining  bool
	// coldUntil ends the time in which work is refused, warmAt the time in
	// which it is slow.
	coldUntil, warmAt Time
	slow              float64
	pausedUntil       Time
	lying             bool
	staleShare        float64
	holdings          []leaf.Holding
	connections       int
	running           []*work
	queue             []*work
	published         leaf.LoadSummary
	// leavingSince is when the first source reported that this boot leaves.
	leavingSince Time
	leaving      bool
	// added counts how often an operator added the leaf again.
	added int
	// received counts the attempts that arrived, executed those that ran.
	received, executed int
	busy               time.Duration // time of its slots at work
}

func (l *emulatedLeaf) bootID() string {
	if l.namedBoot != l.boot {
		l.namedBoot = l.boot
		l.bootName = fmt.Sprintf("%d-%d", l.index, l.boot)
	}
	return l.bootName
}

// summary is the leaf's true load, or its lie.
func (l *emulatedLeaf) summary() leaf.LoadSummary {
	summary := leaf.LoadSummary{State: leaf.StateServing, SlotsBusy: len(l.running), Slots: l.slots, Queue: len(l.queue)}
	if l.lying {
		summary.SlotsBusy, summary.Queue = 0, 0
	}
	switch {
	case l.draining:
		summary.State = leaf.StateDraining
	case l.world.engine.now < l.coldUntil:
		summary.State = leaf.StateCold
	}
	return summary
}

// report is what a poll of the load gets: the state of a while ago.
func (l *emulatedLeaf) report() leaf.LoadReport {
	return leaf.LoadReport{
		BootID: l.bootID(), LoadSummary: l.published,
		Service: l.world.config.Service.Name, Holdings: slices.Clone(l.holdings),
	}
}

// holds reports whether the leaf has a shard at a snapshot, and whether it
// has the partition epoch at all.
func (l *emulatedLeaf) holds(snapshot catalog.Snapshot, shard int) (held, epoch bool) {
	for _, holding := range l.holdings {
		if holding.Snapshot.Epoch != snapshot.Epoch || !slices.Contains(holding.Shards, shard) {
			continue
		}
		epoch = true
		if holding.Snapshot == snapshot {
			return true, true
		}
	}
	return false, epoch
}

// receive takes work that arrived over the network.
func (l *emulatedLeaf) receive(work *work) {
	if work.state == workDone {
		return // cancelled on the way
	}
	l.world.noteReceived(l, work)
	if refusal := l.refusalOf(work); refusal != leaf.RefusedNone {
		l.refuse(work, refusal)
		return
	}
	if len(l.running) < l.slots {
		l.start(work)
		return
	}
	work.state = workQueued
	l.queue = append(l.queue, work)
}

// refusalOf decides whether the leaf takes the work.
func (l *emulatedLeaf) refusalOf(work *work) leaf.Refusal {
	now := l.world.engine.now
	if l.draining {
		return leaf.RefusedDraining
	}
	if now < l.coldUntil {
		return leaf.RefusedCold
	}
	if refusal := l.snapshotRefusal(work); refusal != leaf.RefusedNone {
		return refusal
	}
	if now >= work.lateAt {
		return leaf.RefusedLate
	}
	if len(l.running) < l.slots {
		return leaf.RefusedNone
	}
	if len(l.queue) >= l.world.config.Deployment.Leaf.QueueLimit || now+l.predictedWait() > work.lateAt {
		return leaf.RefusedShed
	}
	return leaf.RefusedNone
}

func (l *emulatedLeaf) snapshotRefusal(work *work) leaf.Refusal {
	held, epoch := l.holds(work.attempt.snapshot, work.attempt.shard)
	switch {
	case held:
		return leaf.RefusedNone
	case epoch:
		return leaf.RefusedSnapshot
	}
	return leaf.RefusedMoved
}

// predictedWait is the leaf's own guess from the means of what waits.
func (l *emulatedLeaf) predictedWait() time.Duration {
	var waiting time.Duration
	for _, queued := range l.queue {
		waiting += queued.expected
	}
	return scale(waiting, l.factor()) / time.Duration(l.slots)
}

// factor is how many times as long work takes that starts now.
func (l *emulatedLeaf) factor() float64 {
	factor := max(l.slow, 1)
	now := l.world.engine.now
	warmUp := l.world.config.Deployment.Leaf.WarmUp
	if now < l.warmAt && warmUp > 0 {
		left := float64(l.warmAt-now) / float64(warmUp)
		factor *= 1 + (l.world.config.Deployment.Leaf.ColdFactor-1)*min(left, 1)
	}
	return factor
}

// start runs work in a free slot.
func (l *emulatedLeaf) start(work *work) {
	now := l.world.engine.now
	work.state = workRunning
	work.started = now
	work.finishAt = max(now, l.pausedUntil) + scale(work.length, l.factor())
	l.running = append(l.running, work)
	l.world.noteStarted(l, work)
	l.scheduleEnd(work)
}

// scheduleEnd ends the work when its time has come; a pause moves the time.
func (l *emulatedLeaf) scheduleEnd(work *work) {
	l.world.engine.at(work.finishAt, func() {
		switch {
		case work.state != workRunning:
		case l.world.engine.now < work.finishAt:
			l.scheduleEnd(work)
		default:
			l.end(work)
		}
	})
}

// end replies and starts what waits.
func (l *emulatedLeaf) end(work *work) {
	l.freeSlot(work)
	snapshot := work.attempt.snapshot
	if l.staleShare > 0 && l.world.faultRandom.Float64() < l.staleShare {
		snapshot.Version++
	}
	answer := reply{shard: work.attempt.shard, snapshot: snapshot, bootID: l.bootID()}
	l.startNext()
	answer.load = l.summary()
	l.world.network.deliverReply(work.attempt, answer)
}

func (l *emulatedLeaf) freeSlot(work *work) {
	work.state = workDone
	l.running = remove(l.running, work)
	l.busy += l.world.engine.now - work.started
}

// startNext fills the free slots from the queue.
func (l *emulatedLeaf) startNext() {
	for len(l.running) < l.slots && len(l.queue) > 0 {
		next := l.queue[0]
		l.queue = l.queue[1:]
		refusal := l.snapshotRefusal(next)
		if l.world.engine.now >= next.lateAt {
			refusal = leaf.RefusedLate
		}
		if refusal != leaf.RefusedNone {
			l.refuse(next, refusal)
			continue
		}
		l.start(next)
	}
}

// refuse answers that the work ran nowhere here.
func (l *emulatedLeaf) refuse(work *work, refusal leaf.Refusal) {
	work.state = workDone
	var retryAfter time.Duration
	if refusal == leaf.RefusedShed {
		retryAfter = l.predictedWait()
	}
	l.world.network.deliverRefusal(work.attempt, refusal, retryAfter)
}

// cancel drops work whose reply is not wanted any more.
func (l *emulatedLeaf) cancel(work *work) {
	switch work.state {
	case workTransit:
		work.state = workDone
	case workQueued:
		work.state = workDone
		l.queue = remove(l.queue, work)
	case workRunning:
		l.freeSlot(work)
		l.startNext()
	}
}

// pause stops the leaf until a moment: running work ends later by as much.
func (l *emulatedLeaf) pause(length time.Duration) {
	now := l.world.engine.now
	begin := max(now, l.pausedUntil)
	l.pausedUntil = max(l.pausedUntil, now+length)
	for _, work := range l.running {
		work.finishAt += l.pausedUntil - begin
	}
}

// stop drops everything: the process or the machine is gone.
func (l *emulatedLeaf) stop(state leafState) {
	l.up = state
	for _, work := range l.running {
		work.state = workDone
		l.busy += l.world.engine.now - work.started
	}
	for _, work := range l.queue {
		work.state = workDone
	}
	l.running, l.queue = nil, nil
	l.connections = 0
}

// restart brings the leaf back as a new boot, cold.
func (l *emulatedLeaf) restart() {
	now := l.world.engine.now
	model := &l.world.config.Deployment.Leaf
	l.up = leafUp
	l.boot++
	l.draining, l.leaving = false, false
	l.pausedUntil = now
	l.coldUntil = now + model.ColdRefuse
	l.warmAt = l.coldUntil + model.WarmUp
	l.holdings = l.world.currentHoldings(l.index)
	l.published = l.summary()
}

// remove deletes one piece of work and keeps the order.
func remove(list []*work, gone *work) []*work {
	if i := slices.Index(list, gone); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
