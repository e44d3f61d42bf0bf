package node

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"testing"

	"github.com/micaplank/micaplank/internal/decide/share"
	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/edge/lease"
	"github.com/micaplank/micaplank/internal/edge/mirror"
	"github.com/micaplank/micaplank/internal/edge/registry"
	"github.com/micaplank/micaplank/internal/edge/route"
	"github.com/micaplank/micaplank/internal/roster"
	"github.com/micaplank/micaplank/internal/scatter"
	"github.com/micaplank/micaplank/internal/settings"
	"github.com/micaplank/micaplank/internal/telemetry"
)

// noLeaves implements scatter.LeafClient; nothing is sent in these tests.
type noLeaves struct{}

func (noLeaves) Execute(context.Context, scatter.Attempt[*forward.Request]) (*scatter.Response[forward.Part], error) {
	return nil, fmt.Errorf("attempt sent by a test that sends none")
}

// newTestNode returns a node that is not started, with leaves of some services, and a function that
// publishes and returns the connections to each leaf.
func newTestNode(t *testing.T, services []route.Service, leaves []registry.Leaf) (*Node, func() map[string]int) {
	t.Helper()
	configured := settings.Example()
	configured.Name, configured.Zone = "node-0", "a"
	var published []LeafShare
	n := New(configured, Ports{
		Store: mirror.Store(nil), Leases: lease.Store(nil), Leaves: noLeaves{},
		Handler:      func(Service) http.Handler { return nil },
		OnLeafShares: func(shares []LeafShare) { published = shares },
	}, telemetry.NewRegistry("test"), slog.New(slog.DiscardHandler))
	t.Cleanup(n.publisher.stop)
	n.forwarder.Install(route.NewTable(&route.Config{Version: 1, Services: services}))
	for _, leaf := range leaves {
		// A configuration that names the service does the same.
		n.publisher.view.index.Assign(leaf.Service)
		n.publisher.view.leaves.Set(0, leaf)
	}
	return n, func() map[string]int {
		n.publisher.publish()
		connections := make(map[string]int)
		for _, leaf := range published {
			connections[leaf.BootID] = leaf.Connections
		}
		return connections
	}
}

func threeLeaves(service string) []registry.Leaf {
	var leaves []registry.Leaf
	for index, zone := range []string{"a", "b", "c"} {
		leaves = append(leaves, registry.Leaf{
			ID: fmt.Sprintf("%s-%d", service, index), Service: service, Zone: zone, Slots: 2,
			Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:80", len(service), index+1)),
		})
	}
	return leaves
}

// announceNodes adds count nodes to the view; the first has the name of this node.
func (n *Node) announceNodes(count int) {
	for index := range count {
		member := roster.Member{Name: fmt.Sprint("node-", index), Zone: string(rune('a' + index%3)), Cores: n.self.Cores}
		n.publisher.view.nodes.Add(0, member.Name, member)
	}
}

func (n *Node) standbyLeaves() map[string]bool {
	standby := make(map[string]bool)
	p := n.publisher
	members := p.view.nodes.Members(0)
	topology := p.view.leaves.Topology()
	p.shareLeaves(&topology, share.ForConnections(p.roles.Assign(p.self, members), members, p.view.nodes.Count(0)))
	for _, leaf := range topology.Leaves {
		standby[leaf.BootID] = leaf.Standby
	}
	return standby
}

// TestFewNodesKeepConnectionsToAllLeaves checks that 12 nodes, for which the connections of each
// leaf suffice, keep all leaves in use.
func TestFewNodesKeepConnectionsToAllLeaves(t *testing.T) {
	n, publish := newTestNode(t, []route.Service{{Name: "s", MaxConnections: 54}}, threeLeaves("s"))
	n.announceNodes(12)
	for id, connections := range publish() {
		if connections != n.settings.Leaf.ConnectionsPerLeaf || n.standbyLeaves()[id] {
			t.Errorf("leaf %s: got %d connections, standby %v; want %d connections, not on standby", id, connections, n.standbyLeaves()[id], n.settings.Leaf.ConnectionsPerLeaf)
		}
	}
}

// TestManyNodesKeepConnectionsToSomeLeaves checks that each of 80 nodes connects to some leaves and
// has the others on standby, and that a draining leaf gets no connections.
func TestManyNodesKeepConnectionsToSomeLeaves(t *testing.T) {
	leaves := threeLeaves("s")
	n, publish := newTestNode(t, []route.Service{{Name: "s", MaxConnections: 54}}, leaves)
	n.announceNodes(80)
	connections := publish()
	total := 0
	for id, count := range connections {
		total += count
		if standby := n.standbyLeaves()[id]; standby != (count == 0) {
			t.Errorf("leaf %s: got %d connections, standby %v; want standby exactly without connections", id, count, standby)
		}
	}
	if total == 0 || total == 3 {
		t.Errorf("got %d connections to 3 leaves, want 1 or 2", total)
	}
	for index := range leaves {
		leaves[index].Draining = index > 0
		n.publisher.view.leaves.Set(0, leaves[index])
	}
	connections = publish()
	if connections["s-1"] != 0 || connections["s-2"] != 0 {
		t.Errorf("got connections %v, want none to the draining leaves s-1 and s-2", connections)
	}
}

// TestConnectionsWithoutConfiguredMaximum checks that the value of the settings applies if the
// configuration does not declare how many connections a leaf accepts.
func TestConnectionsWithoutConfiguredMaximum(t *testing.T) {
	n, publish := newTestNode(t, nil, threeLeaves("s"))
	n.announceNodes(500)
	for id, connections := range publish() {
		if connections != n.settings.Leaf.ConnectionsPerLeaf {
			t.Errorf("leaf %s: got %d connections, want %d", id, connections, n.settings.Leaf.ConnectionsPerLeaf)
		}
	}
}
