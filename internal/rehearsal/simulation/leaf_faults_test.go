package simulation

import "time"

// pause stops the leaf for a duration. Running work finishes later by the time that the pause
// adds.
func (l *emulatedLeaf) pause(duration time.Duration) {
	now := l.simulator.engine.now
	start := max(now, l.pausedUntil)
	l.pausedUntil = max(l.pausedUntil, now+duration)
	for _, work := range l.running {
		work.finishAt += l.pausedUntil - start
	}
}

// stop drops all work and connections, as when the process or the machine is gone.
func (l *emulatedLeaf) stop(liveness leafLiveness) {
	l.liveness = liveness
	for _, work := range l.running {
		work.state = workDone
		l.busyTime += l.simulator.engine.now - work.startedAt
	}
	for _, work := range l.queue {
		work.state = workDone
	}
	l.running, l.queue = nil, nil
	l.connections = 0
}

// restart starts the leaf with a new boot id, cold and with the newest holdings.
func (l *emulatedLeaf) restart() {
	now := l.simulator.engine.now
	model := &l.simulator.config.Deployment.Leaf
	l.liveness = leafUp
	l.boot++
	l.draining, l.leaving = false, false
	l.pausedUntil = now
	l.coldUntil = now + model.ColdDuration
	l.warmAt = l.coldUntil + model.WarmUpDuration
	l.holdings = l.simulator.newestHoldings(l.index)
	l.publishedLoad = l.loadSummary()
}
