package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

// playedRequests are the kinds of requests that a player submits. Their
// deadline, objective and hedge delay count from the submission.
var playedRequests = []Query{
	{
		Class:    catalog.Class{Name: "check", Priority: 1, Deadline: 60 * time.Millisecond, HedgePercentile: 0.9, ExtraLoad: 0.2, Repeatable: true},
		Deadline: 60 * time.Millisecond, Objective: 40 * time.Millisecond, MinimumCoverage: 0.5,
	},
	{
		Class:    catalog.Class{Name: "check", Priority: 1, Deadline: 60 * time.Millisecond, HedgePercentile: 0.9, ExtraLoad: 0.2, Repeatable: true},
		Deadline: 150 * time.Millisecond, Objective: 50 * time.Millisecond, MinimumCoverage: 0.75, HedgeDelay: 12 * time.Millisecond,
	},
	{
		Class:    catalog.Class{Name: "sweep", Priority: 2, Deadline: 250 * time.Millisecond, HedgePercentile: 0.95, ExtraLoad: 0.2, Repeatable: true},
		Deadline: 250 * time.Millisecond, MinimumCoverage: 1,
	},
	{
		Class:    catalog.Class{Name: "look-up", Priority: 1, Deadline: 80 * time.Millisecond, HedgePercentile: 0.9, ExtraLoad: 0.3, Repeatable: true},
		Deadline: 80 * time.Millisecond, HasKey: true, HedgeDelay: 10 * time.Millisecond, MaximumSends: 2, MinimumCoverage: 1,
	},
	{
		Class:    catalog.Class{Name: "file", Priority: 1, Deadline: 100 * time.Millisecond},
		Deadline: 100 * time.Millisecond, HasKey: true, MinimumCoverage: 1,
	},
	{
		Class:    catalog.Class{Name: "list", Priority: 3, Deadline: 120 * time.Millisecond, ExtraLoad: 0.02, Repeatable: true},
		Deadline: 120 * time.Millisecond, Shards: []int{0, 2}, MinimumCoverage: 0.25,
	},
}

func (p *player) submit() {
	p.submitAt = p.after(p.mood.arrival)
	if p.lastID > 0 && p.random.IntN(40) == 0 {
		id := p.lastID - QueryID(p.random.IntN(min(int(p.lastID), 8)))
		p.perform(fmt.Sprintf("cancel q%d", id), p.d.Cancel(p.now, id))
		return
	}
	p.lastID++
	request := playedRequests[p.random.IntN(len(playedRequests))]
	request.ID = p.lastID
	request.KeyHash = p.random.Uint64N(12)
	request.Deadline += p.now
	if request.Objective > 0 {
		request.Objective += p.now
	}
	switch p.random.IntN(60) {
	case 0:
		request.Deadline = p.now
	case 1:
		request.Deadline = p.now + 4*time.Millisecond
	case 2:
		request.HasKey = false
	}
	p.perform(fmt.Sprintf("submit q%d %s", request.ID, request.Class.Name), p.d.Submit(p.now, request))
}

// take gives an attempt to its leaf and draws how it will end.
func (p *player) take(send Send) {
	index := slices.IndexFunc(p.leaves, func(one *playedLeaf) bool { return one.listed.Address == send.Leaf })
	one := p.leaves[index]
	queue := 1 + float64(max(one.running-one.listed.Slots, 0))/float64(one.listed.Slots)
	took := time.Duration((0.5 + p.random.ExpFloat64()/2) * one.slow * queue * float64(playedService))
	entry := &playedAttempt{send: send, leaf: one, due: p.now + took + 1}
	drawn := p.random.Float64()
	switch {
	case drawn < p.mood.refused:
		entry.end, entry.due = endRefused, p.now+time.Millisecond
	case drawn < p.mood.refused+p.mood.failed:
		entry.end = endFailed
	case drawn < p.mood.refused+p.mood.failed+p.mood.silent:
		entry.end, entry.due = endSilent, p.now+playedSilence
	case drawn > 0.998:
		entry.end = endCrossed
	}
	one.running++
	p.open = append(p.open, entry)
}

