package dispatch

import "github.com/micaplank/micaplank/internal/leaf"

// Reply records the answer of an executed attempt. The answer counts for its shard unless the query
// has finished or the attempt was aborted.
func (d *Dispatcher) Reply(now Time, id AttemptID, reply Reply) []Action {
	d.begin(now)
	ended, ok := d.removeAttempt(id)
	if !ok {
		return d.actions
	}
	d.counters.Replies++
	l, q := ended.leaf, ended.query
	q.executed = true
	switch {
	case !ended.wanted || q.shards[ended.position].status == shardAnswered:
		d.counters.LateReplies++
	case reply.Shard != ended.shard || reply.Snapshot != ended.snapshot:
		d.counters.CrossedReplies++
		d.recordLoss(&ended)
	default:
		d.recordAnswer(&ended)
	}
	d.learnFromReply(&ended, reply)
	d.placeDue(&ended)
	d.advance(q)
	d.dispatchTo(l)
	return d.actions
}

// learnFromReply updates the estimates of the leaf and the class from the duration of an attempt.
func (d *Dispatcher) learnFromReply(ended *attempt, reply Reply) {
	l, q := ended.leaf, ended.query
	latency := d.now - ended.sentAt
	ratio := latency.Seconds() / ended.expectedTime
	l.speed.RecordCompleted(d.now, ratio)
	l.probation.recovering = ratio < d.config.Probation.SlownessThreshold
	l.backoff = backoff{}
	d.setDown(l, false)
	l.recordLatency(latency)
	l.losses.RecordEnd(&d.config.Losses, d.now, false)
	q.class.recordLatency(latency, reply.Waited, ended.expectedTime/q.class.serviceTime)
	l.limiter.RecordSuccess(d.now, len(l.running)+1, reply.Load.Queue)
	d.applyLoadReport(l, reply.BootID, reply.Load, len(l.running))
}

// applyLoadReport records a load report of a leaf and detects restarts and draining.
func (d *Dispatcher) applyLoadReport(l *leafState, boot string, load leaf.LoadSummary, own int) {
	if l.recordBoot(boot) {
		d.resetLeaf(l, load.State == leaf.StateCold)
	}
	if load.Slots > 0 {
		l.loadReports.record(d.now, load, own)
	}
	if load.State == leaf.StateDraining && l.recordDraining(boot) {
		d.rebuildViews()
	}
}

// recordAnswer marks a shard as answered and aborts its other attempts. Probes continue until the
// query ends, because they measure their leaf.
func (d *Dispatcher) recordAnswer(ended *attempt) {
	q := ended.query
	shard := &q.shards[ended.position]
	shard.status = shardAnswered
	shard.answeredBy = ended.id
	q.progress.Answered++
	if ended.cause == CauseHedge || ended.cause == CauseProbe {
		d.counters.HedgesWon++
	}
	for slot := shard.firstAttempt; slot != noAttempt; {
		entry := &d.attempts.slots[slot]
		slot = entry.next
		if entry.cause != CauseProbe {
			d.abortAttempt(entry)
		}
	}
	if _, _, settled := d.settle(q); !settled && shard.group != nil {
		d.probe(q, ended.position, ended.leaf)
	}
}

// Refuse records the proof that an attempt did not execute.
func (d *Dispatcher) Refuse(now Time, id AttemptID, refusal Refusal) []Action {
	d.begin(now)
	ended, ok := d.removeAttempt(id)
	if !ok {
		return d.actions
	}
	d.counters.Refusals++
	l, q := ended.leaf, ended.query
	awaited := ended.wanted && q.shards[ended.position].status != shardAnswered
	if awaited {
		d.recordRefusal(&ended, refusal)
	}
	d.applyLoadReport(l, refusal.BootID, refusal.Load, len(l.running))
	d.setDown(l, false)
	d.learnFromRefusal(&ended, refusal)
	if awaited {
		d.placeDue(&ended)
	}
	d.advance(q)
	d.dispatchTo(l)
	return d.actions
}

