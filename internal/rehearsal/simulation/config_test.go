package simulation

import (
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
)

// Time is virtual time since the start of a run.
type Time = dispatch.Time

// Deployment describes the zones, nodes, network and leaf behaviour of one site.
type Deployment struct {
	Zones []string
	// Nodes lists the zone of each node.
	Nodes   []string
	Network Network
	Leaf    LeafModel
}

// Network holds the one-way delays and the connection limits between nodes and leaves.
type Network struct {
	IntraZoneDelay time.Duration
	InterZoneDelay time.Duration
	// ClientDelay is the one-way delay between a client and any node.
	ClientDelay time.Duration
	// MeanJitter is the mean of an exponentially distributed addition to each delay between a node
	// and a leaf. Messages from one node to one leaf stay in order.
	MeanJitter time.Duration
	// ConnectionSetupTime is the additional delay of a request that opens a connection.
	ConnectionSetupTime time.Duration
	// MaxConnectionsPerLink bounds the connections from one node to one leaf.
	MaxConnectionsPerLink int
	// MaxStreamsPerConnection is the number of concurrent requests on a connection above which the
	// node opens another one.
	MaxStreamsPerConnection int
	// SilenceTimeout is how long a node waits before it closes a connection to a machine that
	// stopped responding.
	SilenceTimeout time.Duration
	// DialTimeout is how long a node waits for a new connection to such a machine.
	DialTimeout time.Duration
}

// LeafModel describes the behaviour of all leaves, independent of their service.
type LeafModel struct {
	// QueueLimit bounds the queue of a leaf. Requests beyond it are shed.
	QueueLimit int
	// MeanPauseInterval and MeanPauseDuration are the means of exponential distributions. Pauses
	// model garbage collection; a zero MeanPauseInterval turns them off.
	MeanPauseInterval time.Duration
	MeanPauseDuration time.Duration
	// ColdDuration is how long a restarted leaf refuses work as cold. Work after that takes
	// ColdFactor times as long; the factor falls linearly to 1 over WarmUpDuration.
	ColdDuration   time.Duration
	WarmUpDuration time.Duration
	ColdFactor     float64
	// PollInterval is how often a node polls the load of a leaf.
	PollInterval time.Duration
	// ReportLag is the maximum age of the state that a leaf reports.
	ReportLag time.Duration
	// MachineListLag is the delay until nodes receive a change of the machine list.
	MachineListLag time.Duration
	// CommandLag is the maximum delay until a node receives an operator's command.
	CommandLag time.Duration
}

// Service describes a service, its leaves and its query classes.
type Service struct {
	Name                  string
	Leaves                int
	Shards                int
	Replicas              int
	Slots                 int
	MaxConnectionsPerLeaf int
	Classes               []Class
}

// Kind is the number of shards that a query needs and whether it may be repeated.
type Kind string

// Each class of queries has one of these kinds.
const (
	KindSweep  Kind = "sweep"  // all shards, long-running
	KindCheck  Kind = "check"  // all shards, short
	KindLookup Kind = "lookup" // one shard
	KindOnce   Kind = "once"   // one shard, must not be repeated
)

// Class describes a class of queries.
type Class struct {
	Name string
	Kind Kind
	// Weight is the relative frequency of the class among the arrivals of its service.
	Weight   float64
	Priority int
	Deadline time.Duration
	// MinimumCoverage is the share of shards that an answer must cover.
	MinimumCoverage float64
	HedgePercentile float64
	ExtraLoad       float64
	// MeanServiceTime is the mean service time on one shard of the initial partition.
	MeanServiceTime time.Duration
	// WorkSigma is the sigma of a lognormal factor that differs between queries and shards.
	// NoiseSigma is the sigma of one that differs between attempts at the same work.
	WorkSigma  float64
	NoiseSigma float64
}

// Keyed reports whether a query of the class needs only the shard of its key.
func (c Class) Keyed() bool { return c.Kind == KindLookup || c.Kind == KindOnce }

// catalogClass converts the class to its definition in the catalog.
func (c Class) catalogClass(service string) catalog.Class {
	return catalog.Class{
		Name: c.Name, Service: service, Priority: c.Priority,
		Deadline: c.Deadline, Coverage: c.MinimumCoverage,
		HedgePercentile: c.HedgePercentile, ExtraLoad: c.ExtraLoad,
		Repeatable: c.Kind != KindOnce,
	}
}

// Scenario holds the load and the faults of a run.
type Scenario struct {
	// Duration is how long queries arrive.
	Duration time.Duration
	Load     []LoadStep
	Faults   []Fault
	// CancelRatio is the share of queries whose client cancels before the deadline.
	CancelRatio float64
}

// LoadStep sets the offered load from a point in time on. Level 1 is the rate at which the mean
// work keeps all slots busy.
type LoadStep struct {
	At    time.Duration
	Level float64
}

// FaultKind is the kind of an injected fault.
type FaultKind string

// Each kind uses the fields of Fault that its comment names. A zero Duration means until the end
// of the run.
const (
	// FaultSlow: work on Leaf takes Factor times as long.
	FaultSlow FaultKind = "slow"
	// FaultPause: Leaf pauses for Duration.
	FaultPause FaultKind = "pause"
	// FaultCrash: the process of Leaf dies and its connections are reset; it restarts after
	// Duration.
	FaultCrash FaultKind = "crash"
	// FaultSilence: the machine of Leaf stops responding; it restarts after Duration.
	FaultSilence FaultKind = "silence"
	// FaultSilenceZone: all leaves and nodes of Zone stop responding; the leaves restart after
	// Duration.
	FaultSilenceZone FaultKind = "silence_zone"
	// FaultDrain: Leaf starts to drain; it restarts after Duration.
	FaultDrain FaultKind = "drain"
	// FaultRetire: an operator retires Leaf and adds it again after Duration.
	FaultRetire FaultKind = "retire"
	// FaultMachineListLeaving: the machine list reports Leaf as leaving.
	FaultMachineListLeaving FaultKind = "machine_list_leaving"
	// FaultFalseReport: Leaf reports that it is idle for Duration.
	FaultFalseReport FaultKind = "false_report"
	// FaultStaleReply: Leaf reports another snapshot in a share Factor of its replies.
	FaultStaleReply FaultKind = "stale_reply"
	// FaultRollout: leaves load a new index version over Duration; they keep old ones up to
	// 1+Factor times as long.
	FaultRollout FaultKind = "rollout"
	// FaultRepartition: leaves load a new partition with Shards shards (0: twice as many as before)
	// over Duration.
	FaultRepartition FaultKind = "repartition"
	// FaultFreezeNode: Node is frozen for Duration.
	FaultFreezeNode FaultKind = "freeze_node"
)

// Fault is a fault that starts at a fixed point in virtual time.
type Fault struct {
	Kind     FaultKind
	At       time.Duration
	Duration time.Duration
	Leaf     int
	Zone     string
	Node     int
	Factor   float64
	Shards   int
}

// Config holds all inputs of a run.
type Config struct {
	Deployment Deployment
	Service    Service
	Scenario   Scenario
	Seed       uint64
	// WrapDecider, if set, wraps the Dispatcher of each node.
	WrapDecider func(Decider) Decider
}

// leavingBound is how long a leaf may receive new work after the first source reported it as
// leaving. It covers the maximum lag of a command, or two polls of the load, with a margin.
const leavingBound = 2 * time.Second
