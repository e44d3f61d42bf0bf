package simulation

import (
	"time"

	"github.com/micaplank/micaplank/internal/leaf"
)

// receive admits, queues or refuses work that arrived over the network.
func (l *emulatedLeaf) receive(work *work) {
	if work.state == workDone {
		return // cancelled in transit
	}
	l.simulator.recordReceived(l, work)
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

// checkAdmission returns the reason to refuse the work, or leaf.RefusedNone.
func (l *emulatedLeaf) checkAdmission(work *work) leaf.Refusal {
	now := l.simulator.engine.now
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
	if len(l.queue) >= l.simulator.config.Deployment.Leaf.QueueLimit || now+l.predictWait() > work.startDeadline {
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

// predictWait estimates the queueing delay from the mean durations of the queued work.
func (l *emulatedLeaf) predictWait() time.Duration {
	var waiting time.Duration
	for _, queued := range l.queue {
		waiting += queued.meanDuration
	}
	return scale(waiting, l.slowdown()) / time.Duration(l.slots)
}

// refuse replies that the leaf did not execute the work.
func (l *emulatedLeaf) refuse(work *work, refusal leaf.Refusal) {
	work.state = workDone
	var retryAfter time.Duration
	if refusal == leaf.RefusedShed {
		retryAfter = l.predictWait()
	}
	l.simulator.network.deliverRefusal(work.attempt, refusal, retryAfter)
}
