package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/micaplank/micaplank/internal/roster"
)

// Report is the report of a node to the decider.
type Report struct {
	// Node is the incarnation of the node.
	Node string
	// Decider is the incarnation of the decider that has already received the counts that Rows
	// omits; empty if Rows is complete.
	Decider string
	// Rows holds the counts since the start of the node.
	Rows []Row
	// Orders holds the progress of the open orders that the node knows.
	Orders []Progress
}

// Progress is the progress of a node with one order.
type Progress struct {
	Service string
	// Order is the number of the order, and Version its version. Nodes of a previous version leave
	// the version empty.
	Order   uint64
	Version string
	Phase   Phase
	// Age is the time since the order.
	Age time.Duration
	// Bad describes why the target is bad; empty while there is no evidence. Nodes repeat it, so
	// that a verdict survives the loss of the decider.
	Bad string
	// Busy is the number of the node's attempts in flight at leaves of other versions.
	Busy int
}

// Reply is the answer to a Report.
type Reply struct {
	// Decider is the incarnation of the deciding node. A different incarnation than before has
	// received no reports yet.
	Decider string
	// Deciding is false if the node cannot write to the store now; another node may be able to.
	Deciding bool
	Grants   []Grant
}

// Grant is the decider's permission and state for one order.
type Grant struct {
	Service string
	// Order and Version identify the order as in Progress.
	Order   uint64
	Version string
	// Open allows the node to spend its allowance.
	Open bool
	// Bad describes why the target is bad; empty while there is no evidence.
	Bad string
	// Age is the time since the order.
	Age    time.Duration
	Record Record
}

// toGrant returns the progress of a node with an order as a Grant that is not open; see Table.Merge.
func (p Progress) toGrant(node string, order Order) Grant {
	return Grant{
		Service: p.Service, Order: p.Order, Version: p.Version, Age: p.Age, Bad: p.Bad,
		Record: Record{Service: p.Service, Order: p.Order, Version: order.Version, Phase: p.Phase, Reason: "as node " + node + " reports"},
	}
}

const (
	// GrantTTL is the lifetime of a grant, from the moment at which the node sent the report that
	// the grant answers. It is longer than the failover to another decider, for which a node needs
	// 0.6 s, and well below the time in which a bad version must stop getting requests (5 s).
	GrantTTL = 2 * time.Second
	// reportTTL is the time for which a report counts as the current state of its node. It equals
	// GrantTTL, after which the node may not send attempts under the grant that answered the
	// report.
	reportTTL = 2 * time.Second
	// minReportInterval is the minimum time between two reports of a node, and maxReportRate the
	// maximum number of reports that one decider receives in a second. 66 nodes report every 0.33
	// s, at 120 KB/s in total (docs/design/0015-rollouts.md).
	minReportInterval = 300 * time.Millisecond
	maxReportRate     = 200
	// maxParticipants bounds the nodes that take part. Evidence needs no more nodes, and the
	// decider's network link and processor cannot handle more (docs/CAPACITY.md).
	maxParticipants = 128
	// maxCandidates is the number of nodes that may decide. If half of all nodes are lost at once
	// while they are still announced, at least one candidate is left in 255 of 256 cases.
	maxCandidates = 8
)

// Interval returns the time between two reports of each node.
func Interval(nodes int) time.Duration {
	return max(minReportInterval, time.Duration(nodes)*time.Second/maxReportRate)
}

// Participants returns the nodes that take part: those with the most cores first, and nodes of the
// same size ordered by a hash of their names. Every node computes the same result.
func Participants(members []roster.Member) []roster.Member {
	return selectMembers(members, maxParticipants)
}

// Candidates returns the nodes that may decide, in order of preference. Large nodes come first,
// because they need less time to evaluate many rollouts.
func Candidates(members []roster.Member) []roster.Member {
	return selectMembers(members, maxCandidates)
}

// selectMembers returns the first members by cores and hash, at most count.
func selectMembers(members []roster.Member, count int) []roster.Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b roster.Member) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(hashName(a), hashName(b)))
	})
	return sorted[:min(len(sorted), count)]
}

// containsNode reports whether members contains a node with the given name.
func containsNode(members []roster.Member, name string) bool {
	return slices.ContainsFunc(members, func(member roster.Member) bool { return member.Name == name })
}

func hashName(member roster.Member) uint64 { return xxhash.Sum64String("rollout\x00" + member.Name) }
