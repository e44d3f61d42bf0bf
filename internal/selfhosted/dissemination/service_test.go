package dissemination_test

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/peer"
	rehearsalstore "github.com/micaplank/micaplank/internal/rehearsal/store"
	"github.com/micaplank/micaplank/internal/selfhosted/dissemination"
	"github.com/micaplank/micaplank/internal/selfhosted/store"
)

// defaultChecks is the number of schedules and values that each property is tested with. The flag
// -rapid.checks overrides it. The seed is fixed unless -rapid.seed is given.
const defaultChecks = "60"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.checks", defaultChecks)
	goleak.VerifyTestMain(m)
}

// quickConfig shortens the times, so that the test can wait out an outage longer than the window.
func quickConfig() dissemination.Config {
	config := dissemination.DefaultConfig()
	config.Window, config.ExchangeInterval = 2*time.Second, 100*time.Millisecond
	return config
}

// node is one Service with real sockets.
type node struct {
	member    dissemination.Member
	service   *dissemination.Service
	server    *peer.Server
	datagrams *peer.Datagrams
	client    *peer.Client
	keys      *store.Client
}

// deployment is a set of nodes and an in-process key-value store.
type deployment struct {
	t     *testing.T
	store *rehearsalstore.Server
	nodes []*node
}

func deploy(t *testing.T, count int) *deployment {
	t.Helper()
	server, err := rehearsalstore.Start(rehearsalstore.Config{Address: "127.0.0.1:0"}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	d := &deployment{t: t, store: server}
	for index := range count {
		d.nodes = append(d.nodes, d.openNode(index))
	}
	for _, n := range d.nodes {
		d.startNode(n)
	}
	return d
}

func (d *deployment) openNode(index int) *node {
	d.t.Helper()
	server, datagrams, err := peer.ListenPair(netip.MustParseAddrPort("127.0.0.1:0"), nil)
	if err != nil {
		d.t.Fatal(err)
	}
	keys, err := store.NewClient(store.Config{Endpoints: []netip.AddrPort{netip.MustParseAddrPort(d.store.Address())}, Timeout: time.Second}, nil)
	if err != nil {
		d.t.Fatal(err)
	}
	return &node{
		member: dissemination.Member{
			Name: fmt.Sprintf("n%d", index), Zone: string(rune('a' + index%3)), Address: server.Address(), Alive: true,
		},
		server: server, datagrams: datagrams, client: peer.NewClient(peer.ClientOptions{}, nil), keys: keys,
	}
}

func (d *deployment) startNode(n *node) {
	n.service = dissemination.NewService(dissemination.ServiceOptions{
		Config: quickConfig(), Self: n.member, Members: d.members,
		Store:     dissemination.NewStoreAdapter(n.keys),
		Transport: dissemination.NewPeerTransport(n.datagrams, n.client),
	})
	n.service.Serve(n.datagrams, n.server)
	n.server.Start()
	n.service.Start()
	d.t.Cleanup(n.stop)
}

func (n *node) stop() {
	n.service.Close()
	_ = n.client.Close()
	_ = n.server.Close(context.Background())
	_ = n.datagrams.Close()
	n.keys.Close()
}

func (d *deployment) members() []dissemination.Member {
	members := make([]dissemination.Member, 0, len(d.nodes))
	for _, n := range d.nodes {
		members = append(members, n.member)
	}
	return members
}

func (d *deployment) propose(index int, command catalog.Command, options dissemination.ProposeOptions) dissemination.Result {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	result, err := d.nodes[index].service.Propose(ctx, command, options)
	if err != nil {
		d.t.Fatal(err)
	}
	return result
}

func (d *deployment) requireFate(result dissemination.Result, fate dissemination.Fate) {
	d.t.Helper()
	if result.Fate != fate {
		d.t.Fatalf("got %+v, want %s", result, fate)
	}
}

// await waits until a condition of a node holds.
func (d *deployment) await(n *node, holds func() bool) {
	d.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			d.t.Fatalf("%s: condition does not hold after 20 s: fresh for %v at revision %d", n.member.Name, n.service.FreshFor(), n.service.Current().Revision)
		}
	}
}

func createService(name string) catalog.Command {
	return catalog.Command{CreateService: &catalog.CreateService{Name: name, Shards: 4, Replicas: 2}}
}

func addVoter(n *node) catalog.Command {
	return catalog.Command{AddVoter: &catalog.AddVoter{Voter: catalog.Voter{Name: n.member.Name, Zone: n.member.Zone}}}
}

func TestServicesOverRealSockets(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3)
	d.requireFate(d.propose(0, createService("first"), dissemination.ProposeOptions{DryRun: true}), dissemination.FateDryRun)
	d.requireFate(d.propose(0, createService("first"), dissemination.ProposeOptions{}), dissemination.FateInForce)
	for _, n := range d.nodes {
		d.requireFate(d.propose(1, addVoter(n), dissemination.ProposeOptions{}), dissemination.FateInForce)
	}
	refused := d.propose(2, createService("first"), dissemination.ProposeOptions{})
	d.requireFate(refused, dissemination.FateNotAccepted)
	if refused.Refusal == nil {
		t.Fatalf("refused change: got no refusal in %+v, want a reason", refused)
	}

	// The write takes effect, but its reply is lost.
	d.store.SetFaults(rehearsalstore.Faults{LoseReplies: 1})
	created := d.propose(2, createService("second"), dissemination.ProposeOptions{})
	d.requireFate(created, dissemination.FateInForce)
	if created.InForceOn != 3 || created.Members != 3 || created.Revision != 5 {
		t.Fatalf("change with a lost reply: got %+v, want revision 5 in force on 3 of 3 members", created)
	}
	resolved, err := d.nodes[0].service.Fate(context.Background(), created.ChangeID)
	if err != nil {
		t.Fatal(err)
	}
	d.requireFate(resolved, dissemination.FateInForce)

	// During a store outage the voters keep each other fresh beyond the window.
	d.store.SetFaults(rehearsalstore.Faults{Outage: rehearsalstore.OutageUnavailable})
	time.Sleep(quickConfig().Window + 100*time.Millisecond)
	for _, n := range d.nodes {
		d.await(n, func() bool { return n.service.Fresh() && n.service.Current().Revision == 5 })
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	result, err := d.nodes[1].service.Propose(ctx, createService("third"), dissemination.ProposeOptions{})
	if err != nil || (result.Fate != dissemination.FateNotAccepted && result.Fate != dissemination.FateUnknown) {
		t.Fatalf("proposal during an outage: got %+v, error %v, want fate not_accepted or unknown", result, err)
	}
}
