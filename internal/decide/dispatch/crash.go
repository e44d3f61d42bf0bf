package dispatch

import (
	"slices"
	"time"
)

// startLag is how much later than its start a leaf is listed anew, at most: the pause
// of a watch while much changes is 0.5 s, and the entry and the news are on their way
// for less than that. An attempt that is younger may run at the new start.
const startLag = time.Second

// loseFormer takes the attempts at the former starts of leaves that were listed anew
// to be lost. Where the process ended in reach, its end of the connection told so; a
// leaf that ended behind a cut says nothing, and its requests would wait until their
// time is over.
func (d *Dispatcher) loseFormer() {
	reborn := d.reborn
	d.reborn = d.reborn[:0]
	for _, l := range reborn {
		for _, slot := range slices.Clone(l.running) {
			d.loseAttempt(&d.attempts.slots[slot])
		}
	}
}

// loseAttempt takes one attempt to be lost with its leaf, if its query still waits.
func (d *Dispatcher) loseAttempt(entry *attempt) {
	if !entry.wanted || d.now-entry.sentAt < startLag {
		return
	}
	lost := *entry
	q := lost.query
	d.abort(entry)
	q.executed = true
	if q.shards[lost.position].status != shardAnswered {
		d.lost(&lost)
		d.placeDue(&lost)
	}
	d.review(q)
}
