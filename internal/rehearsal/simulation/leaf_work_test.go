package simulation

import (
	"slices"

	"github.com/micaplank/micaplank/internal/leaf"
)

// slowdown returns the factor by which the duration of work that starts now is multiplied.
func (l *emulatedLeaf) slowdown() float64 {
	slowdown := max(l.slowFactor, 1)
	now := l.simulator.engine.now
	warmUp := l.simulator.config.Deployment.Leaf.WarmUpDuration
	if now < l.warmAt && warmUp > 0 {
		remaining := float64(l.warmAt-now) / float64(warmUp)
		slowdown *= 1 + (l.simulator.config.Deployment.Leaf.ColdFactor-1)*min(remaining, 1)
	}
	return slowdown
}

// start executes work in a free slot.
func (l *emulatedLeaf) start(work *work) {
	now := l.simulator.engine.now
	work.state = workRunning
	work.startedAt = now
	work.finishAt = max(now, l.pausedUntil) + scale(work.duration, l.slowdown())
	l.running = append(l.running, work)
	l.simulator.recordExecution(l, work)
	l.scheduleFinish(work)
}

// scheduleFinish finishes the work at finishAt. A pause may move finishAt meanwhile; the finish is
// then scheduled again.
func (l *emulatedLeaf) scheduleFinish(work *work) {
	l.simulator.engine.scheduleAt(work.finishAt, func() {
		switch {
		case work.state != workRunning:
		case l.simulator.engine.now < work.finishAt:
			l.scheduleFinish(work)
		default:
			l.finish(work)
		}
	})
}

// finish sends the reply and starts queued work.
func (l *emulatedLeaf) finish(work *work) {
	l.releaseSlot(work)
	snapshot := work.attempt.snapshot
	if l.staleReplyRatio > 0 && l.simulator.faultRandom.Float64() < l.staleReplyRatio {
		snapshot.Version++
	}
	answer := reply{shard: work.attempt.shard, snapshot: snapshot, bootID: l.bootID()}
	l.startNext()
	answer.load = l.loadSummary()
	l.simulator.network.deliverReply(work.attempt, answer)
}

func (l *emulatedLeaf) releaseSlot(work *work) {
	work.state = workDone
	l.running = removeWork(l.running, work)
	l.busyTime += l.simulator.engine.now - work.startedAt
}

// startNext fills free slots from the queue and refuses queued work that is late or whose snapshot
// was dropped.
func (l *emulatedLeaf) startNext() {
	for len(l.running) < l.slots && len(l.queue) > 0 {
		next := l.queue[0]
		l.queue = l.queue[1:]
		refusal := l.checkSnapshot(next)
		if l.simulator.engine.now >= next.startDeadline {
			refusal = leaf.RefusedLate
		}
		if refusal != leaf.RefusedNone {
			l.refuse(next, refusal)
			continue
		}
		l.start(next)
	}
}

// cancel drops work after its node reset the stream.
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

// removeWork deletes target from list and keeps the order of the rest.
func removeWork(list []*work, target *work) []*work {
	if i := slices.Index(list, target); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
