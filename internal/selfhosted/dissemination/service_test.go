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
	standin "github.com/micaplank/micaplank/internal/rehearsal/store"
	"github.com/micaplank/micaplank/internal/selfhosted/dissemination"
	"github.com/micaplank/micaplank/internal/selfhosted/store"
)

// defaultChecks is how many schedules and values the properties are tried with;
// -rapid.checks asks for more. The seed is fixed unless -rapid.seed is given.
const defaultChecks = "60"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.checks", defaultChecks)
	goleak.VerifyTestMain(m)
}

// quickConfig shortens the times, so that an outage longer than the window is
// soon over.
func quickConfig() dissemination.Config {
	config := dissemination.DefaultConfig()
	config.Window, config.ExchangeInterval = 2*time.Second, 100*time.Millisecond
	return config
}

// node is one Service over real sockets.
type node struct {
	member    dissemination.Member
	service   *dissemination.Service
	server    *peer.Server
	datagrams *peer.Datagrams
	client    *peer.Client
	keys      *store.Client
}

// deployment is some nodes and a stand-in for the store.
type deployment struct {
	t     *testing.T
	store *standin.Server
	nodes []*node
}

func deploy(t *testing.T, count int) *deployment {
	t.Helper()
	server, err := standin.Start(standin.Config{Address: "127.0.0.1:0"}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	d := &deployment{t: t, store: server}
	for index := range count {
		d.nodes = append(d.nodes, d.open(index))
	}
	for _, n := range d.nodes {
		d.start(n)
	}
	return d
}

func (d *deployment) open(index int) *node {
	d.t.Helper()
	server, datagrams, err := peer.ListenPair(netip.MustParseAddrPort("127.0.0.1:0"), nil)
	if err != nil {
		d.t.Fatal(err)
	}
	keys, err := store.New(store.Config{Endpoints: []netip.AddrPort{netip.MustParseAddrPort(d.store.Address())}, Timeout: time.Second}, nil)
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

func (d *deployment) start(n *node) {
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

func (d *deployment) want(result dissemination.Result, fate dissemination.Fate) {
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
			d.t.Fatalf("%s: fresh for %v at revision %d", n.member.Name, n.service.FreshFor(), n.service.Current().Revision)
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
	d.want(d.propose(0, createService("first"), dissemination.ProposeOptions{DryRun: true}), dissemination.FateDryRun)
	d.want(d.propose(0, createService("first"), dissemination.ProposeOptions{}), dissemination.FateInForce)
	for _, n := range d.nodes {
		d.want(d.propose(1, addVoter(n), dissemination.ProposeOptions{}), dissemination.FateInForce)
	}
	refused := d.propose(2, createService("first"), dissemination.ProposeOptions{})
	d.want(refused, dissemination.FateNotAccepted)
	if refused.Refusal == nil {
		t.Fatalf("no reason given: %+v", refused)
	}

	// The write takes effect and its reply is lost.
	d.store.SetFaults(standin.Faults{LoseReplies: 1})
	settled := d.propose(2, createService("second"), dissemination.ProposeOptions{})
	d.want(settled, dissemination.FateInForce)
	if settled.InForceOn != 3 || settled.Members != 3 || settled.Revision != 5 {
		t.Fatalf("got %+v", settled)
	}
	asked, err := d.nodes[0].service.Fate(context.Background(), settled.ChangeID)
	if err != nil {
		t.Fatal(err)
	}
	d.want(asked, dissemination.FateInForce)

	// In an outage the voters keep each other fresh beyond the window.
	d.store.SetFaults(standin.Faults{Outage: standin.OutageUnavailable})
	time.Sleep(quickConfig().Window + 100*time.Millisecond)
	for _, n := range d.nodes {
		d.await(n, func() bool { return n.service.Fresh() && n.service.Current().Revision == 5 })
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	result, err := d.nodes[1].service.Propose(ctx, createService("third"), dissemination.ProposeOptions{})
	if err != nil || (result.Fate != dissemination.FateNotAccepted && result.Fate != dissemination.FateUnknown) {
		t.Fatalf("in an outage: %+v, %v", result, err)
	}
}
