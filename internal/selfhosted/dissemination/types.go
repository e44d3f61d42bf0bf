package dissemination

import (
	"net/netip"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
)

// Time is a reading of a monotonic clock: the time since an arbitrary origin.
type Time = time.Duration

// Member is one node, as the membership sees it.
type Member struct {
	Name        string
	Zone        string
	Address     netip.AddrPort
	Incarnation uint64
	// Alive is false for members that are suspected, leaving or gone.
	Alive bool
}

// Packet is one datagram between nodes: exactly one field is set.
type Packet struct {
	Request  *ExchangeRequest
	Response *ExchangeResponse
	Push     *Push
}

// ExchangeRequest asks a peer what it holds. It must be answered at once.
type ExchangeRequest struct {
	// Sequence is echoed by the response. It is unique across restarts, so
	// that an answer to a predecessor is not taken for one's own.
	Sequence    uint64
	Name        string
	Incarnation uint64
	Revision    uint64
	// Claim says that the sender holds a voter's slot; the receiver registers
	// the incarnation.
	Claim bool
	// Known is a hash of the incarnations of the voters' slots that the sender
	// knows.
	Known uint64
}

// ExchangeResponse answers an ExchangeRequest.
type ExchangeResponse struct {
	Sequence    uint64
	Name        string
	Incarnation uint64
	Revision    uint64
	// Voter says that the sender is a voter that has recovered, so that its
	// revision may be counted.
	Voter bool
	// Confirmed says that Age is set: the time since the sender's
	// confirmation, measured after the request had arrived.
	Confirmed bool
	Age       time.Duration
	// Claims lists the highest incarnations that the sender knows of voter
	// slots; it is empty if the requester knows the same ones.
	Claims []Claim
}

// Claim is an incarnation of a voter's slot.
type Claim struct {
	Name        string
	Incarnation uint64
}

// Push carries new changes to a peer. Changes is empty if they are too large for a
// datagram; the receiver then fetches them.
type Push struct {
	Name     string
	Revision uint64
	Changes  []catalog.Change
}

// Outgoing is a packet to be sent.
type Outgoing struct {
	To     netip.AddrPort
	Packet Packet
}

// FetchRequest asks a peer for the changes after Revision.
type FetchRequest struct {
	Revision uint64
}

// FetchResponse carries the changes that follow, or a whole catalog if the
// peer does not have them any more.
type FetchResponse struct {
	Changes    []catalog.Change
	Checkpoint *catalog.Catalog
}

// Fetch is a FetchRequest to be sent. The driver reports its end by
// StepFetched, also if it failed.
type Fetch struct {
	To      netip.AddrPort
	Request FetchRequest
}

// Fate is what is known of a change.
type Fate string

// The fates.
const (
	// FateInForce: accepted, and every serving member holds it.
	FateInForce Fate = "in_force"
	// FateAccepted: never reverts, but some members may serve without it until
	// the window has passed.
	FateAccepted Fate = "accepted"
	// FateNotAccepted: it has not taken effect and never will.
	FateNotAccepted Fate = "not_accepted"
	// FateUnknown: not settled; ask again by the change id.
	FateUnknown Fate = "unknown"
	// FateDryRun: valid at Revision; nothing was written.
	FateDryRun Fate = "dry_run"
)

// Result is the end of a proposal.
type Result struct {
	Fate     Fate
	ChangeID string
	// Revision is that of the change if the store has it, else the node's.
	Revision uint64
	// Stored says that the change stays in the log. A stored change of
	// unknown fate is not yet held by a majority of the voters.
	Stored bool
	// InForceOn counts the alive members known to hold the change, of Members.
	InForceOn int
	Members   int
	// Missing names the other alive members, in order.
	Missing []string
	// Detail says in words why, for operators.
	Detail string
	// Refusal is the reason of a change that the catalog refused, a
	// *catalog.Error; nil otherwise.
	Refusal error
}
