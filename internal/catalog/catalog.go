// Package catalog defines the operators' configuration as an immutable value.
//
// A Catalog is the result of applying a totally ordered log of changes to the empty catalog. Apply
// is pure and deterministic, so all nodes at the same revision hold the same catalog. The package
// defines the operations that a change can contain and their stored form. It keeps no state.
package catalog

import (
	"net/netip"
	"time"
)

// Snapshot identifies one consistent view of a service's data: an index version within a partition
// epoch. Two replies may be merged only if their snapshots are equal.
type Snapshot struct {
	// Version is the index version. The service's loader counts versions from 1.
	Version uint64 `json:"version"`
	// Epoch is the partition epoch. Epochs start at 1 and increase by one with each repartitioning.
	Epoch uint64 `json:"epoch"`
}

// Less orders snapshots by epoch first, then by index version.
func (s Snapshot) Less(other Snapshot) bool {
	if s.Epoch != other.Epoch {
		return s.Epoch < other.Epoch
	}
	return s.Version < other.Version
}

// Partition is the shard set of one partition epoch.
type Partition struct {
	Epoch uint64 `json:"epoch"`
	// Shards is the number of shards. Shards are numbered from 0 to Shards-1.
	Shards int `json:"shards"`
}

// Leaf is the configuration of one backend of a service.
type Leaf struct {
	Address netip.AddrPort `json:"address"`
	Zone    string         `json:"zone"`
	// Shards lists the shards of the newest partition that the leaf is configured to hold. A leaf
	// reports the shards that it actually holds.
	Shards []int `json:"shards"`
	// AddedAt is the revision of the change that added the leaf. A leaf that was retired and added
	// again has a new AddedAt, which invalidates earlier notices that the leaf is leaving.
	AddedAt uint64 `json:"added_at"`
	// Retiring is set by "retire leaf". A retiring leaf gets no new work, and "remove leaf" removes
	// it from the catalog.
	Retiring bool `json:"retiring,omitempty"`
}

// Class defines the limits and the retry policy of one kind of request on a service.
type Class struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Priority orders waiting requests. Priority 1 is the most urgent.
	Priority int `json:"priority"`
	// Deadline is the maximum duration of a request of this class.
	Deadline time.Duration `json:"deadline"`
	// Coverage is the share of shards, from 0 to 1, that must have replied before the node may
	// answer ahead of the deadline. Below this share the node keeps waiting.
	Coverage float64 `json:"coverage"`
	// HedgePercentile is the quantile of recent latency, from 0 to 1, after which the node may send
	// a second attempt. Zero disables hedging.
	HedgePercentile float64 `json:"hedge_percentile,omitempty"`
	// ExtraLoad is the maximum ratio, from 0 to 1, of extra attempts (hedges and retries) to
	// required attempts.
	ExtraLoad float64 `json:"extra_load,omitempty"`
	// Repeatable reports whether a request may run more than once. Classes declared "once" are not
	// repeatable.
	Repeatable bool `json:"repeatable"`
}

// Service is a sharded data set with its classes, leaves and limits.
type Service struct {
	Name     string `json:"name"`
	Replicas int    `json:"replicas"`
	// KeyColumn is the column whose hash determines the shard of a row. It is empty if every query
	// of the service visits every shard.
	KeyColumn string `json:"key_column,omitempty"`
	// Partitions lists at most RetainedPartitions partitions, the newest last. Older partitions
	// serve queries that run on an older snapshot.
	Partitions []Partition `json:"partitions"`
	Stopped    bool        `json:"stopped,omitempty"`
	// Concurrency limits the concurrent requests of one node to the service. Zero means no limit.
	Concurrency int                     `json:"concurrency,omitempty"`
	Classes     map[string]Class        `json:"classes,omitempty"`
	Leaves      map[netip.AddrPort]Leaf `json:"leaves,omitempty"`
}

// Voter is one named slot of the voting set. A majority of the voting set accepts a change. A
// replacement machine takes the slot of its predecessor.
type Voter struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
}

// Catalog is the whole configuration at one revision. A Catalog returned by Apply is immutable, so
// concurrent readers may share it.
type Catalog struct {
	// Revision is the number of applied changes.
	Revision uint64             `json:"revision"`
	Services map[string]Service `json:"services,omitempty"`
	Voters   map[string]Voter   `json:"voters,omitempty"`
	// VotersRevision is the revision of the newest change to Voters.
	VotersRevision uint64 `json:"voters_revision,omitempty"`
	// Recent lists the last RetainedChanges changes, oldest first. Apply refuses a change whose ID
	// is in this list.
	Recent []AppliedChange `json:"recent,omitempty"`
}

