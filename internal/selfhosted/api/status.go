package api

import "github.com/micaplank/micaplank/internal/catalog"

// StatusResponse describes the deployment as the responding node knows it.
type StatusResponse struct {
	// Revision is the catalog revision that the responding node holds.
	Revision uint64 `json:"revision"`
	// Fresh reports whether the node can prove that it holds every accepted change.
	Fresh bool         `json:"fresh"`
	Nodes []NodeStatus `json:"nodes"`
	// Voters lists the voting set of the catalog in the order of the names, including
	// voters that are no longer members.
	Voters   []VoterStatus   `json:"voters"`
	Leaves   []LeafStatus    `json:"leaves"`
	Services []ServiceStatus `json:"services"`
}

// NodeState is the membership state of a node as the responding node knows it.
type NodeState string

// The states of a node.
const (
	NodeAlive   NodeState = "alive"
	NodeSuspect NodeState = "suspect"
	NodeLeaving NodeState = "leaving"
	NodeGone    NodeState = "gone"
)

// NodeStatus is the status of a node.
type NodeStatus struct {
	Name    string    `json:"name"`
	Zone    string    `json:"zone"`
	Address string    `json:"address"`
	State   NodeState `json:"state"`
	// Incarnation distinguishes a restarted node from the earlier process of that name.
	Incarnation uint64 `json:"incarnation"`
	// Revision is the highest revision that the node is known to hold.
	Revision uint64 `json:"revision"`
	Voter    bool   `json:"voter"`
	Serving  bool   `json:"serving"`
}

// VoterStatus is the status of a voter of the catalog.
type VoterStatus struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// State is the state of the node of the same name, or NodeGone if there is none.
	State NodeState `json:"state"`
	// Revision is the highest revision that the voter is known to hold.
	Revision uint64 `json:"revision"`
}

// LeafState reports whether a leaf may receive attempts, and if not, why.
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

// LeafStatus is the status of a leaf of a service.
type LeafStatus struct {
	Service string    `json:"service"`
	Address string    `json:"address"`
	Zone    string    `json:"zone"`
	State   LeafState `json:"state"`
	// Reason explains in words why the leaf is in its state.
	Reason string `json:"reason,omitempty"`
	Shards []int  `json:"shards"`
	// InFlight is the number of attempts of the responding node that run on the leaf.
	InFlight int `json:"in_flight"`
	// Limit is the maximum number of concurrent attempts of the responding node.
	Limit int `json:"limit"`
}

// ServiceStatus is the status of a service.
type ServiceStatus struct {
	Name    string `json:"name"`
	Stopped bool   `json:"stopped"`
	// Shards is the number of shards of the newest partition, and Epoch its epoch.
	Shards int    `json:"shards"`
	Epoch  uint64 `json:"epoch"`
	// Snapshot is the snapshot that new queries read. It is zero if there is none.
	Snapshot catalog.Snapshot `json:"snapshot"`
	Classes  int              `json:"classes"`
	Leaves   int              `json:"leaves"`
}
