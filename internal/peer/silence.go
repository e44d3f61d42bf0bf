package peer

import "time"

const (
	// silenceTimeout is how long calls must have waited without a response until a connection
	// counts as dead. It is shorter than the 0.8 s after which a node that does not respond counts
	// as lost, so that the next request to the node uses a new connection.
	silenceTimeout = 700 * time.Millisecond
	// minimumWait is the shortest wait that is counted. Callers may abandon a call earlier for
	// reasons that do not indicate a dead connection.
	minimumWait = 300 * time.Millisecond
)

// silenceDetector detects a connection that is dead but was not reset. New connections to the same
// peer may work. It is not safe for concurrent use.
type silenceDetector struct {
	// countedUntil is the time up to which waits have been counted, or the time of the last
	// received frame. Concurrent waits count once.
	countedUntil time.Time
	// unanswered is the total time that abandoned calls have waited since the last received frame.
	unanswered time.Duration
}

// frameReceived resets the detector.
func (s *silenceDetector) frameReceived(now time.Time) {
	s.countedUntil, s.unanswered = now, 0
}

// callAbandoned records that a call was abandoned, and reports whether the connection is dead.
func (s *silenceDetector) callAbandoned(startedAt, now time.Time) bool {
	if now.Sub(startedAt) < minimumWait || startedAt.Before(s.countedUntil) && s.unanswered == 0 {
		return false
	}
	if startedAt.Before(s.countedUntil) {
		startedAt = s.countedUntil
	}
	s.unanswered += now.Sub(startedAt)
	s.countedUntil = now
	return s.unanswered >= silenceTimeout
}