// RetainedPartitions is the maximum number of partitions that a service keeps.
const RetainedPartitions = 3

// RetainedChanges is the maximum number of entries in Catalog.Recent.
const RetainedChanges = 1024

// AppliedChange is the record of a change that Apply accepted.
type AppliedChange struct {
	ID       string    `json:"id"`
	Revision uint64    `json:"revision"`
	Operator string    `json:"operator,omitempty"`
	At       time.Time `json:"at"`
	// Statement is the canonical text of the command, truncated to 1024 bytes.
	Statement string `json:"statement"`
}

// Change is one log entry: a command with its revision, ID, operator and time. The configuration
// store holds the change of revision n under the key of n, which is written only if the key does
// not exist.
type Change struct {
	// Revision is the position in the log. Revisions start at 1 and have no gaps.
	Revision uint64 `json:"revision"`
	// ID is generated by the node that received the command. See ValidChangeID for its form.
	ID       string    `json:"id"`
	Operator string    `json:"operator,omitempty"`
	At       time.Time `json:"at"`
	Command  Command   `json:"command"`
}

// Command is a tagged union in which exactly one field is set. A statement of the command language
// compiles to a Command, and the log stores it.
type Command struct {
	CreateService *CreateService `json:"create_service,omitempty"`
	DropService   *DropService   `json:"drop_service,omitempty"`
	Repartition   *Repartition   `json:"repartition,omitempty"`
	DefineClass   *DefineClass   `json:"define_class,omitempty"`
	DropClass     *DropClass     `json:"drop_class,omitempty"`
	AddLeaf       *AddLeaf       `json:"add_leaf,omitempty"`
	RetireLeaf    *RetireLeaf    `json:"retire_leaf,omitempty"`
	RemoveLeaf    *RemoveLeaf    `json:"remove_leaf,omitempty"`
	LimitService  *LimitService  `json:"limit_service,omitempty"`
	StopService   *StopService   `json:"stop_service,omitempty"`
	StartService  *StartService  `json:"start_service,omitempty"`
	AddVoter      *AddVoter      `json:"add_voter,omitempty"`
	RemoveVoter   *RemoveVoter   `json:"remove_voter,omitempty"`
}

// CreateService creates a service with one partition at epoch 1.
type CreateService struct {
	Name      string `json:"name"`
	Shards    int    `json:"shards"`
	Replicas  int    `json:"replicas"`
	KeyColumn string `json:"key_column,omitempty"`
}

// DropService removes a stopped service that has no leaves.
type DropService struct {
	Name string `json:"name"`
}

// Repartition appends a partition with the next epoch.
type Repartition struct {
	Service string `json:"service"`
	Shards  int    `json:"shards"`
}

// DefineClass creates or replaces a class of a service.
type DefineClass struct {
	Class Class `json:"class"`
}

// DropClass removes a class from a service.
type DropClass struct {
	Service string `json:"service"`
	Name    string `json:"name"`
}

// AddLeaf adds a leaf to a service, updates an active leaf, or reactivates a retiring leaf.
type AddLeaf struct {
	Service string         `json:"service"`
	Address netip.AddrPort `json:"address"`
	Zone    string         `json:"zone"`
	Shards  []int          `json:"shards"`
}

// RetireLeaf marks a leaf as retiring in every service that has it.
type RetireLeaf struct {
	Address netip.AddrPort `json:"address"`
}

// RemoveLeaf removes a retiring leaf from every service that has it.
type RemoveLeaf struct {
	Address netip.AddrPort `json:"address"`
}

// LimitService sets the concurrency limit of a service. Zero removes the limit.
type LimitService struct {
	Service     string `json:"service"`
	Concurrency int    `json:"concurrency"`
}

// StopService makes a service refuse new queries. Running queries finish.
type StopService struct {
	Name string `json:"name"`
}

// StartService makes a stopped service accept queries again.
type StartService struct {
	Name string `json:"name"`
}

// AddVoter adds a slot to the voting set.
type AddVoter struct {
	Voter Voter `json:"voter"`
}

// RemoveVoter removes a slot from the voting set. The last slot cannot be removed.
type RemoveVoter struct {
	Name string `json:"name"`
}
