package frontend

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/micaplank/micaplank/internal/forward"
	"github.com/micaplank/micaplank/internal/lease"
	"github.com/micaplank/micaplank/internal/mirror"
	"github.com/micaplank/micaplank/internal/registry"
	"github.com/micaplank/micaplank/internal/route"
	"github.com/micaplank/micaplank/internal/scatter"
)

// Kind is what an item of the store is.
type Kind int

// The kinds of items.
const (
	KindOther  Kind = iota // nothing of ours
	KindConfig             // the declared configuration
	KindLeaf               // the announcement of a leaf
	KindNode               // the announcement of a node like this one
	KindCordon             // the operators' word that a zone is out of service
)

// Decoder reads what lies in the store. Its methods keep nothing of the items.
type Decoder interface {
	// Prefix is what all keys of interest begin with.
	Prefix() string
	Kind(key string) Kind
	// Config reads the declared configuration.
	Config(item mirror.Item) (*route.Config, error)
	// Leaf reads the announcement of a leaf. Of a removed one, only the key is
	// given, and only the id is wanted.
	Leaf(item mirror.Item) (registry.Leaf, error)
	// CordonedZone returns the zone that a key takes out of service. The key is
	// there for as long as it is.
	CordonedZone(key string) string
	// NodePrefix is what the keys of announcements of nodes begin with.
	NodePrefix() string
	// Node returns the name of the node that a key announces.
	Node(key string) string
	// NodeKey returns the key that announces an incarnation of a node.
	NodeKey(name, incarnation string) string
}

// Ports are the ways to the outside that a Frontend uses.
type Ports struct {
	Store   mirror.Store
	Leases  lease.Store
	Decoder Decoder
	Leaves  scatter.LeafClient[*forward.Request, forward.Part]
	// Handler makes the handler of callers' requests.
	Handler func(Service) http.Handler
	// ReadyPath is where the handler of readiness is asked.
	ReadyPath string
	// OnLeaves is told of the leaves before work goes by them.
	OnLeaves func([]LeafShare)
}

// LeafShare says how many connections to a leaf this node may keep. With none,
// it may open one for a request that no other leaf can take.
type LeafShare struct {
	Address     netip.AddrPort
	Instance    string
	Connections int
}

// Service is what the handler of callers' requests uses.
type Service interface {
	// Execute runs a request; see forward.Forwarder.
	Execute(ctx context.Context, request *forward.Request) forward.Answer
	// Limits returns what the configuration in force allows clients to send.
	Limits() route.Limits
	// Draining reports whether callers should move to other nodes.
	Draining() bool
}
