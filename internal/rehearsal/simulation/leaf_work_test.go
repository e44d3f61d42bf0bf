package simulation

import (
	"slices"

	"github.com/micaplank/micaplank/internal/leaf"
)

// factor is how many times as long work takes that starts now.
func (l *emulatedLeaf) slowdown() float64 {
	slowdown := max(l.slowFactor, 1)
	now := l.sim.engine.now
	warmUp := l.sim.config.Deployment.Leaf.WarmUpDuration
	if now < l.warmAt && warmUp > 0 {
		remaining := float64(l.warmAt-now) / float64(warmUp)
		slowdown *= 1 + (l.sim.config.Deployment.Leaf.ColdFactor-1)*min(remaining, 1)
	}
	return slowdown
}

// start runs work in a free slot.
func (l *emulatedLeaf) start(work *work) {
	now := l.sim.engine.now
	work.state = workRunning
	work.startedAt = now
	work.finishAt = max(now, l.pausedUntil) + scale(work.duration, l.slowdown())
	l.running = append(l.running, work)
	l.sim.recordExecution(l, work)
	l.scheduleFinish(work)
}

// scheduleEnd ends the work when its time has come; a pause moves the time.
func (l *emulatedLeaf) scheduleFinish(work *work) {
	l.sim.engine.scheduleAt(work.finishAt, func() {
		switch {
		case work.state != workRunning:
		case l.sim.engine.now < work.finishAt:
			l.scheduleFinish(work)
		default:
			l.finish(work)
		}
	})
}

// end replies and starts what waits.
func (l *emulatedLeaf) finish(work *work) {
	l.releaseSlot(work)
	snapshot := work.attempt.snapshot
	if l.staleReplyRatio > 0 && l.sim.faultRandom.Float64() < l.staleReplyRatio {
		snapshot.Version++
	}
	answer := reply{shard: work.attempt.shard, snapshot: snapshot, bootID: l.bootID()}
	l.startNext()
	answer.load = l.loadSummary()
	l.sim.network.deliverReply(work.attempt, answer)
}

func (l *emulatedLeaf) releaseSlot(work *work) {
	work.state = workDone
	l.running = removeWork(l.running, work)
	l.busyTime += l.sim.engine.now - work.startedAt
}

// startNext fills the free slots from the queue.
func (l *emulatedLeaf) startNext() {
	for len(l.running) < l.slots && len(l.queue) > 0 {
		next := l.queue[0]
		l.queue = l.queue[1:]
		refusal := l.checkSnapshot(next)
		if l.sim.engine.now >= next.startDeadline {
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
	case workInTransit:
		work.state = workDone
	case workQueued:
		work.state = workDone
		l.queue = removeWork(l.queue, work)
	case workRunning:
		l.releaseSlot(work)
		l.startNext()
	}
}

// remove deletes one piece of work and keeps the order.
func removeWork(list []*work, target *work) []*work {
	if i := slices.Index(list, target); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
