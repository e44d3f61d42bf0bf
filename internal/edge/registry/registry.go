// Package registry holds the leaves as they announce themselves in a store, and builds the topology
// of the Dispatcher from them: which leaves are usable, which are cold, which are canaries of a
// rollout, and which are removed.
//
// It owns the announcements (Table) and the numbers of services (Index): each service is one shard
// of the topology, numbered in the order in which it was first named. It relies on the rules of
// decide/cordon and decide/removal, and on the phases of decide/rollout;
// docs/design/0017-incarnations.md describes restarts of leaves. The package is pure: time is an
// argument, a duration on the node's clock.
package registry

import (
	"cmp"
	"errors"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/decide/cordon"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/decide/removal"
	"github.com/micaplank/micaplank/internal/leaf"
	"github.com/micaplank/micaplank/internal/position"
)

// Leaf is the announcement of a leaf.
type Leaf struct {
	ID string
	// StartedAt is the start time of the leaf's process; zero if the announcement has none. A leaf
	// that restarts under its ID is a new incarnation, which inherits no state.
	StartedAt time.Time
	Service   string
	Address   netip.AddrPort
	Zone      string
	// Version is the version of the leaf's software.
	Version  string
	Slots    int
	Draining bool
	// Cold is how much longer the leaf is slow after its start, as announced.
	Cold time.Duration
	// Created is the position in the store at which the ID was first announced, or this incarnation
	// of it if its start was observed here.
	Created position.Position
	// Written is the position of this announcement.
	Written position.Position
}

// Config is the policy of a Table: how long a leaf stays usable after its announcement has
// vanished.
type Config = removal.Config

// leafEntry is what the Table holds about one ID.
type leafEntry struct {
	Leaf
	// expiresAt is when the leaf is dropped after its announcement has vanished; zero while it is
	// announced.
	expiresAt time.Duration
	// coldUntil is when the leaf is warm, by its announcement or by an assumption.
	coldUntil time.Duration
}

// Table is the set of leaves. It is not safe for concurrent use.
type Table struct {
	index    *Index
	entries  map[string]*leafEntry
	removals removal.Rule
	zones    *cordon.Zones
	stages   map[string]Stage // by service
	// mixedOrders holds the orders under which leaves of another version were seen, by service.
	mixedOrders map[string]uint64
	startTimes  startTimes
	coldTimes   map[string]time.Duration // by service
	revision    uint64
}

// NewTable returns an empty Table that numbers services by index.
func NewTable(config Config, index *Index) *Table {
	return &Table{
		index: index, entries: make(map[string]*leafEntry), removals: removal.NewRule(config),
		zones: cordon.NewZones(), mixedOrders: make(map[string]uint64), startTimes: make(startTimes),
	}
}

// ErrStaleIncarnation means that an announcement belongs to an older incarnation of its leaf, or
// that it has no start time though an earlier announcement had one.
var ErrStaleIncarnation = errors.New("announcement is not of the newest known start of its leaf")

// Set applies an announcement. It returns false for an announcement of an older incarnation, which
// was written late or read from a stale copy. Within an incarnation, a draining leaf stays
// draining, and a leaf that was assumed to be cold until some time stays so, since it may have
// turned cold after it wrote its announcement. The next incarnation inherits neither.
func (t *Table) Set(now time.Duration, announced Leaf) bool {
	if !t.startTimes.recordNewest(now, announced) {
		if announced.StartedAt.IsZero() {
			t.Remove(now, announced.ID) // its previous announcement was overwritten
		}
		return false
	}
	updated := &leafEntry{Leaf: announced}
	current, exists := t.entries[announced.ID]
	restarted := exists && announced.StartedAt.After(current.StartedAt)
	switch {
	case restarted:
		updated.Created = announced.Written
	case exists:
		if announced.Written.Era == current.Written.Era {
			updated.Created = current.Created
		}
		updated.Draining = announced.Draining || current.Draining
		updated.coldUntil = current.coldUntil
	}
	if isNew := !exists || current.Written != announced.Written; isNew && announced.Cold > 0 {
		updated.coldUntil = max(updated.coldUntil, now+announced.Cold)
	}
	t.entries[announced.ID] = updated
	return true
}

