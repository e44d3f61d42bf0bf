package membership

import (
	"testing"
	"time"
)

func mustConverge(t *testing.T, c *simulatedCluster, limit time.Duration) time.Duration {
	t.Helper()
	took, ok := c.converge(limit)
	if !ok {
		t.Fatalf("views have %d disagreements after %v, want 0", c.disagreements(), limit)
	}
	return took
}

func TestClusterConvergesAfterStart(t *testing.T) {
	c := newSimulatedCluster(DefaultConfig(), 60, 3, 1)
	c.encodePackets = true
	t.Logf("views of 60 nodes agree after %v", mustConverge(t, c, time.Minute))
}

func TestClusterConvergesAfterCrash(t *testing.T) {
	c := newSimulatedCluster(DefaultConfig(), 60, 3, 2)
	mustConverge(t, c, time.Minute)
	c.nodes[7].crashed = true
	t.Logf("all views show the crash after %v", mustConverge(t, c, 2*time.Minute))
}

func TestFrozenProcessIsSupersededByReplacement(t *testing.T) {
	c := newSimulatedCluster(DefaultConfig(), 30, 3, 3)
	mustConverge(t, c, time.Minute)
	old := c.nodes[7]
	old.frozen = true
	c.run(2 * time.Second)
	c.start(7, 3, 2000)
	c.run(30 * time.Second)
	c.unfreeze(old)
	c.run(5 * time.Second)
	if !old.core.Superseded() {
		t.Fatal("Superseded of the replaced process is false, want true")
	}
	mustConverge(t, c, time.Minute)
}

func TestLeaveAndDepartReachOtherNodes(t *testing.T) {
	c := newSimulatedCluster(DefaultConfig(), 30, 3, 4)
	mustConverge(t, c, time.Minute)
	node := c.nodes[9]
	node.core.Leave()
	c.run(5 * time.Second)
	if record, _ := c.nodes[0].core.Lookup(nodeName(9)); record.State != StateLeaving {
		t.Fatalf("state of node 9 after Leave is %v, want leaving", record.State)
	}
	node.core.Depart()
	c.processReady(node)
	c.run(5 * time.Second)
	for _, other := range c.liveNodes() {
		if record, _ := other.core.Lookup(nodeName(9)); record.State != StateGone {
			t.Fatalf("state of node 9 after Depart is %v, want gone", record.State)
		}
	}
}

// TestSeedsReceiveBoundedShareOfDigests checks that no seed receives more than three times the mean
// number of digests per node.
func TestSeedsReceiveBoundedShareOfDigests(t *testing.T) {
	c := newSimulatedCluster(DefaultConfig(), 150, 3, 5)
	mustConverge(t, c, time.Minute)
	digests := make(map[*simulatedNode]int)
	total := 0
	c.onPacket = func(to *simulatedNode, packet Packet) {
		if packet.Kind == PacketDigest {
			digests[to]++
			total++
		}
	}
	c.run(5 * time.Minute)
	mean := total / len(c.nodes)
	for _, seed := range c.nodes[:3] {
		if digests[seed] > 3*mean {
			t.Errorf("seed %s received %d digests, want at most 3 times the mean of %d", seed.core.Self().Name, digests[seed], mean)
		}
	}
}
