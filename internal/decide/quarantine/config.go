package quarantine

import "time"

// Config is the policy of a Table. All fields must be set.
type Config struct {
	// Self names this process.
	Self string
	// MinEnded is how many leaves have to end under a request, of which none has
	// answered it, before it is tried on one alone.
	MinEnded int
	// MinTrials is how many trials have to end with their leaf before the request is
	// held.
	MinTrials int
	// MinOdds is what Record.Odds has to reach before the request is held.
	MinOdds float64
	// TrialTime is how long a trial is taken to be under way that does not end: its
	// node may be lost.
	TrialTime time.Duration
	// TrialPause is the pause after MinTrials trials without an answer. It doubles with
	// each further one, up to MaxTrialPause.
	TrialPause, MaxTrialPause time.Duration
	// TrialRetryAfter is how long a request waits that meets a trial under way, and
	// when its client may come again if that did not end.
	TrialRetryAfter time.Duration
	// HoldTime is the least time for which a request is held.
	HoldTime time.Duration
	// Memory is how long a request that is not held any more is still tried first.
	Memory time.Duration
	// MaxEntries bounds the requests that are known at a time.
	MaxEntries int
	// Burst is how many requests a node may report at once, FleetBurst how many all
	// nodes together may, one for each node at least, and Refill how many all nodes
	// together may in a second.
	Burst, FleetBurst float64
	Refill            float64
}

// DefaultConfig returns the policy of a process.
//
// Two trials: a leaf that is lost to something else under the one trial would else
// have the request refused. With odds of 100, two trials are enough where no more than
// one in ten runs ends with its leaf by itself, and five where it is one in three.
// A quarter of a second holds the trials that were measured (28 to 220 ms of work).
// 10 reports a second are a fortieth of the writes of the smallest store that the
// product was run with; in 10 minutes, after which the store forgets them, they are
// 6,000 records of about 300 bytes. 1,024 entries of at most 1.5 KB take 1.5 MB.
func DefaultConfig(self string) Config {
	return Config{
		Self:     self,
		MinEnded: 3, MinTrials: 2, MinOdds: 100,
		TrialTime: 5 * time.Second, TrialPause: time.Second, MaxTrialPause: 30 * time.Second,
		TrialRetryAfter: 250 * time.Millisecond,
		HoldTime:        5 * time.Minute, Memory: time.Hour,
		MaxEntries: 1024, Burst: 4, FleetBurst: 400, Refill: 10,
	}
}
