package peer

import "time"

const (
	// silentAfter is how long calls must have waited without an answer until a
	// connection counts as dead. It is below the time after which a node that
	// answers no question counts as lost (0.8 s), so that the next question goes
	// over a new connection.
	silenceTimeout = 700 * time.Millisecond
	// shortestWait is the least wait that counts: callers give calls up sooner for
	// reasons of their own.
	minimumWait = 300 * time.Millisecond
)

// silence detects a connection that is dead without a reset, while new ones may
// work. It is not safe for concurrent use.
type silenceDetector struct {
	// since is up to when waits are counted, and counted how long they are, since
	// the last frame. Waits at the same time count once.
	countedUntil time.Time
	unanswered   time.Duration
}

// heard records that a frame was received.
func (s *silenceDetector) frameReceived(now time.Time) {
	s.countedUntil, s.unanswered = now, 0
}

// waited records that a call was given up, and reports whether the connection is
// dead.
func (s *silenceDetector) callAbandoned(begun, now time.Time) bool {
	if now.Sub(begun) < minimumWait || begun.Before(s.countedUntil) && s.unanswered == 0 {
		return false
	}
	if begun.Before(s.countedUntil) {
		begun = s.countedUntil
	}
	s.unanswered += now.Sub(begun)
	s.countedUntil = now
	return s.unanswered >= silenceTimeout
}
