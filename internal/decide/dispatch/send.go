package dispatch

import "github.com/micaplank/micaplank/internal/decide/replica"

// send starts an attempt.
func (d *Dispatcher) send(q *query, position int32, l *leafState, why Cause) {
	basis := d.basis(q, position, l)
	d.count(q, position, why)
	if l.canary {
		d.allowances.spend(q.shardAt(int(position)))
	}
	entry := d.addAttempt(q, position, l, why)
	d.bookAtLeaf(l, q.class)
	d.actions = append(d.actions, Send{
		Attempt:   entry.id,
		Query:     q.ID,
		Shard:     entry.shard,
		Leaf:      l.address,
		Zone:      l.zone,
		BootID:    l.listedBoot,
		Snapshot:  q.snapshot,
		Remaining: q.Deadline - d.now,
		Extra:     why.extra(),
		Cause:     why,
		Basis:     basis,
	})
}

// addAttempt adds an attempt to the table, and to the lists of its shard and its leaf.
func (d *Dispatcher) addAttempt(q *query, position int32, l *leafState, why Cause) *attempt {
	queue := replica.Queue(float64(len(l.running))+l.reports.others(d.now), l.slots)
	shard := &q.shards[position]
	slot, entry := d.attempts.add()
	entry.query = q
	entry.wanted = true
	entry.leaf = l
	entry.snapshot = q.snapshot
	entry.shard = q.shardAt(int(position))
	entry.position = position
	entry.next = shard.first
	entry.cause = why
	entry.sentAt = d.now
	entry.expected = q.class.base + d.workOf(l)*queue
	entry.running = int32(len(l.running))
	l.running = append(l.running, slot)
	shard.first = slot
	if shard.status != shardAnswered { // by another attempt: this one is a probe
		shard.status = shardInFlight
	}
	shard.sends++
	shard.markTried(l)
	q.inFlight++
	q.unresolved++
	return entry
}

// bookAtLeaf books the work of an attempt with its leaf and with the estimates of load.
func (d *Dispatcher) bookAtLeaf(l *leafState, class *classState) {
	l.probation.lastSent = d.now
	l.warmup.spend(d.now)
	l.sent.at(class).add(d.now, longMemory, class.base)
	d.load.sent.add(d.now, shortMemory, class.base)
	d.learnWork(l, class.base)
}

// basis describes a leaf that gets an attempt of a shard.
func (d *Dispatcher) basis(q *query, position int32, l *leafState) Basis {
	budget := d.budgetOf(q, position)
	return Basis{
		InFlight: len(l.running),
		Limit:    l.limiter.Current(),
		Others:   l.reports.others(d.now),
		Age:      d.now - l.reports.at,
		Pace:     l.reports.pace,
		Slowness: d.slowness(l),
		Budget:   budget.Tokens(),
	}
}
