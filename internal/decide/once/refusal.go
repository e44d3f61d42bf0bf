package once

import "time"

// checkRefusal decides whether an unknown id is refused.
func (l *Ledger[Outcome]) checkRefusal(wall time.Time, createdAt milliseconds) (Decision[Outcome], bool) {
	switch {
	case l.suspended:
		return l.newRefusal(ReasonSuspended, true, 0), true
	case createdAt <= l.fence:
		return l.newRefusal(ReasonFenced, true, (l.fence - floorMilliseconds(wall) + 1).duration()), true
	case createdAt <= l.maxDropped:
		return l.newRefusal(ReasonTooOld, true, 0), true
	}
	// No owner has admitted the id: the remaining refusals concern ids that ran nowhere.
	latest := floorMilliseconds(wall.Add(l.config.Skew))
	switch {
	case createdAt <= floorMilliseconds(wall.Add(-l.config.Window)):
		return l.newRefusal(ReasonTooOld, false, 0), true
	case createdAt > latest && !l.config.disabled.futureBound:
		return l.newRefusal(ReasonFuture, false, (createdAt - latest).duration()), true
	case l.isFull(wall):
		return l.newRefusal(ReasonFull, false, l.untilExpiry(wall)), true
	}
	return Decision[Outcome]{}, false
}

func (l *Ledger[Outcome]) newRefusal(reason Reason, mayHaveRun bool, retryAfter time.Duration) Decision[Outcome] {
	if l.config.disabled.mayHaveRunFlag {
		mayHaveRun = false
	}
	return Decision[Outcome]{
		Kind: Refuse, Reason: reason, Ownership: l.ownership,
		MayHaveRun: mayHaveRun, RetryAfter: max(retryAfter, 0),
	}
}

func (l *Ledger[Outcome]) isFull(wall time.Time) bool {
	if l.records.length() < l.config.Capacity {
		return false
	}
	l.dropExpired(wall)
	return l.records.length() >= l.config.Capacity
}

// untilExpiry returns the time until the oldest id is removed, at least one second.
func (l *Ledger[Outcome]) untilExpiry(wall time.Time) time.Duration {
	oldest := l.records.oldestBucketStart()
	return max((oldest - floorMilliseconds(wall.Add(-l.config.Window))).duration(), time.Second)
}
