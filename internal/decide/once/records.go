package once

import (
	"slices"

	"github.com/oklog/ulid/v2"
)

// record is the state of an admitted id.
type record[Outcome any] struct {
	finished bool
	outcome  Outcome
}

// bucketWidth is the span of id times that are removed together.
const bucketWidth milliseconds = 1000

// records holds the admitted ids. The ids of each second are in one bucket, so that expired ids are
// found without scanning the others.
type records[Outcome any] struct {
	byID    map[ulid.ULID]*record[Outcome]
	buckets map[milliseconds][]ulid.ULID
}

func newRecords[Outcome any]() records[Outcome] {
	return records[Outcome]{byID: map[ulid.ULID]*record[Outcome]{}, buckets: map[milliseconds][]ulid.ULID{}}
}

func (r *records[Outcome]) length() int { return len(r.byID) }

func (r *records[Outcome]) find(id ulid.ULID) (*record[Outcome], bool) {
	entry, exists := r.byID[id]
	return entry, exists
}

func (r *records[Outcome]) add(id ulid.ULID) {
	r.byID[id] = &record[Outcome]{}
	bucket := timeOf(id) / bucketWidth
	r.buckets[bucket] = append(r.buckets[bucket], id)
}

func (r *records[Outcome]) finish(id ulid.ULID, outcome Outcome) {
	if entry, exists := r.byID[id]; exists && !entry.finished {
		entry.finished = true
		entry.outcome = outcome
	}
}

// release removes an id that is not finished.
func (r *records[Outcome]) release(id ulid.ULID) {
	entry, exists := r.byID[id]
	if !exists || entry.finished {
		return
	}
	delete(r.byID, id)
	bucket := timeOf(id) / bucketWidth
	isReleased := func(candidate ulid.ULID) bool { return candidate == id }
	r.buckets[bucket] = slices.DeleteFunc(r.buckets[bucket], isReleased)
	if len(r.buckets[bucket]) == 0 {
		delete(r.buckets, bucket)
	}
}

// dropBuckets removes the finished ids of the buckets that end at or before the given time, and
// returns the highest time of the removed ids.
func (r *records[Outcome]) dropBuckets(end milliseconds) (highest milliseconds, droppedAny bool) {
	for bucket, ids := range r.buckets {
		if (bucket+1)*bucketWidth > end {
			continue
		}
		var unfinished []ulid.ULID
		for _, id := range ids {
			entry, exists := r.byID[id]
			switch {
			case exists && !entry.finished:
				unfinished = append(unfinished, id)
			case exists:
				delete(r.byID, id)
				highest, droppedAny = max(highest, timeOf(id)), true
			}
		}
		if len(unfinished) > 0 {
			r.buckets[bucket] = unfinished
		} else {
			delete(r.buckets, bucket)
		}
	}
	return highest, droppedAny
}

// oldestBucketStart returns the start of the oldest bucket, or 0 if there is none.
func (r *records[Outcome]) oldestBucketStart() milliseconds {
	oldest, exists := milliseconds(0), false
	for bucket := range r.buckets {
		if start := bucket * bucketWidth; !exists || start < oldest {
			oldest, exists = start, true
		}
	}
	return oldest
}
