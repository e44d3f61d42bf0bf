package dispatch

import (
	"slices"
	"time"
)

// restartLag is how much later than its start a leaf is listed anew, at most: the pause
// of a watch while much changes is 0.5 s, and the entry and the news are on their way
// for less than that. An attempt that is younger may run at the new start.
const restartLag = time.Second

// loseFormerAttempts takes the attempts at the former starts of leaves that were listed anew
// to be lost. Where the process ended in reach, its end of the connection told so; a
// leaf that ended behind a cut says nothing, and its requests would wait until their
// time is over.
func (d *Dispatcher) loseFormerAttempts() {
	restarted := d.restarted
	d.restarted = d.restarted[:0]
	for _, l := range restarted {
		for _, slot := range slices.Clone(l.running) {
			d.loseFormerAttempt(&d.attempts.slots[slot])
		}
	}
}

// loseFormerAttempt takes one attempt to be lost with its leaf, if its query still waits.
func (d *Dispatcher) loseFormerAttempt(entry *attempt) {
	if !entry.wanted || d.now-entry.sentAt < restartLag {
		return
	}
	lost := *entry
	q := lost.query
	d.abort(entry)
	q.executed = true
	if q.shards[lost.position].status != shardAnswered {
		d.attemptLost(&lost)
		d.placeDue(&lost)
	}
	d.review(q)
}
