package dissemination

import (
	"net/netip"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
)

// Time is a reading of a monotonic clock with an arbitrary origin.
type Time = time.Duration

// Member describes a node as reported by the membership service.
type Member struct {
	Name        string
	Zone        string
	Address     netip.AddrPort
	Incarnation uint64
	// Alive is false for members that are suspected, leaving or gone.
	Alive bool
}

// Packet is one datagram between nodes. Exactly one field is set.
type Packet struct {
	Request  *ExchangeRequest
	Response *ExchangeResponse
	Push     *Push
}

// ExchangeRequest asks a peer for its revision and confirmation. The peer must answer immediately.
type ExchangeRequest struct {
	// Sequence is echoed by the response. It is unique across restarts, so that a response to a
	// previous process of the same node is ignored.
	Sequence    uint64
	Name        string
	Incarnation uint64
	Revision    uint64
	// Claim reports that the sender is a voter. The receiver then registers its incarnation.
	Claim bool
	// Known is a hash of the voter incarnations known to the sender.
	Known uint64
}

// ExchangeResponse answers an ExchangeRequest.
type ExchangeResponse struct {
	Sequence    uint64
	Name        string
	Incarnation uint64
	Revision    uint64
	// Voter reports that the sender is a recovered voter, so that its revision counts toward a
	// quorum.
	Voter bool
	// Confirmed reports that Age is set. Age is the time since the sender's confirmation, computed
	// after the request arrived.
	Confirmed bool
	Age       time.Duration
	// Claims lists the highest voter incarnations known to the sender. It is empty if the hash in
	// the request shows that the requester has the same ones.
	Claims []Claim
}

// Claim is an incarnation of the process that occupies a voter slot.
type Claim struct {
	Name        string
	Incarnation uint64
}

// Push sends new changes to a peer. Changes is empty if they do not fit into a datagram; the
// receiver then fetches them.
type Push struct {
	Name     string
	Revision uint64
	Changes  []catalog.Change
}

// Outgoing is a packet with its destination.
type Outgoing struct {
	To     netip.AddrPort
	Packet Packet
}

// FetchRequest asks a peer for the changes after Revision.
type FetchRequest struct {
	Revision uint64
}

// FetchResponse carries the changes after the requested revision, or a complete catalog if the peer
// no longer keeps all of these changes.
type FetchResponse struct {
	Changes    []catalog.Change
	Checkpoint *catalog.Catalog
}

// Fetch is a FetchRequest with its destination. The driver reports the outcome, including a
// failure, with StepFetched.
type Fetch struct {
	To      netip.AddrPort
	Request FetchRequest
}

// Fate is the known outcome of a change.
type Fate string

// Outcomes of a change.
const (
	// FateInForce means that the change is accepted and every serving member holds it.
	FateInForce Fate = "in_force"
	// FateAccepted means that the change is permanent, but some members may serve without it until
	// the freshness window has passed.
	FateAccepted Fate = "accepted"
	// FateNotAccepted means that the change has not taken effect and never will.
	FateNotAccepted Fate = "not_accepted"
	// FateUnknown means that the outcome is undecided; the caller can ask again with the change ID.
	FateUnknown Fate = "unknown"
	// FateDryRun means that the change is valid at Revision. Nothing was written.
	FateDryRun Fate = "dry_run"
)

// Result is the outcome of a proposal.
type Result struct {
	Fate     Fate
	ChangeID string
	// Revision is the revision of the change if the store has it, otherwise the node's revision.
	Revision uint64
	// Stored reports that the change is permanently in the log. A stored change with an unknown
	// fate is not yet held by a majority of the voters.
	Stored bool
	// InForceOn is the number of alive members that are known to hold the change, out of Members.
	InForceOn int
	Members   int
	// Missing lists the names of the other alive members in sorted order.
	Missing []string
	// Detail explains the outcome to operators.
	Detail string
	// Refusal is the reason why the change was rejected, for example a *catalog.Error; otherwise
	// nil.
	Refusal error
}
