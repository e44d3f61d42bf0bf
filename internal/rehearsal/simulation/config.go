package simulation

import (
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/settings"
)

// Time is virtual time since the start of a run.
type Time = dispatch.Time

// Duration is a time.Duration that is written as text, such as "150ms".
type Duration = settings.Duration

// Deployment is the hardware and the services of one site.
type Deployment struct {
	Name  string   `toml:"name" json:"name" validate:"required"`
	Zones []string `toml:"zones" json:"zones" validate:"min=1"`
	// Nodes lists the zone of each node.
	Nodes    []string  `toml:"nodes" json:"nodes" validate:"min=1"`
	Network  Network   `toml:"network" json:"network"`
	Leaf     LeafModel `toml:"leaf" json:"leaf"`
	Services []Service `toml:"services" json:"services" validate:"min=1,dive"`
}

// Network holds one-way delays and what connections cost.
type Network struct {
	WithinZone   Duration `toml:"within_zone" json:"within_zone" validate:"gt=0"`
	BetweenZones Duration `toml:"between_zones" json:"between_zones" validate:"gt=0"`
	// Clients is the one-way delay between a client and any node.
	Clients Duration `toml:"clients" json:"clients" validate:"gt=0"`
	// Jitter is the mean of an exponential addition to each delay between a
	// node and a leaf. Messages of one node to one leaf stay in order.
	Jitter Duration `toml:"jitter" json:"jitter" validate:"gte=0"`
	// ConnectionCost is the time to open a connection.
	ConnectionCost Duration `toml:"connection_cost" json:"connection_cost" validate:"gte=0"`
	// ConnectionsPerNode bounds the connections that a node keeps to a leaf.
	ConnectionsPerNode int `toml:"connections_per_node" json:"connections_per_node" validate:"min=1"`
	// StreamsPerConnection is how many requests a connection carries before
	// the node opens another one.
	StreamsPerConnection int `toml:"streams_per_connection" json:"streams_per_connection" validate:"min=1"`
	// SilenceTimeout is how long a node waits before it gives up a connection
	// to a machine that fell silent; DialTimeout is the same for a new one.
	SilenceTimeout Duration `toml:"silence_timeout" json:"silence_timeout" validate:"gt=0"`
	DialTimeout    Duration `toml:"dial_timeout" json:"dial_timeout" validate:"gt=0"`
}

// LeafModel is how leaves behave, whatever their service.
type LeafModel struct {
	// QueueLimit bounds the requests that wait in a leaf; more are shed.
	QueueLimit int `toml:"queue_limit" json:"queue_limit" validate:"min=1"`
	// PauseEvery and PauseFor are the means of exponential distributions: a
	// leaf stops for garbage collection. Zero turns pauses off.
	PauseEvery Duration `toml:"pause_every" json:"pause_every" validate:"gte=0"`
	PauseFor   Duration `toml:"pause_for" json:"pause_for" validate:"gte=0"`
	// ColdRefuse is how long a restarted leaf refuses work as cold; after
	// that its work takes ColdFactor times as long, falling to 1 over WarmUp.
	ColdRefuse Duration `toml:"cold_refuse" json:"cold_refuse" validate:"gte=0"`
	WarmUp     Duration `toml:"warm_up" json:"warm_up" validate:"gte=0"`
	ColdFactor float64  `toml:"cold_factor" json:"cold_factor" validate:"gte=1"`
	// ReportEvery is how often a node polls a leaf's load; ReportLag is how
	// old the state may be that a leaf reports.
	ReportEvery Duration `toml:"report_every" json:"report_every" validate:"gt=0"`
	ReportLag   Duration `toml:"report_lag" json:"report_lag" validate:"gt=0"`
	// MachineListLag is the delay of the machine list, and CommandLag the
	// longest delay of an operator's command, until a node hears of it.
	MachineListLag Duration `toml:"machine_list_lag" json:"machine_list_lag" validate:"gte=0"`
	CommandLag     Duration `toml:"command_lag" json:"command_lag" validate:"gte=0"`
}

// Service is one service and its leaves.
type Service struct {
	Name        string  `toml:"name" json:"name" validate:"required"`
	Leaves      int     `toml:"leaves" json:"leaves" validate:"min=1"`
	Shards      int     `toml:"shards" json:"shards" validate:"min=1"`
	Replicas    int     `toml:"replicas" json:"replicas" validate:"min=1"`
	Slots       int     `toml:"slots" json:"slots" validate:"min=1"`
	Connections int     `toml:"connections" json:"connections" validate:"min=1"`
	Classes     []Class `toml:"classes" json:"classes" validate:"min=1,dive"`
}

// Kind groups the classes of all services for the report.
type Kind string

// The kinds of classes.
const (
	KindSweep  Kind = "sweep"  // broad, every shard, long
	KindCheck  Kind = "check"  // every shard, short; a person waits
	KindLookup Kind = "lookup" // one shard
	KindOnce   Kind = "once"   // one shard, may not be repeated
)

