// Package catalog holds the operators' configuration as a value.
//
// A Catalog is the result of applying a totally ordered log of changes, one
// after another, to the empty catalog. Apply is pure and deterministic, so
// every node that holds the same revision holds the same catalog. The package owns
// the operations of a change and their stored form, and relies on no other state.
package catalog

import (
	"net/netip"
	"time"
)

// Snapshot names one consistent view of a service's data: an index version
// within a partition epoch. Two replies may be merged only if their snapshots
// are equal.
type Snapshot struct {
	// Version is the index version, counted from 1 by the service's loader.
	Version uint64 `json:"version"`
	// Epoch is the partition epoch, counted from 1; it grows by one with each
	// repartitioning.
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
	// Shards is the number of shards; they are numbered 0 to Shards-1.
	Shards int `json:"shards"`
}

// Leaf is one back end of a service, as the operators configured it.
type Leaf struct {
	Address netip.AddrPort `json:"address"`
	Zone    string         `json:"zone"`
	// Shards lists the shards of the newest partition that the leaf is
	// configured to hold. What it really holds is learned from its reports.
	Shards []int `json:"shards"`
	// AddedAt is the revision of the change that added the leaf. A leaf that
	// was retired and added again has a new AddedAt, which clears the mark
	// that it is leaving.
	AddedAt uint64 `json:"added_at"`
	// Retiring is set by "retire leaf": no new work; it is removed from the
	// catalog by "remove leaf".
	Retiring bool `json:"retiring,omitempty"`
}

// Class is a kind of request on a service, with its limits.
type Class struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Priority orders waiting requests; 1 is the most urgent.
	Priority int `json:"priority"`
	// Deadline is the longest time that a request of this class may take.
	Deadline time.Duration `json:"deadline"`
	// Coverage is the least share of shards, from 0 to 1, with which an
	// answer may be given before the deadline; below it the node waits on.
	Coverage float64 `json:"coverage"`
	// HedgePercentile is the quantile, from 0 to 1, of recent latency after
	// which a second attempt may be sent. Zero turns hedging off.
	HedgePercentile float64 `json:"hedge_percentile,omitempty"`
	// ExtraLoad is the share of extra attempts (hedges and retries) over the
	// attempts strictly needed that the class may cause, from 0 to 1.
	ExtraLoad float64 `json:"extra_load,omitempty"`
	// Repeatable says whether a request may run more than once. Classes
	// declared "once" are not repeatable.
	Repeatable bool `json:"repeatable"`
}

// Service is a body of sharded data and its rules.
type Service struct {
	Name     string `json:"name"`
	Replicas int    `json:"replicas"`
	// KeyColumn is the column whose hash names the shard of a row; empty if
	// every query of the service visits every shard.
	KeyColumn string `json:"key_column,omitempty"`
	// Partitions lists the newest partition last. Older ones are kept (at
	// most RetainedPartitions) for queries that run on an older snapshot.
	Partitions []Partition `json:"partitions"`
	Stopped    bool        `json:"stopped,omitempty"`
	// Concurrency is the limit of requests that one node runs at once on the
	// service; zero means no limit.
	Concurrency int                     `json:"concurrency,omitempty"`
	Classes     map[string]Class        `json:"classes,omitempty"`
	Leaves      map[netip.AddrPort]Leaf `json:"leaves,omitempty"`
}

// Voter is one named slot of the set over whose majority acceptance is
// counted. A replacement machine takes its predecessor's slot.
type Voter struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
}

// Catalog is the whole configuration at one revision. A Catalog that has been
// returned by Apply is never modified again: readers may share it.
type Catalog struct {
	// Revision is the number of changes applied so far.
	Revision uint64             `json:"revision"`
	Services map[string]Service `json:"services,omitempty"`
	Voters   map[string]Voter   `json:"voters,omitempty"`
	// VotersRevision is the revision of the newest change of Voters.
	VotersRevision uint64 `json:"voters_revision,omitempty"`
	// Recent remembers the ids of the last RetainedChanges changes and the
	// revision at which each took effect.
	Recent []AppliedChange `json:"recent,omitempty"`
}

// RetainedPartitions is how many partitions of a service are kept.
const RetainedPartitions = 3

// RetainedChanges is how many change ids a catalog remembers.
const RetainedChanges = 1024

// AppliedChange records that a change took effect.
type AppliedChange struct {
	ID       string    `json:"id"`
	Revision uint64    `json:"revision"`
	Operator string    `json:"operator,omitempty"`
	At       time.Time `json:"at"`
	// Statement is the canonical text of the command.
	Statement string `json:"statement"`
}

// Change is one entry of the log: a command with its identity. Change number
// n is stored in the key-value service under the key of revision n, created
// only if that key does not exist.
type Change struct {
	// Revision is the place in the log, counted from 1 without gaps.
	Revision uint64 `json:"revision"`
	// ID is a ULID made by the node that took the command.
	ID       string    `json:"id"`
	Operator string    `json:"operator,omitempty"`
	At       time.Time `json:"at"`
	Command  Command   `json:"command"`
}

// Command is a tagged union: exactly one field is set. It is what a statement
// of the command language is compiled to, and what the log stores.
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

// CreateService creates a service with one partition, epoch 1.
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

// AddLeaf adds a leaf to a service, or replaces a retiring one.
type AddLeaf struct {
	Service string         `json:"service"`
	Address netip.AddrPort `json:"address"`
	Zone    string         `json:"zone"`
	Shards  []int          `json:"shards"`
}

// RetireLeaf marks a leaf as leaving in every service that has it.
type RetireLeaf struct {
	Address netip.AddrPort `json:"address"`
}

// RemoveLeaf deletes a retiring leaf from every service that has it.
type RemoveLeaf struct {
	Address netip.AddrPort `json:"address"`
}

// LimitService sets the concurrency limit of a service; zero removes it.
type LimitService struct {
	Service     string `json:"service"`
	Concurrency int    `json:"concurrency"`
}

// StopService stops new queries on a service; running ones finish.
type StopService struct {
	Name string `json:"name"`
}

// StartService lets a stopped service take queries again.
type StartService struct {
	Name string `json:"name"`
}

// AddVoter adds one slot to the voting set.
type AddVoter struct {
	Voter Voter `json:"voter"`
}

// RemoveVoter removes one slot from the voting set; the last one stays.
type RemoveVoter struct {
	Name string `json:"name"`
}
