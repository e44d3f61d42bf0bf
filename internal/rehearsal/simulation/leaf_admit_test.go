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

// refuse answers that the work ran nowhere here.
func (l *emulatedLeaf) refuse(work *work, refusal leaf.Refusal) {
	work.state = workDone
	var retryAfter time.Duration
	if refusal == leaf.RefusedShed {
		retryAfter = l.predictedWait()
	}
	l.world.network.deliverRefusal(work.attempt, refusal, retryAfter)
}
