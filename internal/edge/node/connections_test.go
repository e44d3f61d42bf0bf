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
	return nil, fmt.Errorf("nothing is sent")
}

// newTestNode returns a node that has started nothing, with leaves of some
// services and the shares that it hands out.
func newTestNode(t *testing.T, services []route.Service, leaves []registry.Leaf) (*Node, func() map[string]int) {
	t.Helper()
	configured := settings.Example()
	configured.Name, configured.Zone = "node-0", "a"
	var handed []LeafShare
	f := New(configured, Ports{
		Store: mirror.Store(nil), Leases: lease.Store(nil), Leaves: noLeaves{},
		Handler:  func(Service) http.Handler { return nil },
		OnLeaves: func(shares []LeafShare) { handed = shares },
	}, telemetry.NewRegistry("test"), slog.New(slog.DiscardHandler))
	t.Cleanup(func() { f.expiry.Stop() })
	f.forwarder.Install(route.NewTable(&route.Config{Version: 1, Services: services}))
	for _, one := range leaves {
		f.index.Of(one.Service) // as a configuration that names it does
		f.leaves.Set(0, one)
	}
	return f, func() map[string]int {
		f.publish()
		kept := make(map[string]int)
		for _, one := range handed {
			kept[one.Instance] = one.Connections
		}
		return kept
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

// announceNodes announces this node and others like it.
func (f *Node) announceNodes(count int) {
	for index := range count {
		member := roster.Member{Name: fmt.Sprint("node-", index), Zone: string(rune('a' + index%3)), Cores: f.member.Cores}
		f.nodes.Add(0, member.Name, member)
	}
}

func (f *Node) standby() map[string]bool {
	marked := make(map[string]bool)
	topology := f.leaves.Topology()
	f.shareLeaves(&topology, share.Of(f.roles.Assign(f.member, f.nodes.Members(0)), f.nodes.Members(0), f.nodes.Count(0)))
	for _, one := range topology.Leaves {
		marked[one.BootID] = one.Standby
	}
	return marked
}

// TestFewNodesKeepConnectionsToAllLeaves has plenty for each.
func TestFewNodesKeepConnectionsToAllLeaves(t *testing.T) {
	f, publish := newTestNode(t, []route.Service{{Name: "s", MaxConns: 54}}, threeLeaves("s"))
	f.announceNodes(12)
	for id, kept := range publish() {
		if kept != f.settings.Leaf.ConnectionsPerLeaf || f.standby()[id] {
			t.Errorf("%s: %d connections, standby %v", id, kept, f.standby()[id])
		}
	}
}

// TestManyNodesKeepConnectionsToSomeLeaves: the others are on standby. A leaf
// that drains counts for none of this.
func TestManyNodesKeepConnectionsToSomeLeaves(t *testing.T) {
	leaves := threeLeaves("s")
	f, publish := newTestNode(t, []route.Service{{Name: "s", MaxConns: 54}}, leaves)
	f.announceNodes(80)
	kept := publish()
	some := 0
	for id, connections := range kept {
		some += connections
		if standby := f.standby()[id]; standby != (connections == 0) {
			t.Errorf("%s: %d connections, standby %v", id, connections, standby)
		}
	}
	if some == 0 || some == 3 {
		t.Errorf("connections to %d leaves", some)
	}
	for index := range leaves {
		leaves[index].Draining = index > 0
		f.leaves.Set(0, leaves[index])
	}
	kept = publish()
	if kept["s-1"] != 0 || kept["s-2"] != 0 {
		t.Errorf("leaves that drain: %v", kept)
	}
}

// TestUnknownNumberOfConnections keeps what the settings say.
func TestUnknownNumberOfConnections(t *testing.T) {
	f, publish := newTestNode(t, nil, threeLeaves("s"))
	f.announceNodes(500)
	for id, kept := range publish() {
		if kept != f.settings.Leaf.ConnectionsPerLeaf {
			t.Errorf("%s: %d connections", id, kept)
		}
	}
}
