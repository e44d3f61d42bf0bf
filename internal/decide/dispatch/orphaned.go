// Rule: attempts at a former incarnation. When the topology lists a leaf with a new boot
// ID, the attempts sent to its former incarnation count as lost, unless they are younger
// than restartLag, which may run at the new one.
//
// Inputs: the boot ID in the topology, the age of each attempt.
//
// Reason: where the connection to the former process is still open, its end is reported
// by the driver. A leaf that crashed behind a network partition reports nothing, and its
// requests would wait until their deadlines.

package dispatch

import (
	"slices"
	"time"
)

// restartLag is the longest time from the restart of a leaf until the topology lists its
// new boot ID: the pause of a watch while much changes is 0.5 s, and the entry and the
// notification of it take less than that. Not measured: the sum of the two, rounded up.
const restartListingDelay = time.Second

// loseFormerAttempts counts the attempts at the former incarnations of the restarted
// leaves as lost.
func (d *Dispatcher) failOrphanedAttempts() {
	restarted := d.fleet.restarted
	d.fleet.restarted = d.fleet.restarted[:0]
	for _, l := range restarted {
		for _, slot := range slices.Clone(l.running) {
			d.failOrphanedAttempt(&d.attempts.slots[slot])
		}
	}
}

// loseFormerAttempt counts one attempt as lost, if its query still waits for it.
func (d *Dispatcher) failOrphanedAttempt(entry *attempt) {
	if !entry.wanted || d.now-entry.sentAt < restartListingDelay {
		return
	}
	lost := *entry
	q := lost.query
	d.abortAttempt(entry)
	q.executed = true
	if q.shards[lost.position].status != shardAnswered {
		d.recordLoss(&lost)
		d.placeDue(&lost)
	}
	d.advance(q)
}
