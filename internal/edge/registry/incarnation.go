package registry

import (
	"strconv"
	"strings"
	"time"
)

// bornMark stands between the id of a leaf and its start.
const bornMark = "@"

// Incarnation names one start of the leaf: its id, with the Unix millisecond of the
// start where that is known. All that is learned of a leaf is learned of it.
func (l *Leaf) Incarnation() string {
	born := int64(0)
	if !l.Born.IsZero() {
		born = l.Born.UnixMilli()
	}
	if born == 0 && !strings.Contains(l.ID, bornMark) {
		return l.ID
	}
	return l.ID + bornMark + strconv.FormatInt(born, 10)
}

// IDOf returns the id in the name of an incarnation.
func IDOf(incarnation string) string {
	if at := strings.LastIndex(incarnation, bornMark); at >= 0 {
		return incarnation[:at]
	}
	return incarnation
}

// birthMemory is how long the start of a leaf is remembered whose announcement vanished.
// Not measured: chosen because it is longer than a write can be late, or a copy of the
// store behind.
const birthMemory = 10 * time.Minute

// births are the newest starts by the id of the leaf, also of leaves that are gone.
type births map[string]birth

type birth struct {
	born time.Time
	seen time.Duration
}

// newest reports whether an announcement is of the newest start of its leaf that is known,
// and remembers it. One that does not say of which start it is not, if another did.
func (b births) newest(now time.Duration, announced Leaf) bool {
	known, found := b[announced.ID]
	if found && announced.Born.Before(known.born) {
		return false
	}
	if !announced.Born.IsZero() {
		b[announced.ID] = birth{born: announced.Born, seen: now}
	}
	return true
}

// expire forgets the starts that were announced for the last time long ago.
func (b births) expire(now time.Duration) {
	for id, known := range b {
		if now-known.seen > birthMemory {
			delete(b, id)
		}
	}
}