// SetColdTimes sets how long the leaves of each service are cold after a start.
func (t *Table) SetColdTimes(times map[string]time.Duration) { t.coldTimes = times }

// Remove applies the removal of an announcement. The leaf may stay usable for some time, by the
// rule of package removal.
func (t *Table) Remove(now time.Duration, id string) {
	entry, exists := t.entries[id]
	if !exists || entry.expiresAt > 0 {
		return
	}
	usedUntil, delayed := t.removals.UsedUntil(now, entry.Draining)
	if !delayed {
		delete(t.entries, id)
		return
	}
	entry.expiresAt = usedUntil
}

// Replace applies the list of all announcements. They may be old: a leaf that was cold when it
// wrote its announcement does not start slowly here, but the bounds on cold leaves apply to it.
func (t *Table) Replace(now time.Duration, announced []Leaf) {
	present := make(map[string]bool, len(announced))
	for _, leaf := range announced {
		if t.Set(now, leaf) {
			t.entries[leaf.ID].Cold = 0
		}
		present[leaf.ID] = t.entries[leaf.ID] != nil
	}
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		if !present[id] {
			t.Remove(now, id)
		}
	}
}

// Announced reports whether an incarnation is announced now. An incarnation whose announcement has
// vanished is not, even while it stays usable.
func (t *Table) Announced(incarnation string) bool {
	entry, exists := t.entries[LeafID(incarnation)]
	return exists && entry.expiresAt == 0 && entry.Incarnation() == incarnation
}

// RecordOutage records that the store was unavailable until now.
func (t *Table) RecordOutage(now time.Duration) { t.removals.RecordOutage(now) }

// Expire drops the leaves whose delayed removal is due, and old start times. It reports whether it
// dropped a leaf, and when it must be called next, on the node's clock; zero for never.
func (t *Table) Expire(now time.Duration) (changed bool, next time.Duration) {
	t.startTimes.expire(now)
	for id, entry := range t.entries {
		switch {
		case entry.expiresAt == 0:
		case entry.expiresAt <= now:
			delete(t.entries, id)
			changed = true
		case next == 0 || entry.expiresAt < next:
			next = entry.expiresAt
		}
	}
	return changed, next
}

// Len returns the number of leaves.
func (t *Table) Len() int { return len(t.entries) }

// Topology returns the leaves of all services that a configuration names. If two leaves announce
// the same address, the one that was created last gets it.
func (t *Table) Topology() dispatch.Topology {
	t.revision++
	t.recordMixedOrders()
	owners := make(map[netip.AddrPort]*leafEntry, len(t.entries))
	for _, entry := range t.entries {
		owner, owned := owners[entry.Address]
		if !owned || cmp.Or(entry.Created.Compare(owner.Created), cmp.Compare(entry.ID, owner.ID)) > 0 {
			owners[entry.Address] = entry
		}
	}
	topology := dispatch.Topology{
		Revision:   t.revision,
		Partitions: []catalog.Partition{{Epoch: Snapshot.Epoch, Shards: t.index.Len()}},
	}
	for _, entry := range owners {
		if shard, exists := t.index.Find(entry.Service); exists {
			topology.Leaves = append(topology.Leaves, t.dispatchLeaf(entry, shard))
		}
	}
	slices.SortFunc(topology.Leaves, func(a, b dispatch.Leaf) int { return a.Address.Compare(b.Address) })
	return topology
}

func (t *Table) dispatchLeaf(entry *leafEntry, shard int) dispatch.Leaf {
	return dispatch.Leaf{
		Address:   entry.Address,
		Zone:      entry.Zone,
		ColdUntil: entry.coldUntil,
		BootID:    entry.Incarnation(),
		Usable:    t.isUsable(entry) && !t.excludedByRollout(entry),
		Canary:    t.isCanary(entry),
		WarmAt:    entry.coldUntil,
		Cold:      entry.Cold > 0,
		Slots:     entry.Slots,
		Holdings: []leaf.Holding{{
			Snapshot: Snapshot,
			Shards:   []int{shard},
		}},
	}
}

// Snapshot is the only snapshot of the topology: a request names its shards itself, all from one
// version of the configuration.
var Snapshot = catalog.Snapshot{Epoch: 1, Version: 1}
