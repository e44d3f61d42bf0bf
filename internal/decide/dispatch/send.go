package dispatch

import "github.com/micaplank/micaplank/internal/decide/replica"

// send starts an attempt on a leaf.
func (d *Dispatcher) send(q *query, position int32, l *leafState, cause Cause) {
	basis := d.describeLeaf(q, position, l)
	d.chargeAttempt(q, position, cause)
	if l.canary {
		d.allowances.spend(q.shardAt(int(position)))
	}
	entry := d.addAttempt(q, position, l, cause)
	d.recordSend(l, q.class)
	d.actions = append(d.actions, Send{
		Attempt:   entry.id,
		Query:     q.ID,
		Shard:     entry.shard,
		Leaf:      l.address,
		Zone:      l.zone,
		BootID:    l.listedBoot,
		Snapshot:  q.snapshot,
		Remaining: q.Deadline - d.now,
		Extra:     cause.extra(),
		Cause:     cause,
		Basis:     basis,
	})
}

// addAttempt adds an attempt to the table and to the lists of its shard and its leaf.
func (d *Dispatcher) addAttempt(q *query, position int32, l *leafState, cause Cause) *attempt {
	queue := replica.ExpectedQueueWait(float64(len(l.running))+l.loadReports.estimateOthers(d.now), l.slots)
	shard := &q.shards[position]
	slot, entry := d.attempts.add()
	entry.query = q
	entry.wanted = true
	entry.leaf = l
	entry.snapshot = q.snapshot
	entry.shard = q.shardAt(int(position))
	entry.position = position
	entry.next = shard.firstAttempt
	entry.cause = cause
	entry.sentAt = d.now
	entry.expectedTime = q.class.serviceTime + d.meanWorkAt(l)*queue
	entry.runningIndex = int32(len(l.running))
	l.running = append(l.running, slot)
	shard.firstAttempt = slot
	if shard.status != shardAnswered { // a probe may follow the answer
		shard.status = shardInFlight
	}
	shard.attempts++
	shard.markTried(l)
	q.inFlight++
	q.unresolved++
	return entry
}

// recordSend adds the work of an attempt to the state of its leaf and to the load estimates.
func (d *Dispatcher) recordSend(l *leafState, class *classState) {
	l.probation.lastSent = d.now
	l.warmup.spend(d.now)
	l.sentWork.ensure(class).add(d.now, longTimeConstant, class.serviceTime)
	d.load.sent.add(d.now, shortTimeConstant, class.serviceTime)
	d.recordWork(l, class.serviceTime)
}

// describeLeaf returns the estimates of the leaf at the time of a send.
func (d *Dispatcher) describeLeaf(q *query, position int32, l *leafState) LeafEstimate {
	budget := d.budgetFor(q, position)
	return LeafEstimate{
		InFlight:       len(l.running),
		Limit:          l.limiter.Current(),
		OthersInFlight: l.loadReports.estimateOthers(d.now),
		ReportAge:      d.now - l.loadReports.at,
		Pace:           l.loadReports.pace,
		Slowness:       d.slowness(l),
		Budget:         budget.Tokens(),
	}
}
