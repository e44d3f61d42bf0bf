package quarantine

import (
	"strconv"
	"strings"
	"time"
)

// The rule of crashes: an incarnation of a leaf crashes once. A connection that ends before the
// first byte of an answer counts as a crash only if the leaf was running when the attempt was sent.
// An attempt that was sent after this node or another one lost the same incarnation, and before the
// incarnation answered again, is no evidence about its request. If an incarnation answers after a
// loss, its next loss is another crash. While the store is unavailable a node does not learn of
// restarts, so that each loss may belong to a new incarnation and counts.
//
// The rule of survivors: an incarnation that was lost and is still announced has survived once it
// has answered an attempt that was sent after the loss, or once its announcement has outlasted the
// time in which the announcement of a stopped leaf expires. Both need a store that is available,
// and enough time for a restart to become known.
//
// Inputs: the attempts that ended with an answer or with such a loss, and when they were sent and
// lost; the incarnations named in records of other nodes; which incarnations are announced; for how
// long the store has been available.
//
// Reason: a connection reset looks the same as a crash of the leaf. Without these rules, connection
// resets for 2.4 s at the only usable leaf of a service counted as five crashes of one incarnation,
// and the service's requests were held.

const (
	// maxAnnounceDelay is the longest time until a node with access to the store learns of a
	// restart: 2 s until a leaf has written its entry again after an outage, and 1 s until nodes
	// receive the entry.
	maxAnnounceDelay = 3 * time.Second
	// expiryHeartbeats is the number of missed heartbeats after which the announcement of a stopped
	// leaf expires.
	expiryHeartbeats = 3
	// maxIncarnations bounds the tracked incarnations, of about 100 bytes each. It is the number of
	// leaves in the largest supported fleet. Beyond it the oldest loss is dropped.
	maxIncarnations = 19_000
	// ordinalSeparator separates the name of an incarnation from the ordinal of its crash as
	// counted by this node.
	ordinalSeparator = "+"
)

// IncarnationTracker holds what a node observed of leaf incarnations whose connections were lost.
// Times are durations on the node's clock. It is not safe for concurrent use.
type IncarnationTracker struct {
	incarnations map[string]*incarnation
	// storeAvailableSince is when the store last became available. It is valid unless
	// storeUnavailable is set.
	storeAvailableSince time.Duration
	storeUnavailable    bool
}

// incarnation is a leaf incarnation whose connection was lost.
type incarnation struct {
	// lostAt is when a connection was last lost in a way that counts as a crash, or when a record
	// that names the incarnation was received.
	lostAt time.Duration
	// answeredSentAt is the latest send time of an attempt that the incarnation answered after the
	// loss; zero without such an attempt.
	answeredSentAt time.Duration
	// previousCrashes counts the earlier crashes under the same name.
	previousCrashes int
}

// NewIncarnationTracker returns an empty IncarnationTracker.
func NewIncarnationTracker() *IncarnationTracker {
	return &IncarnationTracker{incarnations: make(map[string]*incarnation)}
}

// SetStoreUnavailable records whether the store is unavailable.
func (t *IncarnationTracker) SetStoreUnavailable(now time.Duration, unavailable bool) {
	if t.storeUnavailable && !unavailable {
		t.storeAvailableSince = now
	}
	t.storeUnavailable = unavailable
}

// RecordLoss records an attempt whose connection was lost before the first byte of an answer. It
// returns the identifier of the crash, or false if the loss does not count as a crash.
func (t *IncarnationTracker) RecordLoss(leaf string, sent, lost time.Duration) (string, bool) {
	inc, ok := t.incarnations[leaf]
	switch {
	case !ok:
		inc = t.add(leaf, lost)
	case sent <= inc.lostAt:
		inc.lostAt = min(inc.lostAt, lost)
	case t.storeUnavailable || inc.answeredSentAt > inc.lostAt:
		*inc = incarnation{lostAt: lost, previousCrashes: inc.previousCrashes + 1}
	default:
		return "", false
	}
	return formatCrashID(leaf, inc.previousCrashes), true
}

// add tracks one more incarnation. It drops the oldest loss if the tracker is full.
func (t *IncarnationTracker) add(leaf string, lost time.Duration) *incarnation {
	if len(t.incarnations) >= maxIncarnations {
		oldest := ""
		for name, candidate := range t.incarnations {
			if oldest == "" || candidate.lostAt < t.incarnations[oldest].lostAt {
				oldest = name
			}
		}
		delete(t.incarnations, oldest)
	}
	inc := &incarnation{lostAt: lost}
	t.incarnations[leaf] = inc
	return inc
}

// RecordAnswer records an attempt that an incarnation answered.
func (t *IncarnationTracker) RecordAnswer(leaf string, sent time.Duration) {
	if inc, ok := t.incarnations[leaf]; ok && sent > inc.lostAt {
		inc.answeredSentAt = max(inc.answeredSentAt, sent)
	}
}

// RecordRemoteLoss records a crash that another node reported.
func (t *IncarnationTracker) RecordRemoteLoss(now time.Duration, crashID string) {
	leaf, ordinal := parseCrashID(crashID)
	inc, ok := t.incarnations[leaf]
	if !ok {
		inc = t.add(leaf, now)
	}
	inc.lostAt = max(inc.lostAt, now)
	inc.previousCrashes = max(inc.previousCrashes, ordinal)
}

// HasSurvived reports whether an announced incarnation survived the loss that this node has known
// of since knownSince. heartbeat is the interval between two announcements.
func (t *IncarnationTracker) HasSurvived(now time.Duration, crashID string, knownSince, heartbeat time.Duration) bool {
	if t.storeUnavailable {
		return false
	}
	leaf, _ := parseCrashID(crashID)
	inc, ok := t.incarnations[leaf]
	if ok && inc.answeredSentAt > knownSince && now-max(inc.answeredSentAt, t.storeAvailableSince) >= maxAnnounceDelay {
		return true
	}
	return now-max(knownSince, t.storeAvailableSince) >= expiryHeartbeats*heartbeat+maxAnnounceDelay
}

// Expire drops incarnations whose last loss is older than RecordTTL.
func (t *IncarnationTracker) Expire(now time.Duration) {
	for leaf, inc := range t.incarnations {
		if now-inc.lostAt > RecordTTL {
			delete(t.incarnations, leaf)
		}
	}
}

// formatCrashID returns the identifier of a crash of an incarnation.
func formatCrashID(leaf string, ordinal int) string {
	if ordinal == 0 {
		return leaf
	}
	return leaf + ordinalSeparator + strconv.Itoa(ordinal)
}

// parseCrashID returns the incarnation and the ordinal of a crash.
func parseCrashID(crashID string) (leaf string, ordinal int) {
	separator := strings.LastIndex(crashID, ordinalSeparator)
	if separator < 0 {
		return crashID, 0
	}
	ordinal, err := strconv.Atoi(crashID[separator+len(ordinalSeparator):])
	if err != nil {
		return crashID, 0 // the separator is part of the name
	}
	return crashID[:separator], ordinal
}
