package dispatch

import "github.com/micaplank/micaplank/internal/catalog"

// attempt is a request to a leaf, from its Send until the driver reports its end, which may be
// after its Abort.
type attempt struct {
	id           AttemptID
	query        *query
	leaf         *leafState
	snapshot     catalog.Snapshot
	shard        int
	position     int32 // index of the shard in the query
	next         int32 // table slot of the next wanted attempt of the shard
	runningIndex int32 // index in the running attempts of the leaf
	wanted       bool  // false after its Abort
	cause        Cause
	sentAt       Time
	// expectedTime is the time in seconds that the attempt would take on an ordinary leaf with the
	// same queue.
	expectedTime float64
}

// noAttempt is the table slot that stands for the absence of an attempt.
const noAttempt int32 = -1

// An AttemptID holds the table slot in its low bits and a serial number in its high bits, so that
// no ID is used twice.
const attemptSlotBits = 24

// attemptTable holds the attempts whose end has not been reported. Pointers into it are valid until
// the next call of add.
type attemptTable struct {
	slots  []attempt
	free   []int32
	serial uint64
}

func (t *attemptTable) add() (int32, *attempt) {
	var slot int32
	if last := len(t.free) - 1; last >= 0 {
		slot = t.free[last]
		t.free = t.free[:last]
	} else {
		slot = int32(len(t.slots))
		t.slots = append(t.slots, attempt{})
	}
	t.serial++
	entry := &t.slots[slot]
	entry.id = AttemptID(t.serial<<attemptSlotBits | uint64(slot))
	return slot, entry
}

// find returns nil if the end of the attempt has been reported.
func (t *attemptTable) find(id AttemptID) *attempt {
	slot := uint64(id) & (1<<attemptSlotBits - 1)
	if slot >= uint64(len(t.slots)) || t.slots[slot].id != id {
		return nil
	}
	return &t.slots[slot]
}

func (t *attemptTable) remove(entry *attempt) {
	slot := int32(uint64(entry.id) & (1<<attemptSlotBits - 1))
	*entry = attempt{}
	t.free = append(t.free, slot)
}
