package dispatch

import "github.com/micaplank/micaplank/internal/catalog"

// attempt is one request to one leaf, from its Send until its end is
// reported, also after its Abort.
type attempt struct {
	id           AttemptID
	query        *query
	leaf         *leafState
	snapshot     catalog.Snapshot
	shard        int
	position     int32 // of the shard in the query
	next         int32 // the next attempt of the same shard
	runningIndex int32 // place among the running attempts of the leaf
	wanted       bool  // until its Abort
	cause        Cause
	sentAt       Time
	// expected is the time in seconds that an ordinary leaf with the same
	// queue needs.
	expectedTime float64
}

// none is the index of no attempt.
const noAttempt int32 = -1

// Attempt ids hold the slot in the table in the low bits and a serial number
// in the high bits, so that no id is used twice.
const attemptSlotBits = 24

// attemptTable holds the attempts whose end was not reported yet. Pointers
// into it are valid until the next add.
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

// find returns nil if the end of the attempt was reported already.
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
