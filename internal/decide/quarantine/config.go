package quarantine

import "time"

// RecordTTL is how long a record stays in the store at most, and half of it at least (see
// lease.Shared): that is the time for which a request is held. Not measured: chosen as some
// minutes.
const RecordTTL = 10 * time.Minute

// Config is the policy of a Table. All fields must be set.
type Config struct {
	// Self names this process.
	Self string
	// MinCrashes is how many leaves have to crash under a request, which none has
	// answered, before it is tried on one alone.
	MinCrashes int
	// MinTrials is how many trials have to crash their leaf before the request is held.
	MinTrials int
	// MinOdds is what Record.Odds has to reach before the request is held.
	MinOdds float64
	// TrialTime is how long a trial counts as running if no end of it is received: its
	// node may be lost.
	TrialTimeout time.Duration
	// TrialPause is the pause after MinTrials trials without an answer. It doubles with
	// each further one, up to MaxTrialPause.
	TrialPause, MaxTrialPause time.Duration
	// TrialRetryAfter is how long a request waits for a running trial, and the
	// Retry-After of its client if that did not end.
	TrialRetryAfter time.Duration
	// HoldTime is the least time for which a request is held.
	HoldDuration time.Duration
	// Memory is how long a request that is not held any more is still tried first.
	Retention time.Duration
	// Heartbeat is the time between two announcements of a leaf.
	Heartbeat time.Duration
	// MaxEntries bounds the requests that are known at a time.
	MaxEntries int
	// Burst is how many requests a node may report at once, FleetBurst how many all
	// nodes together may, one for each node at least, and Refill how many all nodes
	// together may in a second.
	ReportBurst, FleetReportBurst float64
	FleetReportRate               float64
}

// DefaultConfig returns the policy of a process.
//
// Three crashes (the setting forward.quarantine_after, which replaces it) and the times
// and pauses of trials and holds are not measured: they are chosen because a request may
// reach leaves in three more tries at most once three have crashed. Two trials: with one,
// a leaf that crashes for another reason would have the request refused. With odds of 100,
// two trials are enough where no more than one in ten runs crashes its leaf whatever the
// request, and five where it is one in three. A quarter of a second holds the trials that
// were measured (28 to 220 ms of work). 10 reports a second are a fortieth of the writes
// of the smallest store that the product was run with; in 10 minutes, after which the
// store forgets them, they are 6,000 records of about 300 bytes. 1,024 entries of at most
// 1.5 KB take 1.5 MB.
func DefaultConfig(self string) Config {
	return Config{
		Self:       self,
		MinCrashes: 3, MinTrials: 2, MinOdds: 100,
		TrialTimeout: 5 * time.Second, TrialPause: time.Second, MaxTrialPause: 30 * time.Second,
		TrialRetryAfter: 250 * time.Millisecond,
		HoldDuration:    RecordTTL / 2, Retention: time.Hour, Heartbeat: 1200 * time.Millisecond,
		MaxEntries: 1024, ReportBurst: 4, FleetReportBurst: 400, FleetReportRate: 10,
	}
}
