package leaf

import (
	"slices"
	"sync"

	"github.com/micaplank/micaplank/internal/catalog"
	protocol "github.com/micaplank/micaplank/internal/leaf"
	"github.com/micaplank/micaplank/internal/rows"
)

// holdings tracks the versions, epochs and shards that the leaf holds, with their rows. The leaf
// holds every version in every epoch.
type holdings struct {
	service string
	journal *journal

	mutex      sync.Mutex
	versions   []uint64
	partitions []Partition
	tables     map[tableKey]*shardTable
}

// tableKey identifies a table by snapshot and shard.
type tableKey struct {
	snapshot catalog.Snapshot
	shard    int
}

func newHoldings(config Config, journal *journal) *holdings {
	h := &holdings{service: config.Service, journal: journal, tables: make(map[tableKey]*shardTable)}
	for _, partition := range config.Partitions {
		h.addPartition(partition)
	}
	for _, version := range config.Versions {
		h.addVersion(version)
	}
	return h
}

// lookup returns the rows of a shard at a snapshot, or a refusal if the leaf does not hold it. The
// returned table remains valid if the version is dropped.
func (h *holdings) lookup(snapshot catalog.Snapshot, shard int) (*shardTable, protocol.Refusal) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	partition, exists := h.findPartition(snapshot.Epoch)
	switch {
	case !exists || !slices.Contains(h.versions, snapshot.Version):
		return nil, protocol.RefusedSnapshot
	case !slices.Contains(partition.Hold, shard):
		return nil, protocol.RefusedMoved
	}
	key := tableKey{snapshot: snapshot, shard: shard}
	table, built := h.tables[key]
	if !built {
		table = h.buildTable(key, partition.Shards)
		h.tables[key] = table
	}
	return table, protocol.RefusedNone
}

// buildTable generates the rows of a shard and adds the rows inserted at earlier versions.
func (h *holdings) buildTable(key tableKey, shardCount int) *shardTable {
	table := GenerateRows(h.service, key.snapshot, key.shard, shardCount)
	keyColumn := table.Column(KeyColumn(h.service))
	for _, entry := range h.journal.snapshot() {
		if entry.Version < key.snapshot.Version && ShardOf(entry.Row[keyColumn], shardCount) == key.shard {
			row := slices.Clone(entry.Row)
			row[table.Column("version")] = rows.NewNumber(float64(key.snapshot.Version))
			table.Rows = append(table.Rows, row)
		}
	}
	return &shardTable{rows: table, shard: key.shard, shardCount: shardCount}
}

// invalidateAfter discards the tables of later versions, so that the next lookup rebuilds them with
// the rows inserted at the given version.
func (h *holdings) invalidateAfter(version uint64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for key := range h.tables {
		if key.snapshot.Version > version {
			delete(h.tables, key)
		}
	}
}

func (h *holdings) addVersion(version uint64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !slices.Contains(h.versions, version) {
		h.versions = append(h.versions, version)
		slices.Sort(h.versions)
	}
	for _, partition := range h.partitions {
		h.buildTables(partition, version)
	}
}

// buildTables builds the tables of all shards of a partition, so that the first request does not
// have to wait for them.
func (h *holdings) buildTables(partition Partition, version uint64) {
	for _, shard := range partition.Hold {
		key := tableKey{snapshot: catalog.Snapshot{Version: version, Epoch: partition.Epoch}, shard: shard}
		h.tables[key] = h.buildTable(key, partition.Shards)
	}
}

func (h *holdings) dropVersion(version uint64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.versions = slices.DeleteFunc(h.versions, func(held uint64) bool { return held == version })
	h.dropTables(func(key tableKey) bool { return key.snapshot.Version == version })
}

func (h *holdings) addPartition(partition Partition) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.partitions = slices.DeleteFunc(h.partitions, func(held Partition) bool { return held.Epoch == partition.Epoch })
	h.dropTables(func(key tableKey) bool { return key.snapshot.Epoch == partition.Epoch })
	h.partitions = append(h.partitions, partition)
	for _, version := range h.versions {
		h.buildTables(partition, version)
	}
}

func (h *holdings) dropEpoch(epoch uint64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.partitions = slices.DeleteFunc(h.partitions, func(held Partition) bool { return held.Epoch == epoch })
	h.dropTables(func(key tableKey) bool { return key.snapshot.Epoch == epoch })
}

func (h *holdings) dropTables(match func(tableKey) bool) {
	for key := range h.tables {
		if match(key) {
			delete(h.tables, key)
		}
	}
}

// findPartition returns the partition of an epoch. The caller must hold the mutex.
func (h *holdings) findPartition(epoch uint64) (Partition, bool) {
	for _, partition := range h.partitions {
		if partition.Epoch == epoch {
			return partition, true
		}
	}
	return Partition{}, false
}

// snapshots returns the snapshots and shards that the leaf holds, by partition in order of addition
// and then by version.
func (h *holdings) snapshots() []protocol.Holding {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	held := []protocol.Holding{}
	for _, partition := range h.partitions {
		for _, version := range h.versions {
			held = append(held, protocol.Holding{
				Snapshot: catalog.Snapshot{Version: version, Epoch: partition.Epoch},
				Shards:   slices.Clone(partition.Hold),
			})
		}
	}
	return held
}
