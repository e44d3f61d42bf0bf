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
	announceTime = 3 * time.Second
	// lapseHeartbeats is how many heartbeats of silence it takes until the announcement
	// of a leaf that is gone goes.
	lapseHeartbeats = 3
	// maxStarts bounds the starts that were lost: as many as the largest fleet that was
	// planned for has leaves, of some 100 bytes each. Beyond it the oldest loss is
	// forgotten.
	maxStarts = 19_000
	// lifeMark stands between the name of a start and the number of a life that this
	// node told apart under it.
	lifeMark = "+"
)

// Starts is what a node saw of the starts of leaves that were lost. Times are durations on
// the node's clock. It is not safe for concurrent use.
type Starts struct {
	known map[string]*start
	// touchSince is since when the store answers, unless away is set.
	touchSince time.Duration
	away       bool
}

// start is one start of a leaf that was lost.
type start struct {
	// lost is when a connection to it was lost last, of those that count, or when a
	// record was received that names it.
	lost time.Duration
	// answered is when the newest attempt was sent that it answered after that; zero
	// without one.
	answered time.Duration
	// life counts the crashes before under the same name.
	life int
}

// NewStarts returns a Starts that knows of no loss.
func NewStarts() *Starts { return &Starts{known: make(map[string]*start)} }

// SetStoreAway says whether the store does not answer.
func (s *Starts) SetStoreAway(now time.Duration, away bool) {
	if s.away && !away {
		s.touchSince = now
	}
	s.away = away
}

// Lost takes in an attempt at a start whose connection was lost before a byte of its
// answer. It returns the name of the crash; false if it was none.
func (s *Starts) Lost(leaf string, sent, lost time.Duration) (string, bool) {
	known, found := s.known[leaf]
	switch {
	case !found:
		known = s.add(leaf, lost)
	case sent <= known.lost:
		known.lost = min(known.lost, lost)
	case s.away || known.answered > known.lost:
		*known = start{lost: lost, life: known.life + 1}
	default:
		return "", false
	}
	return nameOf(leaf, known.life), true
}

// add makes room for one more start.
func (s *Starts) add(leaf string, lost time.Duration) *start {
	if len(s.known) >= maxStarts {
		oldest := ""
		for name, one := range s.known {
			if oldest == "" || one.lost < s.known[oldest].lost {
				oldest = name
			}
		}
		delete(s.known, oldest)
	}
	added := &start{lost: lost}
	s.known[leaf] = added
	return added
}

// Answered takes in an attempt that a start answered.
func (s *Starts) Answered(leaf string, sent time.Duration) {
	if known, found := s.known[leaf]; found && sent > known.lost {
		known.answered = max(known.answered, sent)
	}
}

// Named takes in that another node lost a start, by the name of the crash.
func (s *Starts) Named(now time.Duration, crash string) {
	leaf, life := leafOf(crash)
	known, found := s.known[leaf]
	if !found {
		known = s.add(leaf, now)
	}
	known.lost = max(known.lost, now)
	known.life = max(known.life, life)
}

// Survived reports whether a start that is announced, and of whose crash this node knows
// since some time, has not crashed. Heartbeat is the time between two announcements.
func (s *Starts) Survived(now time.Duration, crash string, since, heartbeat time.Duration) bool {
	if s.away {
		return false
	}
	leaf, _ := leafOf(crash)
	known, found := s.known[leaf]
	if found && known.answered > since && now-max(known.answered, s.touchSince) >= announceTime {
		return true
	}
	return now-max(since, s.touchSince) >= lapseHeartbeats*heartbeat+announceTime
}

// Expire forgets the starts that were lost long ago.
func (s *Starts) Expire(now time.Duration) {
	for leaf, known := range s.known {
		if now-known.lost > RecordTTL {
			delete(s.known, leaf)
		}
	}
}

// nameOf returns the name of a crash of a start.
func nameOf(leaf string, life int) string {
	if life == 0 {
		return leaf
	}
	return leaf + lifeMark + strconv.Itoa(life)
}

// leafOf returns the start that a crash is of, and the number of its life.
func leafOf(crash string) (leaf string, life int) {
	at := strings.LastIndex(crash, lifeMark)
	if at < 0 {
		return crash, 0
	}
	life, err := strconv.Atoi(crash[at+len(lifeMark):])
	if err != nil {
		return crash, 0 // the mark is a part of the name
	}
	return crash[:at], life
}