// Class is one class of queries and its share of the arrivals.
type Class struct {
	Name string `toml:"name" json:"name" validate:"required"`
	Kind Kind   `toml:"kind" json:"kind" validate:"oneof=sweep check lookup once"`
	// Share is the weight of the class among the arrivals of its service.
	Share    float64  `toml:"share" json:"share" validate:"gt=0"`
	Priority int      `toml:"priority" json:"priority" validate:"min=1"`
	Deadline Duration `toml:"deadline" json:"deadline" validate:"gt=0"`
	// MinimumCoverage is what the queries ask for.
	MinimumCoverage float64 `toml:"minimum_coverage" json:"minimum_coverage" validate:"gte=0,lte=1"`
	HedgePercentile float64 `toml:"hedge_percentile" json:"hedge_percentile" validate:"gte=0,lt=1"`
	ExtraLoad       float64 `toml:"extra_load" json:"extra_load" validate:"gte=0,lte=1"`
	// Mean is the mean service time on one shard of the first partition.
	Mean Duration `toml:"mean" json:"mean" validate:"gt=0"`
	// WorkSigma spreads the work between queries and shards, NoiseSigma
	// between two attempts at the same work; both are lognormal.
	WorkSigma  float64 `toml:"work_sigma" json:"work_sigma" validate:"gte=0"`
	NoiseSigma float64 `toml:"noise_sigma" json:"noise_sigma" validate:"gte=0"`
}

// Keyed reports whether a query of the class needs one shard only.
func (c Class) Keyed() bool { return c.Kind == KindLookup || c.Kind == KindOnce }

// catalogClass is the class as the operators would have defined it.
func (c Class) catalogClass(service string) catalog.Class {
	return catalog.Class{
		Name: c.Name, Service: service, Priority: c.Priority,
		Deadline: time.Duration(c.Deadline), Coverage: c.MinimumCoverage,
		HedgePercentile: c.HedgePercentile, ExtraLoad: c.ExtraLoad,
		Repeatable: c.Kind != KindOnce,
	}
}

// Scenario is the load and the faults over the time of a run.
type Scenario struct {
	Name  string `toml:"name" json:"name" validate:"required"`
	Title string `toml:"title" json:"title"`
	// Duration is how long queries arrive; WarmUp is not measured.
	Duration Duration   `toml:"duration" json:"duration" validate:"gt=0"`
	WarmUp   Duration   `toml:"warm_up" json:"warm_up" validate:"gte=0"`
	Load     []LoadStep `toml:"load" json:"load" validate:"min=1,dive"`
	Faults   []Fault    `toml:"faults" json:"faults" validate:"dive"`
	// Phases are windows, by the time at which a query is sent, that are
	// measured apart from the whole.
	Phases []Phase `toml:"phases" json:"phases" validate:"dive"`
	// CancelShare is the share of queries whose client goes away early.
	CancelShare float64 `toml:"cancel_share" json:"cancel_share" validate:"gte=0,lte=1"`
}

// LoadStep sets the offered load from a moment on: 1 is the rate at which the
// mean work would keep all slots busy.
type LoadStep struct {
	At    Duration `toml:"at" json:"at" validate:"gte=0"`
	Level float64  `toml:"level" json:"level" validate:"gte=0"`
}

// Phase is a window of a run.
type Phase struct {
	Name string   `toml:"name" json:"name" validate:"required"`
	From Duration `toml:"from" json:"from" validate:"gte=0"`
	To   Duration `toml:"to" json:"to" validate:"gtfield=From"`
}

// FaultKind says what goes wrong.
type FaultKind string

// The kinds of faults. Leaf, Zone, Node, Factor and Shards of a Fault are used
// as noted; Duration zero means until the end of the run.
const (
	FaultSlow        FaultKind = "slow"         // Leaf works Factor times as long
	FaultPause       FaultKind = "pause"        // Leaf stops for Duration
	FaultCrash       FaultKind = "crash"        // Leaf's process dies, connections reset; back after Duration
	FaultLose        FaultKind = "lose"         // Leaf's machine falls silent; back after Duration
	FaultLoseZone    FaultKind = "lose_zone"    // all leaves and nodes of Zone fall silent; leaves come back
	FaultDrain       FaultKind = "drain"        // Leaf drains by itself; new boot after Duration
	FaultRetire      FaultKind = "retire"       // an operator retires Leaf; added again after Duration
	FaultListLeaving FaultKind = "list_leaving" // the machine list calls Leaf leaving
	FaultLie         FaultKind = "lie"          // Leaf reports that it is idle
	FaultStaleReply  FaultKind = "stale_reply"  // Leaf echoes another snapshot in a share Factor of its replies
	FaultRoll        FaultKind = "roll"         // a new index version spreads over Duration; old ones stay Factor times as long
	FaultRepartition FaultKind = "repartition"  // a new partition of Shards (0: twice as many) spreads over Duration
	FaultFreezeNode  FaultKind = "freeze_node"  // Node stops for Duration
)

// Fault is one entry of a schedule.
type Fault struct {
	Kind     FaultKind `toml:"kind" json:"kind" validate:"oneof=slow pause crash lose lose_zone drain retire list_leaving lie stale_reply roll repartition freeze_node"`
	At       Duration  `toml:"at" json:"at" validate:"gte=0"`
	Duration Duration  `toml:"duration" json:"duration" validate:"gte=0"`
	Leaf     int       `toml:"leaf" json:"leaf" validate:"gte=0"`
	Zone     string    `toml:"zone" json:"zone"`
	Node     int       `toml:"node" json:"node" validate:"gte=0"`
	Factor   float64   `toml:"factor" json:"factor" validate:"gte=0"`
	Shards   int       `toml:"shards" json:"shards" validate:"gte=0"`
}

// Config is everything that a run depends on.
type Config struct {
	Deployment Deployment
	Service    Service
	Scenario   Scenario
	Policy     Policy
	Seed       uint64
}

// leavingBound is how long after the first word of its leaving a leaf may
// still get new work: the longest lag of a command, or two polls of the load,
// with a margin.
const leavingBound = 2 * time.Second

// unansweredLatency stands for the latency of a query without a whole answer.
const unansweredLatency = 60 * time.Second
