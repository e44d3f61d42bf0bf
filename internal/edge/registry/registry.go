// Package registry holds the leaves as they announce themselves in a store, and makes the
// topology of the Dispatcher from them: which may get work, which are cold, canaries of a
// roll-out, or gone.
//
// It owns the announcements (Table) and the numbers of services (Index): each service is
// one shard of the topology, numbered in the order in which it was first named. It relies
// on the rules of decide/cordon and decide/removal, and on the phases of decide/rollout;
// docs/design/0017-incarnations.md says what a restart of a leaf does. It is pure: time
// comes in as an argument, a duration on the node's clock.
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
)

// Leaf is one announcement.
type Leaf struct {
	ID string
	// Born is when its process started; zero if the announcement does not say. A leaf
	// may start again under its id: then it is another one, which knows nothing of
	// before.
	Born    time.Time
	Service string
	Address netip.AddrPort
	Zone    string
	// Version is that of its software.
	Version  string
	Slots    int
	Draining bool
	// Cold is how much longer the leaf is slow after its start, as it announced.
	Cold time.Duration
	// Created is the revision at which the id was first announced, or this start of
	// it, if that was seen here.
	Created uint64
	// Revision is that of this announcement.
	Revision uint64
}

// Config is the policy of a Table: for how long a leaf is still used whose announcement
// has vanished.
type Config = removal.Config

// entry is what the Table knows of one id.
type leafEntry struct {
	Leaf
	// goneAt is when the leaf stops being used, after its announcement vanished;
	// zero while it is announced.
	expiresAt time.Duration
	// coldUntil is when the leaf is warm, as it announced or as is assumed.
	coldUntil time.Duration
}

// Table is the set of leaves. It is not safe for concurrent use.
type Table struct {
	index       *Index
	entries     map[string]*leafEntry
	removals    removal.Rule
	zones       *cordon.Zones
	stages      map[string]Stage  // by service
	mixedOrders map[string]uint64 // orders under which another version was seen, by service
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

// ErrFormerStart means that an announcement is of a former start of its leaf, or does
// not say of which, though another did.
var ErrStaleIncarnation = errors.New("announcement is not of the newest start of its leaf")

// Set takes in an announcement, and reports whether it did: one of a former start of
// the leaf, written late or read from a copy that is behind, brings nothing back. A
// leaf that drains stays draining, and one that was taken to be cold until some time
// stays so: it may have turned cold after it wrote its announcement. Nothing of that
// holds for its next start.
func (t *Table) Set(now time.Duration, announced Leaf) bool {
	if !t.startTimes.recordNewest(now, announced) {
		if announced.Born.IsZero() {
			t.Remove(now, announced.ID) // what it announced before was overwritten
		}
		return false
	}
	updated := &leafEntry{Leaf: announced}
	current, exists := t.entries[announced.ID]
	restarted := exists && announced.Born.After(current.Born)
	switch {
	case restarted:
		updated.Created = announced.Revision
	case exists:
		updated.Created = current.Created
		updated.Draining = announced.Draining || current.Draining
		updated.coldUntil = current.coldUntil
	}
	if isNew := !exists || current.Revision != announced.Revision; isNew && announced.Cold > 0 {
		updated.coldUntil = max(updated.coldUntil, now+announced.Cold)
	}
	t.entries[announced.ID] = updated
	return true
}

// SetColdTimes says how long the leaves of each service are cold after a start.
func (t *Table) SetColdTimes(times map[string]time.Duration) { t.coldTimes = times }

// Remove takes in that the announcement of an id has vanished. The leaf may be used for
// a while more, by the rule of package removal.
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

// Replace takes in all announcements there are. They may be old: a leaf that was
// cold then does not start slowly here, but bounds of cold leaves hold for it.
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

// Announced reports whether an incarnation is announced now. One whose announcement has
// vanished is not, though it may still be used for a while.
func (t *Table) Announced(incarnation string) bool {
	entry, exists := t.entries[IDOf(incarnation)]
	return exists && entry.expiresAt == 0 && entry.Incarnation() == incarnation
}

// Outage takes in that the store was away until now.
func (t *Table) RecordOutage(now time.Duration) { t.removals.Outage(now) }

// Expire drops the leaves whose announcements are not doubted to be gone any more, and
// what was remembered of others for long enough. It reports whether it dropped a leaf,
// and when it has to be called next, on the node's clock; zero for never.
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

// Topology returns what the Dispatcher may use: leaves of services that a
// configuration has named. Of two leaves that announce the same address, the one
// created last has it.
func (t *Table) Topology() dispatch.Topology {
	t.revision++
	t.recordMixedOrders()
	owners := make(map[netip.AddrPort]*leafEntry, len(t.entries))
	for _, entry := range t.entries {
		owner, exists := owners[entry.Address]
		if !exists || cmp.Or(cmp.Compare(entry.Created, owner.Created), cmp.Compare(entry.ID, owner.ID)) > 0 {
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
		Usable:    t.usable(entry) && !t.excludedByRollout(entry),
		Canary:    t.canary(entry),
		WarmAt:    entry.coldUntil,
		Cold:      entry.Cold > 0,
		Slots:     entry.Slots,
		Holdings: []leaf.Holding{{
			Snapshot: Snapshot,
			Shards:   []int{shard},
		}},
	}
}

// Snapshot is the only snapshot of the topology: a request names its shards
// itself, all from one version of the configuration.
var Snapshot = catalog.Snapshot{Epoch: 1, Version: 1}