// abort lets an attempt end soon; a few of them answer all the same.
func (p *player) abort(abort Abort) {
	index := slices.IndexFunc(p.open, func(one *playedAttempt) bool { return one.send.Attempt == abort.Attempt })
	entry := p.open[index]
	entry.aborted = true
	if p.random.IntN(5) > 0 {
		entry.end = endSilent
		entry.due = min(entry.due, p.now+time.Millisecond)
	}
}

// end reports the end of an attempt, and now and then one that was reported.
func (p *player) end(entry *playedAttempt) {
	p.open = slices.DeleteFunc(p.open, func(one *playedAttempt) bool { return one == entry })
	entry.leaf.running--
	id := entry.send.Attempt
	switch entry.end {
	case endReply, endCrossed:
		p.reply(entry)
	case endRefused:
		p.refuse(entry)
	case endFailed:
		p.fail(entry)
	default:
		failure := Failure{Sent: true, Aborted: entry.aborted}
		p.perform(fmt.Sprintf("fail %x silent", id), p.d.Fail(p.now, id, failure))
	}
	p.done = append(p.done, id)
	if p.random.IntN(200) == 0 {
		id := p.done[p.random.IntN(len(p.done))]
		p.perform(fmt.Sprintf("fail %x again", id), p.d.Fail(p.now, id, Failure{Sent: true}))
	}
}

func (p *player) bootOf(entry *playedAttempt) string {
	if p.random.IntN(300) == 0 {
		entry.leaf.boot++
		return fmt.Sprintf("%s-%d", entry.leaf.listed.Address.Addr(), entry.leaf.boot)
	}
	return entry.leaf.listed.BootID
}

func (p *player) reply(entry *playedAttempt) {
	id := entry.send.Attempt
	reply := Reply{Shard: entry.send.Shard, Snapshot: entry.send.Snapshot, BootID: p.bootOf(entry), Load: p.load(entry.leaf)}
	if entry.end == endCrossed {
		reply.Snapshot.Version++
	}
	p.perform(fmt.Sprintf("reply %x", id), p.d.Reply(p.now, id, reply))
}

func (p *player) refuse(entry *playedAttempt) {
	id := entry.send.Attempt
	reasons := []leaf.Refusal{leaf.RefusedShed, leaf.RefusedShed, leaf.RefusedShed, leaf.RefusedCold, leaf.RefusedSnapshot, leaf.RefusedMoved, leaf.RefusedLate, leaf.RefusedLate}
	refusal := Refusal{Reason: reasons[p.random.IntN(len(reasons))], BootID: p.bootOf(entry), Load: p.load(entry.leaf)}
	switch p.random.IntN(40) {
	case 0:
		refusal.Reason = leaf.RefusedInvalid
	case 1:
		refusal.Reason = leaf.RefusedDraining
		entry.leaf.draining = true
	}
	if p.random.IntN(2) == 0 {
		refusal.RetryAfter = time.Duration(p.random.IntN(80)) * time.Millisecond
	}
	p.perform(fmt.Sprintf("refuse %x %s", id, refusal.Reason), p.d.Refuse(p.now, id, refusal))
}

func (p *player) fail(entry *playedAttempt) {
	id := entry.send.Attempt
	failure := Failure{Sent: p.random.IntN(3) > 0, Aborted: entry.aborted}
	if failure.Sent {
		failure.Closed = p.random.IntN(2) == 0
		failure.OnTheWay = !failure.Closed && p.random.IntN(3) == 0
	}
	p.perform(fmt.Sprintf("fail %x sent=%t closed=%t", id, failure.Sent, failure.Closed), p.d.Fail(p.now, id, failure))
}
