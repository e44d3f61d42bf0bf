package dissemination

import (
	"math/rand/v2"
	"time"
)

// Config holds the limits of a Core. All durations are of the monotonic clock.
type Config struct {
	// Window is how old a confirmation may be for the node to serve.
	Window time.Duration
	// ExchangeInterval is the time between exchanges with the same peers.
	ExchangeInterval time.Duration
	// StoreInterval is the time between reads of the store by a watcher.
	StoreInterval time.Duration
	// StoreBackoff bounds the time between reads of the store by a node that
	// has no other source, and after failures.
	StoreBackoff time.Duration
	// RetryInterval is the time between attempts of a proposal's next step.
	RetryInterval time.Duration
	// FetchTimeout is when a fetch without an end is given up on.
	FetchTimeout time.Duration
	// WatchersPerZone is how many nodes of a zone watch the store; the same
	// nodes are the roots of the zone's relay tree.
	WatchersPerZone int
	// DirectLimit is the number of members up to which every node exchanges
	// with all voters; beyond it only voters and the roots of zones do.
	DirectLimit int
	// RelayFanout is how many nodes have the same first parent in a relay tree.
	RelayFanout int
	// PushFanout is how many random members a node pushes a new change to.
	PushFanout int
	// TailLength is how many changes are kept for peers that lag.
	TailLength int
	// ReadLimit is how many changes one read of the store returns at most.
	ReadLimit int
	// CheckpointInterval is the number of revisions between checkpoints.
	CheckpointInterval uint64
	// RetainedInStore is how many changes are left in the store at least when
	// older ones are deleted. It must exceed what can be made in two windows.
	RetainedInStore uint64
}

// DefaultConfig returns the defaults.
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

// Options are what a Core is made from.
type Options struct {
	Config Config
	// Self is this node. Its incarnation must be higher than that of any
	// earlier process of the same name; the core raises it if it is not.
	Self Member
	// Random is the source of the core's choices; the core owns it.
	Random *rand.Rand
}

// omissions leaves single safety mechanisms out. Only tests set it, to see
// that the checks notice.
type disabledMechanisms struct {
	recovery     bool // a restarted voter acknowledges at once
	registration bool // a voter recovers without its incarnation registered
	supersession bool // answers of any incarnation of a slot count
	majority     bool // one voter's answer confirms, one voter accepts
	sendTime     bool // a confirmation counts from the arrival of the answer
	secondRound  bool // acceptance after one round of answers
	readBack     bool // an uncertain write is taken as refused
	monotonic    bool // a checkpoint of a lower revision is installed
	voterGuard   bool // voter changes do not wait for their predecessor
	staleWrite   bool // a node writes behind the end of a log however old
}
