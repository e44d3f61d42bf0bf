package dispatch

import (
	"github.com/micaplank/micaplank/internal/decide/hedge"
	"github.com/micaplank/micaplank/internal/decide/replica"
)

// send starts an attempt.
func (d *Dispatcher) send(q *query, position int32, l *leafState, why cause) {
	shard := &q.shards[position]
	basis := d.basis(q, position, l)
	d.count(q, position, why)
	if l.canary {
		d.spendAllowance(q.shardAt(int(position)))
	}
	queue := replica.Queue(float64(len(l.running))+l.estimateOthers(d.now), l.slots)
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
	l.lastSent = d.now
	l.warmup.spend(d.now)
	l.sent.at(q.class).add(d.now, longMemory, q.class.base)
	d.throughput.add(d.now, shortMemory, q.class.base)
	shard.first = slot
	if shard.status != shardAnswered { // by another attempt: this one is a probe
		shard.status = shardInFlight
	}
	shard.sends++
	shard.try(l)
	q.inFlight++
	q.unresolved++
	d.learnWork(l, q.class.base)
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
		Cause:     why.public(),
		Basis:     basis,
	})
}

// basis describes a leaf that gets an attempt of a shard.
func (d *Dispatcher) basis(q *query, position int32, l *leafState) Basis {
	budget := d.budgetOf(q, position)
	return Basis{
		InFlight: len(l.running),
		Limit:    l.limiter.Current(),
		Others:   l.estimateOthers(d.now),
		Age:      d.now - l.othersAt,
		Pace:     l.pace,
		Slowness: d.slowness(l),
		Budget:   budget.Tokens(),
	}
}

// meanWorkWeight is the weight of one attempt in the mean work.
const meanWorkWeight = 0.02

// workOf returns the mean work of the attempts that a leaf gets.
func (d *Dispatcher) workOf(l *leafState) float64 {
	if d.config.WorkByLeaf && l.meanWork > 0 {
		return l.meanWork
	}
	return d.meanWork
}

// learnWork takes in the work of one attempt.
func (d *Dispatcher) learnWork(l *leafState, work float64) {
	d.meanWork += meanWorkWeight * (work - d.meanWork)
	if l.meanWork == 0 {
		l.meanWork = work
	}
	l.meanWork += meanWorkWeight * (work - l.meanWork)
}

// budgetOf returns the budget that pays for extra attempts of a shard.
func (d *Dispatcher) budgetOf(q *query, position int32) *hedge.Budget {
	return d.budgetOfShard(q.shardAt(int(position)))
}

// budgetOfShard returns the same by the number of the shard.
func (d *Dispatcher) budgetOfShard(shard int) *hedge.Budget {
	if !d.config.BudgetByShard {
		d.budget.Pass(d.now)
		return &d.budget
	}
	budget, known := d.budgets[shard]
	if !known {
		config := d.config.Budget
		if d.budgetBounds != nil {
			config.Resize(d.budgetBounds(shard))
		}
		created := hedge.NewBudget(config)
		budget = &created
		d.budgets[shard] = budget
	}
	budget.Pass(d.now)
	return budget
}

// count books the attempt with the budget and the counters.
func (d *Dispatcher) count(q *query, position int32, why cause) {
	budget := d.budgetOf(q, position)
	switch why {
	case causeNeeded:
		d.counters.Needed++
		d.earnAllowance(q.shardAt(int(position)))
		budget.Earn(q.Class.ExtraLoad)
	case causeResend:
		d.counters.Resent++
	case causeRetry:
		d.counters.Retries++
		budget.SpendRetry(1)
	case causeRestart:
		d.counters.RestartSends++
		budget.SpendRetry(1)
	case causeHedge:
		d.counters.Hedges++
	case causeProbe:
		d.counters.Probes++
	}
}
