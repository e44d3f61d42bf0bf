package simulation

import (
	"slices"

	"github.com/micaplank/micaplank/internal/leaf"
)

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

// remove deletes one piece of work and keeps the order.
func remove(list []*work, gone *work) []*work {
	if i := slices.Index(list, gone); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
