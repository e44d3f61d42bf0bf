package simulation

import "time"

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
