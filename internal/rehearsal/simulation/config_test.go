package simulation

import (
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
)

// Time is virtual time since the start of a run.
type Time = dispatch.Time

// Deployment is the hardware of one site.
type Deployment struct {
	Zones []string
	// Nodes lists the zone of each node.
	Nodes   []string
	Network Network
	Leaf    LeafModel
}

// Network holds one-way delays and what connections cost.
type Network struct {
	IntraZoneDelay time.Duration
	InterZoneDelay time.Duration
	// Clients is the one-way delay between a client and any node.
	ClientDelay time.Duration
	// Jitter is the mean of an exponential addition to each delay between a
	// node and a leaf. Messages of one node to one leaf stay in order.
	MeanJitter time.Duration
	// ConnectionCost is the time to open a connection.
	ConnectionSetupTime time.Duration
	// ConnectionsPerNode bounds the connections that a node keeps to a leaf.
	MaxConnectionsPerLink int
	// StreamsPerConnection is how many requests a connection carries before
	// the node opens another one.
	MaxStreamsPerConnection int
	// SilenceTimeout is how long a node waits before it gives up a connection
	// to a machine that fell silent; DialTimeout is the same for a new one.
	SilenceTimeout time.Duration
	DialTimeout    time.Duration
}

// LeafModel is how leaves behave, whatever their service.
type LeafModel struct {
	// QueueLimit bounds the requests that wait in a leaf; more are shed.
	QueueLimit int
	// PauseEvery and PauseFor are the means of exponential distributions: a
	// leaf stops for garbage collection. Zero turns pauses off.
	MeanPauseInterval time.Duration
	MeanPauseDuration time.Duration
	// ColdRefuse is how long a restarted leaf refuses work as cold; after
	// that its work takes ColdFactor times as long, falling to 1 over WarmUp.
	ColdDuration   time.Duration
	WarmUpDuration time.Duration
	ColdFactor     float64
	// ReportEvery is how often a node polls a leaf's load; ReportLag is how
	// old the state may be that a leaf reports.
	PollInterval time.Duration
	ReportLag    time.Duration
	// MachineListLag is the delay of the machine list, and CommandLag the
	// longest delay of an operator's command, until a node receives it.
	MachineListLag time.Duration
	CommandLag     time.Duration
}

// Service is one service and its leaves.
type Service struct {
	Name                  string
	Leaves                int
	Shards                int
	Replicas              int
	Slots                 int
	MaxConnectionsPerLeaf int
	Classes               []Class
}

// Kind is what a query of a class needs.
type Kind string

// The kinds of classes.
const (
	KindSweep  Kind = "sweep"  // every shard, long
	KindCheck  Kind = "check"  // every shard, short
	KindLookup Kind = "lookup" // one shard
	KindOnce   Kind = "once"   // one shard, may not be repeated
)

// Class is one class of queries and its share of the arrivals.
type Class struct {
	Name string
	Kind Kind
	// Share is the weight of the class among the arrivals of its service.
	Weight   float64
	Priority int
	Deadline time.Duration
	// MinimumCoverage is what the queries ask for.
	MinimumCoverage float64
	HedgePercentile float64
	ExtraLoad       float64
	// Mean is the mean service time on one shard of the first partition.
	MeanServiceTime time.Duration
	// WorkSigma spreads the work between queries and shards, NoiseSigma
	// between two attempts at the same work; both are lognormal.
	WorkSigma  float64
	NoiseSigma float64
}

// Keyed reports whether a query of the class needs one shard only.
func (c Class) Keyed() bool { return c.Kind == KindLookup || c.Kind == KindOnce }

// catalogClass is the class as the operators would have defined it.
func (c Class) catalogClass(service string) catalog.Class {
	return catalog.Class{
		Name: c.Name, Service: service, Priority: c.Priority,
		Deadline: c.Deadline, Coverage: c.MinimumCoverage,
		HedgePercentile: c.HedgePercentile, ExtraLoad: c.ExtraLoad,
		Repeatable: c.Kind != KindOnce,
	}
}

// Scenario is the load and the faults over the time of a run.
type Scenario struct {
	// Duration is how long queries arrive.
	Duration time.Duration
	Load     []LoadStep
	Faults   []Fault
	// CancelShare is the share of queries whose client goes away early.
	CancelRatio float64
}

// LoadStep sets the offered load from a moment on: 1 is the rate at which the
// mean work would keep all slots busy.
type LoadStep struct {
	At    time.Duration
	Level float64
}

// FaultKind says what goes wrong.
type FaultKind string

// The kinds of faults. Leaf, Zone, Node, Factor and Shards of a Fault are used
// as noted; Duration zero means until the end of the run.
const (
	FaultSlow               FaultKind = "slow"         // Leaf works Factor times as long
	FaultPause              FaultKind = "pause"        // Leaf stops for Duration
	FaultCrash              FaultKind = "crash"        // Leaf's process dies, connections reset; back after Duration
	FaultSilence            FaultKind = "lose"         // Leaf's machine falls silent; back after Duration
	FaultSilenceZone        FaultKind = "lose_zone"    // all leaves and nodes of Zone fall silent; leaves come back
	FaultDrain              FaultKind = "drain"        // Leaf drains by itself; new boot after Duration
	FaultRetire             FaultKind = "retire"       // an operator retires Leaf; added again after Duration
	FaultMachineListLeaving FaultKind = "list_leaving" // the machine list calls Leaf leaving
	FaultFalseReport        FaultKind = "lie"          // Leaf reports that it is idle
	FaultStaleReply         FaultKind = "stale_reply"  // Leaf echoes another snapshot in a share Factor of its replies
	FaultRollout            FaultKind = "roll"         // a new index version spreads over Duration; old ones stay Factor times as long
	FaultRepartition        FaultKind = "repartition"  // a new partition of Shards (0: twice as many) spreads over Duration
	FaultFreezeNode         FaultKind = "freeze_node"  // Node stops for Duration
)

// Fault is one entry of a schedule.
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

// Config is everything that a run depends on.
type Config struct {
	Deployment Deployment
	Service    Service
	Scenario   Scenario
	Seed       uint64
	// Wrap, if set, stands between a node and its Dispatcher.
	WrapDecider func(Decider) Decider
}

// leavingBound is how long after the first report of its leaving a leaf may
// still get new work: the longest lag of a command, or two polls of the load,
// with a margin.
const leavingBound = 2 * time.Second
