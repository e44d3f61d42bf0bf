package simulation

import "time"

// pause stops the leaf until a moment: running work ends later by as much.
func (l *emulatedLeaf) pause(length time.Duration) {
	now := l.sim.engine.now
	begin := max(now, l.pausedUntil)
	l.pausedUntil = max(l.pausedUntil, now+length)
	for _, work := range l.running {
		work.finishAt += l.pausedUntil - begin
	}
}

// stop drops everything: the process or the machine is gone.
func (l *emulatedLeaf) stop(liveness leafLiveness) {
	l.liveness = liveness
	for _, work := range l.running {
		work.state = workDone
		l.busyTime += l.sim.engine.now - work.startedAt
	}
	for _, work := range l.queue {
		work.state = workDone
	}
	l.running, l.queue = nil, nil
	l.connections = 0
}

// restart brings the leaf back as a new boot, cold.
func (l *emulatedLeaf) restart() {
	now := l.sim.engine.now
	model := &l.sim.config.Deployment.Leaf
	l.liveness = leafUp
	l.boot++
	l.draining, l.leaving = false, false
	l.pausedUntil = now
	l.coldUntil = now + model.ColdDuration
	l.warmAt = l.coldUntil + model.WarmUpDuration
	l.updated = l.sim.newestHoldings(l.index)
	l.publishedLoad = l.loadSummary()
}