// recordRefusal records a refused attempt in its query.
func (d *Dispatcher) recordRefusal(ended *attempt, refusal Refusal) {
	q := ended.query
	shard := &q.shards[ended.position]
	q.findings.lastReason = ReasonRefused
	if refusal.Reason == leaf.RefusedInvalid {
		q.findings.invalid = true
		return
	}
	if refusal.Reason == leaf.RefusedShed {
		d.addPause(q, refusal.RetryAfter)
	}
	shard.resend = true
	shard.unexecutedAttempts++
	shard.chargeNext = d.config.ChargeRefusals
	shard.markDue()
}

// Fail records the end of an attempt without a reply or a refusal.
func (d *Dispatcher) Fail(now Time, id AttemptID, failure Failure) []Action {
	d.begin(now)
	ended, ok := d.removeAttempt(id)
	if !ok {
		return d.actions
	}
	l, q := ended.leaf, ended.query
	ratio := (d.now - ended.sentAt).Seconds() / ended.expectedTime
	if failure.ConnectionClosed {
		q.crashes++
	}
	if failure.Sent {
		d.counters.FailedSent++
		q.executed = true
		if !failure.LostAtRelay && !failure.Rejected {
			l.speed.RecordAbandoned(ratio)
		}
	} else {
		d.counters.FailedUnsent++
	}
	if ended.wanted && failure.countsAgainstLeaf() {
		l.backoff.recordFailure(d.now, d.config.Backoff)
		l.losses.RecordEnd(&d.config.Losses, d.now, true)
		d.setDown(l, failure.ConnectionRefused)
	}
	if ended.wanted && q.shards[ended.position].status != shardAnswered {
		d.recordFailure(&ended, failure)
		d.placeDue(&ended)
	}
	d.advance(q)
	d.endQueriesBlockedBy(l)
	d.dispatchTo(l)
	return d.actions
}

// recordFailure records a failed attempt in its query.
func (d *Dispatcher) recordFailure(ended *attempt, failure Failure) {
	if failure.Sent {
		d.recordLoss(ended)
		return
	}
	q := ended.query
	shard := &q.shards[ended.position]
	q.findings.lastReason = ReasonConnectionLost
	shard.resend = true
	shard.unexecutedAttempts++
	shard.markDue()
}

// recordLoss records an attempt that may have executed and whose answer is lost.
func (d *Dispatcher) recordLoss(ended *attempt) {
	q := ended.query
	shard := &q.shards[ended.position]
	q.findings.lastReason = ReasonConnectionLost
	if !q.Class.Repeatable {
		q.findings.unknown = true
		return
	}
	shard.lostAttempts++
	shard.needsRetry = true
	shard.markDue()
}

// removeAttempt removes an attempt whose end is reported from the tables. It returns false if the
// end was reported before.
func (d *Dispatcher) removeAttempt(id AttemptID) (attempt, bool) {
	entry := d.attempts.find(id)
	if entry == nil {
		d.counters.UnknownAttempts++
		return attempt{}, false
	}
	if entry.wanted {
		d.unlinkAttempt(entry)
	}
	ended := *entry
	ended.query.unresolved--
	l := ended.leaf
	last := len(l.running) - 1
	moved := l.running[last]
	l.running[ended.runningIndex] = moved
	d.attempts.slots[moved].runningIndex = ended.runningIndex
	l.running = l.running[:last]
	l.overdue.at = noTime
	d.attempts.remove(entry)
	return ended, true
}

// unlinkAttempt removes a wanted attempt from the list of its shard.
func (d *Dispatcher) unlinkAttempt(entry *attempt) {
	entry.query.inFlight--
	shard := &entry.query.shards[entry.position]
	link := &shard.firstAttempt
	for d.attempts.slots[*link].id != entry.id {
		link = &d.attempts.slots[*link].next
	}
	*link = entry.next
}

// abortAttempt cancels a wanted attempt. The attempt stays in the tables until its end is reported.
func (d *Dispatcher) abortAttempt(entry *attempt) {
	d.unlinkAttempt(entry)
	entry.wanted = false
	d.counters.Aborts++
	age := (d.now - entry.sentAt).Seconds()
	d.actions = append(d.actions, Abort{Attempt: entry.id, Overdue: age >= d.config.AbortAge*entry.expectedTime})
}
