package simulation

import (
	"time"

	"github.com/micaplank/micaplank/internal/leaf"
)

// receive takes work that arrived over the network.
func (l *emulatedLeaf) receive(work *work) {
	if work.state == workDone {
		return // cancelled on the way
	}
	l.sim.recordReceived(l, work)
	if refusal := l.checkAdmission(work); refusal != leaf.RefusedNone {
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
func (l *emulatedLeaf) checkAdmission(work *work) leaf.Refusal {
	now := l.sim.engine.now
	if l.draining {
		return leaf.RefusedDraining
	}
	if now < l.coldUntil {
		return leaf.RefusedCold
	}
	if refusal := l.checkSnapshot(work); refusal != leaf.RefusedNone {
		return refusal
	}
	if now >= work.startDeadline {
		return leaf.RefusedLate
	}
	if len(l.running) < l.slots {
		return leaf.RefusedNone
	}
	if len(l.queue) >= l.sim.config.Deployment.Leaf.QueueLimit || now+l.predictWait() > work.startDeadline {
		return leaf.RefusedShed
	}
	return leaf.RefusedNone
}

func (l *emulatedLeaf) checkSnapshot(work *work) leaf.Refusal {
	held, epochHeld := l.holds(work.attempt.snapshot, work.attempt.shard)
	switch {
	case held:
		return leaf.RefusedNone
	case epochHeld:
		return leaf.RefusedSnapshot
	}
	return leaf.RefusedMoved
}

// predictedWait is the leaf's own guess from the means of what waits.
func (l *emulatedLeaf) predictWait() time.Duration {
	var waiting time.Duration
	for _, queued := range l.queue {
		waiting += queued.meanDuration
	}
	return scale(waiting, l.slowdown()) / time.Duration(l.slots)
}

// refuse answers that the work ran nowhere here.
func (l *emulatedLeaf) refuse(work *work, refusal leaf.Refusal) {
	work.state = workDone
	var retryAfter time.Duration
	if refusal == leaf.RefusedShed {
		retryAfter = l.predictWait()
	}
	l.sim.network.deliverRefusal(work.attempt, refusal, retryAfter)
}
