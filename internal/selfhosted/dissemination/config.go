package dissemination

import (
	"math/rand/v2"
	"time"
)

// Config holds the limits and intervals of a Core. All durations refer to the monotonic clock.
type Config struct {
	// Window is the maximum age of a confirmation with which the node may serve.
	Window time.Duration
	// ExchangeInterval is the time between exchanges with the same peers.
	ExchangeInterval time.Duration
	// StoreInterval is the time between store reads of a watcher.
	StoreInterval time.Duration
	// StoreBackoff is the maximum time between store reads of a node without another source of
	// confirmations, and after failures.
	StoreBackoff time.Duration
	// RetryInterval is the time between attempts of the next step of a proposal.
	RetryInterval time.Duration
	// FetchTimeout is the time after which an unfinished fetch is abandoned.
	FetchTimeout time.Duration
	// WatchersPerZone is the number of nodes per zone that watch the store. These nodes are also
	// the roots of the zone's relay tree.
	WatchersPerZone int
	// DirectLimit is the number of members up to which every node exchanges with all voters. In a
	// larger cluster only voters and the roots of zones do so.
	DirectLimit int
	// RelayFanout is the number of nodes that have the same first parent in a relay tree.
	RelayFanout int
	// PushFanout is the number of random members to which a node pushes a new change.
	PushFanout int
	// TailLength is the number of recent changes kept for lagging peers.
	TailLength int
	// ReadLimit is the maximum number of changes that one store read returns.
	ReadLimit int
	// CheckpointInterval is the number of revisions between checkpoints.
	CheckpointInterval uint64
	// RetainedInStore is the minimum number of recent changes that remain in the store when older
	// ones are deleted. It must exceed the number of changes that can be made within two windows.
	RetainedInStore uint64
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		Window:             5 * time.Second,
		ExchangeInterval:   500 * time.Millisecond,
		StoreInterval:      time.Second,
		StoreBackoff:       15 * time.Second,
		RetryInterval:      200 * time.Millisecond,
		FetchTimeout:       2 * time.Second,
		WatchersPerZone:    2,
		DirectLimit:        32,
		RelayFanout:        8,
		PushFanout:         4,
		TailLength:         1024,
		ReadLimit:          256,
		CheckpointInterval: 512,
		RetainedInStore:    4096,
	}
}

// Options configures a Core.
type Options struct {
	Config Config
	// Self is this node. Its incarnation should be higher than that of every earlier process of the
	// same name; the core raises it otherwise.
	Self Member
	// Random is the source of the core's random choices. The core takes ownership of it.
	Random *rand.Rand
}

// disabledMechanisms switches individual safety mechanisms off. Only tests set it, to verify that
// their checks detect the violations that each mechanism prevents.
type disabledMechanisms struct {
	recovery     bool // a restarted voter acknowledges immediately
	registration bool // a voter recovers before its incarnation is registered
	supersession bool // responses of any incarnation of a voter count
	majority     bool // a single voter is a quorum
	sendTime     bool // a confirmation counts from the arrival of the response
	secondRound  bool // one round of responses is sufficient for acceptance
	readBack     bool // a write with an unknown outcome is treated as rejected
	monotonic    bool // a checkpoint with a lower revision is installed
	voterGuard   bool // a voter change does not wait until its predecessor is accepted
	staleWrite   bool // a node appends to its log even if the log is outdated
}
