package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

// simulatedRequests are the kinds of requests that a simulator submits. Their deadline, objective
// and hedge delay are relative to the time of the submission.
var simulatedRequests = []Query{
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
		Deadline: 80 * time.Millisecond, HasKey: true, HedgeDelay: 10 * time.Millisecond, MaximumAttempts: 2, MinimumCoverage: 1,
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

// submit submits a random request, or sometimes cancels a recent one.
func (s *simulator) submit() {
	s.submitAt = s.after(s.scenario.arrival)
	if s.lastID > 0 && s.random.IntN(40) == 0 {
		id := s.lastID - QueryID(s.random.IntN(min(int(s.lastID), 8)))
		s.perform(fmt.Sprintf("cancel q%d", id), s.d.Cancel(s.now, id))
		return
	}
	s.lastID++
	request := simulatedRequests[s.random.IntN(len(simulatedRequests))]
	request.ID = s.lastID
	request.KeyHash = s.random.Uint64N(12)
	request.Deadline += s.now
	if request.Objective > 0 {
		request.Objective += s.now
	}
	switch s.random.IntN(60) {
	case 0:
		request.Deadline = s.now
	case 1:
		request.Deadline = s.now + 4*time.Millisecond
	case 2:
		request.HasKey = false
	}
	s.perform(fmt.Sprintf("submit q%d %s", request.ID, request.Class.Name), s.d.Submit(s.now, request))
}

// acceptSend starts an attempt on its leaf and draws how it will end.
func (s *simulator) acceptSend(send Send) {
	index := slices.IndexFunc(s.leaves, func(l *simulatedLeaf) bool { return l.listed.Address == send.Leaf })
	l := s.leaves[index]
	queue := 1 + float64(max(l.running-l.listed.Slots, 0))/float64(l.listed.Slots)
	took := time.Duration((0.5 + s.random.ExpFloat64()/2) * l.slow * queue * float64(simulatedServiceTime))
	entry := &simulatedAttempt{send: send, leaf: l, due: s.now + took + 1}
	drawn := s.random.Float64()
	switch {
	case drawn < s.scenario.refused:
		entry.end, entry.due = endRefused, s.now+time.Millisecond
	case drawn < s.scenario.refused+s.scenario.failed:
		entry.end = endFailed
	case drawn < s.scenario.refused+s.scenario.failed+s.scenario.silent:
		entry.end, entry.due = endSilent, s.now+simulatedSilence
	case drawn > 0.998:
		entry.end = endCrossed
	}
	l.running++
	s.open = append(s.open, entry)
}

// abort makes an attempt end soon; a few attempts answer nevertheless.
func (s *simulator) abort(abort Abort) {
	index := slices.IndexFunc(s.open, func(candidate *simulatedAttempt) bool { return candidate.send.Attempt == abort.Attempt })
	entry := s.open[index]
	entry.aborted = true
	if s.random.IntN(5) > 0 {
		entry.end = endSilent
		entry.due = min(entry.due, s.now+time.Millisecond)
	}
}

// end reports the end of an attempt, and sometimes again the end of one that was reported before.
func (s *simulator) end(entry *simulatedAttempt) {
	s.open = slices.DeleteFunc(s.open, func(candidate *simulatedAttempt) bool { return candidate == entry })
	entry.leaf.running--
	id := entry.send.Attempt
	switch entry.end {
	case endReply, endCrossed:
		s.reply(entry)
	case endRefused:
		s.refuse(entry)
	case endFailed:
		s.fail(entry)
	default:
		failure := Failure{Sent: true, Aborted: entry.aborted}
		s.perform(fmt.Sprintf("fail %x silent", id), s.d.Fail(s.now, id, failure))
	}
	s.done = append(s.done, id)
	if s.random.IntN(200) == 0 {
		id := s.done[s.random.IntN(len(s.done))]
		s.perform(fmt.Sprintf("fail %x again", id), s.d.Fail(s.now, id, Failure{Sent: true}))
	}
}

// bootOf returns the boot ID that the leaf reports, which is sometimes a new one.
func (s *simulator) bootOf(entry *simulatedAttempt) string {
	if s.random.IntN(300) == 0 {
		entry.leaf.boot++
		return fmt.Sprintf("%s-%d", entry.leaf.listed.Address.Addr(), entry.leaf.boot)
	}
	return entry.leaf.listed.BootID
}

func (s *simulator) reply(entry *simulatedAttempt) {
	id := entry.send.Attempt
	reply := Reply{Shard: entry.send.Shard, Snapshot: entry.send.Snapshot, BootID: s.bootOf(entry), Load: s.load(entry.leaf)}
	if entry.end == endCrossed {
		reply.Snapshot.Version++
	}
	s.perform(fmt.Sprintf("reply %x", id), s.d.Reply(s.now, id, reply))
}

func (s *simulator) refuse(entry *simulatedAttempt) {
	id := entry.send.Attempt
	reasons := []leaf.Refusal{leaf.RefusedShed, leaf.RefusedShed, leaf.RefusedShed, leaf.RefusedCold, leaf.RefusedSnapshot, leaf.RefusedMoved, leaf.RefusedLate, leaf.RefusedLate}
	refusal := Refusal{Reason: reasons[s.random.IntN(len(reasons))], BootID: s.bootOf(entry), Load: s.load(entry.leaf)}
	switch s.random.IntN(40) {
	case 0:
		refusal.Reason = leaf.RefusedInvalid
	case 1:
		refusal.Reason = leaf.RefusedDraining
		entry.leaf.draining = true
	}
	if s.random.IntN(2) == 0 {
		refusal.RetryAfter = time.Duration(s.random.IntN(80)) * time.Millisecond
	}
	s.perform(fmt.Sprintf("refuse %x %s", id, refusal.Reason), s.d.Refuse(s.now, id, refusal))
}

func (s *simulator) fail(entry *simulatedAttempt) {
	id := entry.send.Attempt
	failure := Failure{Sent: s.random.IntN(3) > 0, Aborted: entry.aborted}
	if failure.Sent {
		failure.ConnectionClosed = s.random.IntN(2) == 0
		failure.LostAtRelay = !failure.ConnectionClosed && s.random.IntN(3) == 0
	}
	s.perform(fmt.Sprintf("fail %x sent=%t closed=%t", id, failure.Sent, failure.ConnectionClosed), s.d.Fail(s.now, id, failure))
}
