package api

import "github.com/micaplank/micaplank/internal/catalog"

// StatusResponse is what one node knows of the whole deployment.
type StatusResponse struct {
	// Revision is the revision that the answering node holds.
	Revision uint64 `json:"revision"`
	// Fresh says whether the node can show that it holds everything accepted.
	Fresh bool         `json:"fresh"`
	Nodes []NodeStatus `json:"nodes"`
	// Voters lists the voting set of the catalog, in the order of the names,
	// also those that are no members any more.
	Voters   []VoterStatus   `json:"voters"`
	Leaves   []LeafStatus    `json:"leaves"`
	Services []ServiceStatus `json:"services"`
}

// NodeState is the membership state of a node, as the answering node sees it.
type NodeState string

// The states of a node.
const (
	NodeAlive   NodeState = "alive"
	NodeSuspect NodeState = "suspect"
	NodeLeaving NodeState = "leaving"
	NodeGone    NodeState = "gone"
)

// NodeStatus describes one node.
type NodeStatus struct {
	Name    string    `json:"name"`
	Zone    string    `json:"zone"`
	Address string    `json:"address"`
	State   NodeState `json:"state"`
	// Incarnation distinguishes a restarted node from its predecessor of that name.
	Incarnation uint64 `json:"incarnation"`
	// Revision is the highest revision that the node is known to hold.
	Revision uint64 `json:"revision"`
	Voter    bool   `json:"voter"`
	Serving  bool   `json:"serving"`
}

// VoterStatus describes one voter of the catalog.
type VoterStatus struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// State is that of the node of the same name; NodeGone if there is none.
	State NodeState `json:"state"`
	// Revision is the highest revision that the voter is known to hold.
	Revision uint64 `json:"revision"`
}

// LeafState is whether a leaf may get work.
type LeafState string

// The states of a leaf.
const (
	LeafUsable      LeafState = "usable"
	LeafCold        LeafState = "cold"
	LeafDraining    LeafState = "draining"
	LeafLeaving     LeafState = "leaving"
	LeafUnreachable LeafState = "unreachable"
	LeafProbation   LeafState = "probation"
)

// LeafStatus describes one leaf of one service.
type LeafStatus struct {
	Service string    `json:"service"`
	Address string    `json:"address"`
	Zone    string    `json:"zone"`
	State   LeafState `json:"state"`
	// Reason says in words why the leaf is in that state.
	Reason string `json:"reason,omitempty"`
	Shards []int  `json:"shards"`
	// InFlight is the number of attempts of the answering node on the leaf.
	InFlight int `json:"in_flight"`
	// Limit is how many attempts the answering node allows at once.
	Limit int `json:"limit"`
}

// ServiceStatus describes one service.
type ServiceStatus struct {
	Name    string `json:"name"`
	Stopped bool   `json:"stopped"`
	// Shards is the number of shards of the newest partition, whose epoch is
	// Epoch.
	Shards int    `json:"shards"`
	Epoch  uint64 `json:"epoch"`
	// Snapshot is the one that new queries are pinned to; zero if none.
	Snapshot catalog.Snapshot `json:"snapshot"`
	Classes  int              `json:"classes"`
	Leaves   int              `json:"leaves"`
}
