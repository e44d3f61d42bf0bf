package quarantine

import (
	"strconv"
	"strings"
	"time"
)

// The rule of crashes: a start of a leaf crashes once. A connection that ends before a
// byte of an answer is the end of its leaf only if the leaf was there when the attempt was
// sent: one that was sent after this node or another had lost the same start, and before
// it answered again, says nothing of its request. Where a start answers after it was lost,
// the next loss is another crash. While the store is away a node does not hear of
// restarts, so that each loss may be that of another start.
//
// The rule of survivors: a start that was lost, and is still announced, has not crashed
// once it has answered an attempt that was sent later, or once its announcement has
// outlasted the time in which that of a leaf which is gone lapses; both while the store
// answers, and late enough for a restart to be known as one.
//
// Inputs: attempts that ended with an answer or with such a loss, when they were sent and
// lost; the starts that records of other nodes name; which starts are announced; for how
// long the store has answered.
//
// Reason: connections that are reset look as those of a leaf that crashes. Without the
// rules the requests at the only usable leaf of a service were held after its connections
// had been reset for 2.4 s: five losses of one start counted as five crashes, and 0.68 and
// 0.73 of the requests were served in the end in two of three plays of a soak.

const (
	// announceTime is how long a restart takes at most to be known to a node that is in
	// touch with the store: two seconds until a leaf has written its entry again after an
	// outage, and one until nodes have it.
	maxAnnounceDelay = 3 * time.Second
	// lapseHeartbeats is how many heartbeats of silence it takes until the announcement
	// of a leaf that is gone goes.
	expiryHeartbeats = 3
	// maxStarts bounds the starts that were lost: as many as the largest fleet that was
	// planned for has leaves, of some 100 bytes each. Beyond it the oldest loss is
	// forgotten.
	maxIncarnations = 19_000
	// lifeMark stands between the name of a start and the number of a life that this
	// node told apart under it.
	ordinalSeparator = "+"
)

// Starts is what a node saw of the starts of leaves that were lost. Times are durations on
// the node's clock. It is not safe for concurrent use.
type IncarnationTracker struct {
	incarnations map[string]*incarnation
	// touchSince is since when the store answers, unless away is set.
	storeAvailableSince time.Duration
	storeUnavailable    bool
}

// start is one start of a leaf that was lost.
type incarnation struct {
	// lost is when a connection to it was lost last, of those that count, or when a
	// record was received that names it.
	lostAt time.Duration
	// answered is when the newest attempt was sent that it answered after that; zero
	// without one.
	answeredSentAt time.Duration
	// life counts the crashes before under the same name.
	previousCrashes int
}

// NewStarts returns a Starts that knows of no loss.
func NewIncarnationTracker() *IncarnationTracker {
	return &IncarnationTracker{incarnations: make(map[string]*incarnation)}
}

// SetStoreAway says whether the store does not answer.
func (t *IncarnationTracker) SetStoreUnavailable(now time.Duration, unavailable bool) {
	if t.storeUnavailable && !unavailable {
		t.storeAvailableSince = now
	}
	t.storeUnavailable = unavailable
}

// Lost takes in an attempt at a start whose connection was lost before a byte of its
// answer. It returns the name of the crash; false if it was none.
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

// add makes room for one more start.
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

// Answered takes in an attempt that a start answered.
func (t *IncarnationTracker) RecordAnswer(leaf string, sent time.Duration) {
	if inc, ok := t.incarnations[leaf]; ok && sent > inc.lostAt {
		inc.answeredSentAt = max(inc.answeredSentAt, sent)
	}
}

// Named takes in that another node lost a start, by the name of the crash.
func (t *IncarnationTracker) RecordRemoteLoss(now time.Duration, crashID string) {
	leaf, ordinal := parseCrashID(crashID)
	inc, ok := t.incarnations[leaf]
	if !ok {
		inc = t.add(leaf, now)
	}
	inc.lostAt = max(inc.lostAt, now)
	inc.previousCrashes = max(inc.previousCrashes, ordinal)
}

// Survived reports whether a start that is announced, and of whose crash this node knows
// since some time, has not crashed. Heartbeat is the time between two announcements.
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

// Expire forgets the starts that were lost long ago.
func (t *IncarnationTracker) Expire(now time.Duration) {
	for leaf, inc := range t.incarnations {
		if now-inc.lostAt > RecordTTL {
			delete(t.incarnations, leaf)
		}
	}
}

// nameOf returns the name of a crash of a start.
func formatCrashID(leaf string, ordinal int) string {
	if ordinal == 0 {
		return leaf
	}
	return leaf + ordinalSeparator + strconv.Itoa(ordinal)
}

// leafOf returns the start that a crash is of, and the number of its life.
func parseCrashID(crashID string) (leaf string, ordinal int) {
	separator := strings.LastIndex(crashID, ordinalSeparator)
	if separator < 0 {
		return crashID, 0
	}
	ordinal, err := strconv.Atoi(crashID[separator+len(ordinalSeparator):])
	if err != nil {
		return crashID, 0 // the mark is a part of the name
	}
	return crashID[:separator], ordinal
}
