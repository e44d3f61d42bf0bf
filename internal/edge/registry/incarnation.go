package registry

import (
	"strconv"
	"strings"
	"time"
)

// bornMark stands between the id of a leaf and its start.
const startTimeSeparator = "@"

// Incarnation names one start of the leaf: its id, with the Unix millisecond of the
// start where that is known. All that is learned of a leaf is learned of it.
func (l *Leaf) Incarnation() string {
	born := int64(0)
	if !l.Born.IsZero() {
		born = l.Born.UnixMilli()
	}
	if born == 0 && !strings.Contains(l.ID, startTimeSeparator) {
		return l.ID
	}
	return l.ID + startTimeSeparator + strconv.FormatInt(born, 10)
}

// IDOf returns the id in the name of an incarnation.
func IDOf(incarnation string) string {
	if index := strings.LastIndex(incarnation, startTimeSeparator); index >= 0 {
		return incarnation[:index]
	}
	return incarnation
}

// birthMemory is how long the start of a leaf is remembered whose announcement vanished.
// Not measured: chosen because it is longer than a write can be late, or a copy of the
// store behind.
const startTimeRetention = 10 * time.Minute

// births are the newest starts by the id of the leaf, also of leaves that are gone.
type startTimes map[string]startRecord

type startRecord struct {
	startedAt time.Time
	seenAt    time.Duration
}

// newest reports whether an announcement is of the newest start of its leaf that is known,
// and remembers it. One that does not say of which start it is not, if another did.
func (b startTimes) recordNewest(now time.Duration, announced Leaf) bool {
	newest, exists := b[announced.ID]
	if exists && announced.Born.Before(newest.startedAt) {
		return false
	}
	if !announced.Born.IsZero() {
		b[announced.ID] = startRecord{startedAt: announced.Born, seenAt: now}
	}
	return true
}

// expire forgets the starts that were announced for the last time long ago.
func (b startTimes) expire(now time.Duration) {
	for id, record := range b {
		if now-record.seenAt > startTimeRetention {
			delete(b, id)
		}
	}
}
