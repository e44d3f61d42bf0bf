// Rule: orphaned attempts. When the topology lists a leaf with a new boot ID, the attempts sent to
// its previous incarnation count as lost. Attempts younger than restartListingDelay are kept,
// because they may run on the new incarnation.
//
// Inputs: the boot ID in the topology, the age of each attempt.
//
// Reason: if the connection to the previous process is still open, the driver reports its end. A
// leaf that crashed behind a network partition reports nothing, and its queries would otherwise
// wait until their deadlines.

package dispatch

import (
	"slices"
	"time"
)

// restartListingDelay is the maximum time from the restart of a leaf until the topology lists its
// new boot ID. It is the sum of the pause of a store watch under many changes (0.5 s) and the time
// of the entry and its notification, which is shorter, rounded up.
const restartListingDelay = time.Second

// failOrphanedAttempts counts the attempts at previous incarnations of the restarted leaves as
// lost.
func (d *Dispatcher) failOrphanedAttempts() {
	restarted := d.fleet.restarted
	d.fleet.restarted = d.fleet.restarted[:0]
	for _, l := range restarted {
		for _, slot := range slices.Clone(l.running) {
			d.failOrphanedAttempt(&d.attempts.slots[slot])
		}
	}
}

// failOrphanedAttempt counts the attempt as lost if its query still waits for it.
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
