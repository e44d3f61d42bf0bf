package snapshot

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

func drawHoldings(t *rapid.T) [][]leaf.Holding {
	holding := rapid.Custom(func(t *rapid.T) leaf.Holding {
		return leaf.Holding{
			Snapshot: catalog.Snapshot{Epoch: rapid.Uint64Range(1, 3).Draw(t, "epoch"), Version: rapid.Uint64Range(1, 3).Draw(t, "version")},
			Shards:   rapid.SliceOfN(rapid.IntRange(-1, 4), 0, 5).Draw(t, "shards"),
		}
	})
	return rapid.SliceOfN(rapid.SliceOfN(holding, 0, 3), 0, 5).Draw(t, "holdings")
}

// countCovered counts, from the definition, the needed shards that some leaf holds.
func countCovered(holdings [][]leaf.Holding, snapshot catalog.Snapshot, shards int, need Need) (count, needed int) {
	for shard := range shards {
		if only, single := need.SingleShard(shards); single && only != shard {
			continue
		}
		needed++
		if countHolders(holdings, snapshot, shard) > 0 {
			count++
		}
	}
	return count, needed
}

func countHolders(holdings [][]leaf.Holding, snapshot catalog.Snapshot, shard int) int {
	count := 0
	for _, held := range holdings {
		holds := false
		for _, holding := range held {
			for _, heldShard := range holding.Shards {
				holds = holds || holding.Snapshot == snapshot && heldShard == shard
			}
		}
		if holds {
			count++
		}
	}
	return count
}

func TestPickMatchesDefinition(t *testing.T) {
	// Epoch 3 has no partition.
	partitions := []catalog.Partition{{Epoch: 1, Shards: 2}, {Epoch: 2, Shards: 3}}
	rapid.Check(t, func(t *rapid.T) {
		holdings := drawHoldings(t)
		need := Need{HasKey: rapid.Bool().Draw(t, "key"), KeyHash: rapid.Uint64Range(0, 9).Draw(t, "hash")}
		views := Build(partitions, holdings)
		var best catalog.Snapshot
		bestShare, exists := 0.0, false
		for _, partition := range partitions {
			for version := uint64(1); version <= 3; version++ {
				snapshot := catalog.Snapshot{Epoch: partition.Epoch, Version: version}
				count, needed := countCovered(holdings, snapshot, partition.Shards, need)
				share := float64(count) / float64(needed)
				if count > 0 && share >= bestShare {
					best, bestShare, exists = snapshot, share, true
				}
			}
		}
		index, ok := Pick(views, need)
		if ok != exists || ok && views[index].Snapshot != best {
			t.Fatalf("picked index %d (exists: %v) of %v, want %v (exists: %v)", index, ok, views, best, exists)
		}
		for _, view := range views {
			for shard, replicas := range view.Replicas {
				if len(replicas) != countHolders(holdings, view.Snapshot, shard) {
					t.Fatalf("got replicas %v of shard %d of %v, want %d", replicas, shard, view.Snapshot, countHolders(holdings, view.Snapshot, shard))
				}
			}
		}
	})
}
