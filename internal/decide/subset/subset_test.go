package subset

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// newNodes returns nodes that are spread over zones, and their counts.
func newNodes(count int, zones []string) ([]Node, NodeCounts) {
	counts := NodeCounts{Total: count, ByZone: make(map[string]int)}
	nodes := make([]Node, count)
	for index := range nodes {
		nodes[index] = Node{Name: fmt.Sprintf("node-%d", index), Zone: zones[index%len(zones)]}
		counts.ByZone[nodes[index].Zone]++
	}
	return nodes, counts
}

func newReplicas(count, connections int, zones []string) []Replica {
	replicas := make([]Replica, count)
	for index := range replicas {
		replicas[index] = Replica{ID: fmt.Sprintf("leaf-%d", index), Zone: zones[index%len(zones)], MaxConnections: connections}
	}
	return replicas
}

// connectionsPerReplica counts the connections that all nodes keep to each replica.
func connectionsPerReplica(nodes []Node, counts NodeCounts, shard string, replicas []Replica) []int {
	sums := make([]int, len(replicas))
	for _, node := range nodes {
		for index, connections := range Choose(node, counts, shard, replicas) {
			sums[index] += connections
		}
	}
	return sums
}

var zones = []string{"a", "b", "c", "d"}

// TestConnectionsFitCapacityAndAreUsed covers fleets below and above the number of connections
// that each of the three replicas accepts, which is 54.
func TestConnectionsFitCapacityAndAreUsed(t *testing.T) {
	for _, count := range []int{1, 8, 40, 64, 75, 100, 300} {
		nodes, counts := newNodes(count, zones)
		full, used := 0, 0
		const shards = 100
		for shard := range shards {
			for _, sum := range connectionsPerReplica(nodes, counts, fmt.Sprintf("shard-%d", shard), newReplicas(3, 54, zones)) {
				used += sum
				if sum > 54 {
					full++
				}
			}
		}
		if full > shards*3/50 {
			t.Errorf("%d nodes: %d of %d replicas get more connections than they accept, want at most %d", count, full, shards*3, shards*3/50)
		}
		if share := float64(used) / (shards * 3 * 54); count >= 64 && share < 0.68 {
			t.Errorf("%d nodes use a share of %.2f of the connections, want at least 0.68", count, share)
		}
	}
}

func TestEveryNodeConnectsToTwoReplicas(t *testing.T) {
	nodes, counts := newNodes(64, zones)
	for _, node := range nodes {
		total := 0
		for _, connections := range Choose(node, counts, "shard", newReplicas(3, 54, zones)) {
			total += connections
		}
		if total < 2 {
			t.Errorf("%s keeps %d connections, want at least 2", node.Name, total)
		}
	}
}

// TestLocalReplicaIsInSubset uses zones of about equal size.
func TestLocalReplicaIsInSubset(t *testing.T) {
	nodes, counts := newNodes(64, zones)
	candidates := newReplicas(3, 54, zones)
	for _, node := range nodes {
		for index, connections := range Choose(node, counts, "shard", candidates) {
			if candidates[index].Zone == node.Zone && connections == 0 {
				t.Errorf("%s has no connection to the replica of its zone", node.Name)
			}
		}
	}
}

// TestUnevenZonesDoNotOverloadLocalReplica places most nodes in one zone.
func TestUnevenZonesDoNotOverloadLocalReplica(t *testing.T) {
	nodes, counts := newNodes(64, []string{"a", "a", "a", "b"})
	for shard := range 50 {
		for index, sum := range connectionsPerReplica(nodes, counts, fmt.Sprint(shard), newReplicas(3, 54, []string{"a", "b", "c"})) {
			if sum > 58 {
				t.Errorf("shard %d: replica %d gets %d connections, want at most 58", shard, index, sum)
			}
		}
	}
}

// TestReplicaRemovalMovesFewConnections compares subsets before and after the removal of a replica.
func TestReplicaRemovalMovesFewConnections(t *testing.T) {
	nodes, counts := newNodes(100, zones)
	before := newReplicas(10, 30, zones)
	closed := 0
	for _, node := range nodes {
		previous := Choose(node, counts, "shard", before)
		for index, connections := range Choose(node, counts, "shard", before[:9]) {
			if previous[index] > connections {
				closed++
			}
		}
	}
	if closed > 30 {
		t.Errorf("%d connections to remaining replicas are closed, want at most 30", closed)
	}
}

func TestChooseIsBoundedAndDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 6).Draw(t, "replicas")
		candidates := newReplicas(count, rapid.IntRange(0, 200).Draw(t, "connections"), zones)
		counts := NodeCounts{Total: rapid.IntRange(0, 5000).Draw(t, "nodes"), ByZone: map[string]int{"a": rapid.IntRange(0, 5000).Draw(t, "near")}}
		self := Node{Name: rapid.String().Draw(t, "name"), Zone: "a"}
		shard := rapid.String().Draw(t, "shard")
		chosen := Choose(self, counts, shard, candidates)
		if len(chosen) != count {
			t.Fatalf("got %d connection counts for %d replicas", len(chosen), count)
		}
		for index, connections := range chosen {
			if connections < 0 || connections > candidates[index].MaxConnections {
				t.Fatalf("got %d connections to replica %d, want 0 to %d", connections, index, candidates[index].MaxConnections)
			}
		}
		if again := Choose(self, counts, shard, candidates); fmt.Sprint(again) != fmt.Sprint(chosen) {
			t.Fatalf("got %v first and %v on the second call", chosen, again)
		}
	})
}
