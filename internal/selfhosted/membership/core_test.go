package membership

import (
	"testing"
	"time"
)

func mustConverge(t *testing.T, c *simulatedCluster, limit time.Duration) time.Duration {
	t.Helper()
	took, ok := c.converge(limit)
	if !ok {
		t.Fatalf("%d disagreements after %v", c.disagreements(), limit)
	}
	return took
}

func TestClusterConvergesAfterStart(t *testing.T) {
	c := newCluster(DefaultConfig(), 60, 3, 1)
	c.encodePackets = true
	t.Logf("60 nodes agree after %v", mustConverge(t, c, time.Minute))
}

func TestClusterConvergesAfterCrash(t *testing.T) {
	c := newCluster(DefaultConfig(), 60, 3, 2)
	mustConverge(t, c, time.Minute)
	c.nodes[7].dead = true
	t.Logf("crash known to all after %v", mustConverge(t, c, 2*time.Minute))
}

func TestFrozenProcessIsSupersededByReplacement(t *testing.T) {
	c := newCluster(DefaultConfig(), 30, 3, 3)
	mustConverge(t, c, time.Minute)
	old := c.nodes[7]
	old.frozen = true
	c.run(2 * time.Second)
	c.start(7, 3, 2000)
	c.run(30 * time.Second)
	c.unfreeze(old)
	c.run(5 * time.Second)
	if !old.core.Superseded() {
		t.Fatal("the replaced process does not know that it was replaced")
	}
	mustConverge(t, c, time.Minute)
}

func TestLeaveAndDepartReachOtherNodes(t *testing.T) {
	c := newCluster(DefaultConfig(), 30, 3, 4)
	mustConverge(t, c, time.Minute)
	node := c.nodes[9]
	node.core.Leave()
	c.run(5 * time.Second)
	if seen, _ := c.nodes[0].core.Lookup(nodeName(9)); seen.State != StateLeaving {
		t.Fatalf("state is %v, want leaving", seen.State)
	}
	node.core.Depart()
	c.processReady(node)
	c.run(5 * time.Second)
	for _, other := range c.liveNodes() {
		if seen, _ := other.core.Lookup(nodeName(9)); seen.State != StateGone {
			t.Fatalf("state is %v, want gone", seen.State)
		}
	}
}

// TestSeedsCarryNoMoreThanOthers counts the digests that arrive at each node.
func TestSeedsReceiveBoundedShareOfDigests(t *testing.T) {
	c := newCluster(DefaultConfig(), 150, 3, 5)
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
			t.Errorf("%s got %d digests, the mean is %d", seed.core.Self().Name, digests[seed], mean)
		}
	}
}
