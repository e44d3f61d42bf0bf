// Package snapshot decides which version of the data a query is pinned to. It is pure.
//
// Rule: the query is pinned to the newest snapshot held by usable leaves that covers all shards
// it needs. If there is none, it is pinned to the newest of those that cover the most.
//
// Inputs: the partitions (shards by epoch), the holdings of each usable leaf, the shards that the
// query needs.
//
// Reason: an answer must come from a single snapshot, and completeness matters more to a caller
// than recency. On a platform without versioned data, the snapshot is constant and held by all
// leaves.
package snapshot

import (
	"slices"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

// View is one snapshot as held by the usable leaves.
type View struct {
	Snapshot catalog.Snapshot
	// Replicas lists, for each shard of the partition of the snapshot's epoch, the indexes of the
	// leaves that hold it. Its length is the number of shards, including those that no leaf holds.
	Replicas [][]int32
	// Covered is the number of shards that at least one leaf holds.
	Covered int
}

// Build returns the views of all snapshots that at least one leaf holds and whose epoch has a
// partition, newest first. holdings lists what each leaf holds; it must be empty for a leaf that
// gets no work.
func Build(partitions []catalog.Partition, holdings [][]leaf.Holding) []View {
	shardCounts := make(map[uint64]int, len(partitions))
	for _, partition := range partitions {
		shardCounts[partition.Epoch] = partition.Shards
	}
	var views []View
	viewIndexes := make(map[catalog.Snapshot]int)
	for index, held := range holdings {
		for _, holding := range held {
			shardCount, hasPartition := shardCounts[holding.Snapshot.Epoch]
			if !hasPartition {
				continue
			}
			viewIndex, exists := viewIndexes[holding.Snapshot]
			if !exists {
				viewIndex = len(views)
				viewIndexes[holding.Snapshot] = viewIndex
				views = append(views, View{Snapshot: holding.Snapshot, Replicas: make([][]int32, shardCount)})
			}
			views[viewIndex].addReplica(int32(index), holding.Shards)
		}
	}
	slices.SortFunc(views, newestFirst)
	return views
}

func newestFirst(a, b View) int {
	switch {
	case b.Snapshot.Less(a.Snapshot):
		return -1
	case a.Snapshot.Less(b.Snapshot):
		return 1
	default:
		return 0
	}
}

func (v *View) addReplica(index int32, shards []int) {
	for _, shard := range shards {
		if shard < 0 || shard >= len(v.Replicas) || slices.Contains(v.Replicas[shard], index) {
			continue
		}
		if len(v.Replicas[shard]) == 0 {
			v.Covered++
		}
		v.Replicas[shard] = append(v.Replicas[shard], index)
	}
}

// Need describes the shards that a query needs: all shards, the shard of a key, or those listed.
type Need struct {
	KeyHash uint64
	HasKey  bool
	Shards  []int
}

// SingleShard returns the only needed shard out of a number of shards, if the query has a key.
func (n Need) SingleShard(shards int) (int, bool) {
	if !n.HasKey || shards == 0 {
		return 0, false
	}
	return int(n.KeyHash % uint64(shards)), true
}

// Covered returns how many of the needed shards of the view are held by a leaf, and how many are
// needed.
func (n Need) Covered(view *View) (covered, needed int) {
	if len(n.Shards) > 0 {
		return n.countCoveredListed(view), len(n.Shards)
	}
	shard, single := n.SingleShard(len(view.Replicas))
	if !single {
		return view.Covered, len(view.Replicas)
	}
	if len(view.Replicas[shard]) > 0 {
		return 1, 1
	}
	return 0, 1
}

func (n Need) countCoveredListed(view *View) int {
	covered := 0
	for _, shard := range n.Shards {
		if shard >= 0 && shard < len(view.Replicas) && len(view.Replicas[shard]) > 0 {
			covered++
		}
	}
	return covered
}

// Pick returns the index of the newest view in which a leaf holds every needed shard. If there is
// none, it returns the newest of the views with the largest share of the needed shards. It returns
// false if no view holds any needed shard. The views must be sorted newest first.
func Pick(views []View, need Need) (int, bool) {
	best, bestShare := -1, 0.0
	for index := range views {
		covered, needed := need.Covered(&views[index])
		if needed == 0 {
			continue
		}
		if covered == needed {
			return index, true
		}
		share := float64(covered) / float64(needed)
		if share > bestShare {
			best, bestShare = index, share
		}
	}
	return best, best >= 0
}
