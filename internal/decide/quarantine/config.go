package quarantine

import "time"

// RecordTTL is the longest time that a record stays in the store; the shortest time is half of it
// (see lease.Shared). A request is held while its record exists: 5 to 10 minutes.
const RecordTTL = 10 * time.Minute

// Config is the policy of a Table. All fields must be set.
type Config struct {
	// Self names this process.
	Self string
	// MinCrashes is the number of leaves that must crash under a request, which no leaf has
	// answered, before the request is tried on a single leaf.
	MinCrashes int
	// MinTrials is the number of trials that must crash their leaf before the request is held.
	MinTrials int
	// MinOdds is the value of Record.Odds from which the request is held.
	MinOdds float64
	// TrialTimeout is the time after which a trial without a known result no longer counts as
	// running, because its node may be lost.
	TrialTimeout time.Duration
	// TrialPause is the pause after MinTrials trials without an answer. It doubles with each
	// further trial, up to MaxTrialPause.
	TrialPause, MaxTrialPause time.Duration
	// TrialRetryAfter is the time for which a request waits for a running trial, and the
	// Retry-After of the client if the trial is still running then.
	TrialRetryAfter time.Duration
	// HoldDuration is the minimum time for which a request is held.
	HoldDuration time.Duration
	// Retention is the time for which a request that is no longer held is still tried first.
	Retention time.Duration
	// HeartbeatInterval is the interval between two announcements of a leaf.
	HeartbeatInterval time.Duration
	// MaxEntries bounds the requests in the table.
	MaxEntries int
	// ReportBurst is the number of requests that a node may report at once. FleetReportBurst is
	// the same for all nodes together, except that each node may report one request.
	// FleetReportRate is the number of requests that all nodes together may report in a second.
	ReportBurst, FleetReportBurst float64
	FleetReportRate               float64
}

// DefaultConfig returns the policy of a process.
func DefaultConfig(self string) Config {
	return Config{
		Self: self,
		// The setting forward.quarantine_after replaces this value. A request may reach leaves
		// in at most three more attempts once three leaves have crashed.
		MinCrashes: 3,
		// With a single trial, a leaf that crashes for another reason would cause the request to
		// be refused.
		MinTrials: 2,
		// Two trials reach these odds where at most one in ten attempts crashes its leaf
		// regardless of the request, and five trials where one in three does.
		MinOdds:       100,
		TrialTimeout:  5 * time.Second,
		TrialPause:    time.Second,
		MaxTrialPause: 30 * time.Second,
		// Trials with 28 to 220 ms of work end within this time.
		TrialRetryAfter:   250 * time.Millisecond,
		HoldDuration:      RecordTTL / 2,
		Retention:         time.Hour,
		HeartbeatInterval: 1200 * time.Millisecond,
		// 1,024 entries of at most 1.5 KB take 1.5 MB.
		MaxEntries:       1024,
		ReportBurst:      4,
		FleetReportBurst: 400,
		// Ten reports a second are 1/40 of the writes that the smallest supported store handles.
		// Within RecordTTL, after which the store drops them, they amount to 6,000 records of
		// about 300 bytes.
		FleetReportRate: 10,
	}
}
