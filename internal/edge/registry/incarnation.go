package registry

import (
	"strconv"
	"strings"
	"time"
)

// startTimeSeparator stands between the ID of a leaf and its start time.
const startTimeSeparator = "@"

// Incarnation identifies one run of the leaf's process: its ID, followed by the start time in Unix
// milliseconds if that is known. All observations of a leaf are kept per incarnation.
func (l *Leaf) Incarnation() string {
	startMillis := int64(0)
	if !l.StartedAt.IsZero() {
		startMillis = l.StartedAt.UnixMilli()
	}
	if startMillis == 0 && !strings.Contains(l.ID, startTimeSeparator) {
		return l.ID
	}
	return l.ID + startTimeSeparator + strconv.FormatInt(startMillis, 10)
}

// LeafID returns the ID in the name of an incarnation.
func LeafID(incarnation string) string {
	if index := strings.LastIndex(incarnation, startTimeSeparator); index >= 0 {
		return incarnation[:index]
	}
	return incarnation
}

// startTimeRetention is how long the start time of a leaf is kept after its last announcement. It
// is longer than a write can be delayed and than a copy of the store can lag behind.
const startTimeRetention = 10 * time.Minute

// startTimes holds the newest start time by the ID of the leaf, also of leaves that are gone.
type startTimes map[string]startRecord

type startRecord struct {
	startedAt time.Time
	seenAt    time.Duration
}

// recordNewest reports whether an announcement belongs to the newest incarnation of its leaf that
// is known, and records its start time. An announcement without a start time does not belong to it
// if an earlier announcement had one.
func (s startTimes) recordNewest(now time.Duration, announced Leaf) bool {
	newest, exists := s[announced.ID]
	if exists && announced.StartedAt.Before(newest.startedAt) {
		return false
	}
	if !announced.StartedAt.IsZero() {
		s[announced.ID] = startRecord{startedAt: announced.StartedAt, seenAt: now}
	}
	return true
}

// expire drops the start times that were last announced more than startTimeRetention ago.
func (s startTimes) expire(now time.Duration) {
	for id, record := range s {
		if now-record.seenAt > startTimeRetention {
			delete(s, id)
		}
	}
}
