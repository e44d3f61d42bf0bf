package subset

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// fleet returns nodes spread over zones, and their census.
func fleet(count int, zones []string) ([]Node, Census) {
	census := Census{All: count, ByZone: make(map[string]int)}
	nodes := make([]Node, count)
	for index := range nodes {
		nodes[index] = Node{Name: fmt.Sprintf("node-%d", index), Zone: zones[index%len(zones)]}
		census.ByZone[nodes[index].Zone]++
	}
	return nodes, census
}

func replicas(count, connections int, zones []string) []Replica {
	made := make([]Replica, count)
	for index := range made {
		made[index] = Replica{ID: fmt.Sprintf("leaf-%d", index), Zone: zones[index%len(zones)], Connections: connections}
	}
	return made
}

// arrivals counts the connections that all nodes keep to each replica.
func arrivals(nodes []Node, census Census, shard string, replicas []Replica) []int {
	sums := make([]int, len(replicas))
	for _, node := range nodes {
		for index, kept := range Choose(node, census, shard, replicas) {
			sums[index] += kept
		}
	}
	return sums
}

var zones = []string{"a", "b", "c", "d"}

// TestConnectionsFitAndAreUsed is the size of the grown deployment: three
// replicas of 54 connections, and more nodes than that.
func TestConnectionsFitAndAreUsed(t *testing.T) {
	for _, count := range []int{1, 8, 40, 64, 75, 100, 300} {
		nodes, census := fleet(count, zones)
		full, used := 0, 0
		const shards = 100
		for shard := range shards {
			for _, sum := range arrivals(nodes, census, fmt.Sprintf("shard-%d", shard), replicas(3, 54, zones)) {
				used += sum
				if sum > 54 {
					full++
				}
			}
		}
		if full > shards*3/50 {
			t.Errorf("%d nodes: %d of %d replicas get more connections than they take", count, full, shards*3)
		}
		if share := float64(used) / (shards * 3 * 54); count >= 64 && share < 0.68 {
			t.Errorf("%d nodes use %.2f of the connections", count, share)
		}
	}
}

func TestEveryNodeKeepsTwoReplicasWhereThatFits(t *testing.T) {
	nodes, census := fleet(64, zones)
	for _, node := range nodes {
		kept := 0
		for _, connections := range Choose(node, census, "shard", replicas(3, 54, zones)) {
			kept += connections
		}
		if kept < 2 {
			t.Errorf("%s keeps %d connections", node.Name, kept)
		}
	}
}

// TestNearReplicaIsInTheSubset holds where the zones are about equal.
func TestNearReplicaIsInTheSubset(t *testing.T) {
	nodes, census := fleet(64, zones)
	from := replicas(3, 54, zones)
	for _, node := range nodes {
		for index, kept := range Choose(node, census, "shard", from) {
			if from[index].Zone == node.Zone && kept == 0 {
				t.Errorf("%s has no connection to the replica of its zone", node.Name)
			}
		}
	}
}

// TestCrowdedZoneDoesNotFloodItsReplica: most nodes are in one zone.
func TestCrowdedZoneDoesNotFloodItsReplica(t *testing.T) {
	nodes, census := fleet(64, []string{"a", "a", "a", "b"})
	for shard := range 50 {
		for index, sum := range arrivals(nodes, census, fmt.Sprint(shard), replicas(3, 54, []string{"a", "b", "c"})) {
			if sum > 58 {
				t.Errorf("shard %d: replica %d gets %d connections", shard, index, sum)
			}
		}
	}
}

// TestOneReplicaLessMovesFewConnections compares subsets before and after a
// replica has gone.
func TestOneReplicaLessMovesFewConnections(t *testing.T) {
	nodes, census := fleet(100, zones)
	before := replicas(10, 30, zones)
	lost := 0
	for _, node := range nodes {
		former := Choose(node, census, "shard", before)
		for index, kept := range Choose(node, census, "shard", before[:9]) {
			if former[index] > kept {
				lost++
			}
		}
	}
	if lost > 30 {
		t.Errorf("%d connections to replicas that stay are given up", lost)
	}
}

func TestChooseKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 6).Draw(t, "replicas")
		from := replicas(count, rapid.IntRange(0, 200).Draw(t, "connections"), zones)
		census := Census{All: rapid.IntRange(0, 5000).Draw(t, "nodes"), ByZone: map[string]int{"a": rapid.IntRange(0, 5000).Draw(t, "near")}}
		self := Node{Name: rapid.String().Draw(t, "name"), Zone: "a"}
		shard := rapid.String().Draw(t, "shard")
		chosen := Choose(self, census, shard, from)
		if len(chosen) != count {
			t.Fatalf("%d answers for %d replicas", len(chosen), count)
		}
		for index, kept := range chosen {
			if kept < 0 || kept > from[index].Connections {
				t.Fatalf("%d connections of %d", kept, from[index].Connections)
			}
		}
		if again := Choose(self, census, shard, from); fmt.Sprint(again) != fmt.Sprint(chosen) {
			t.Fatalf("%v, and then %v", chosen, again)
		}
	})
}
