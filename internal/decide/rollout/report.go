package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/micaplank/micaplank/internal/roster"
)

// Report is what a node reports to the decider.
type Report struct {
	// Node is the incarnation of the node.
	Node string
	// Decider is the incarnation of the decider that has received what Rows leave out;
	// empty if they leave out nothing.
	Decider string
	// Rows are its counts since its start.
	Rows []Row
	// Orders are those that it knows to be open.
	Orders []Progress
}

// Progress is how far a node is with one order.
type Progress struct {
	Service string
	Order   uint64
	Phase   Phase
	// Age is the time since the order.
	Age time.Duration
	// Bad says why the target is bad; empty while nothing shows that. A verdict
	// outlasts the decider that found it.
	Bad string
	// Busy is how many attempts of the node are in flight at leaves of other
	// versions.
	Busy int
}

// Reply answers a Report.
type Reply struct {
	// Decider is the incarnation of the node that decides. Another one than before
	// has received nothing yet.
	Decider string
	// Deciding is false if the node cannot write to the store now: another one may
	// be able to.
	Deciding bool
	Grants   []Grant
}

// Grant is what the decider grants for one order.
type Grant struct {
	Service string
	Order   uint64
	// Open lets the node spend its allowance.
	Open bool
	// Bad says why the target is bad; empty while nothing shows that.
	Bad string
	// Age is the time since the order.
	Age    time.Duration
	Record Record
}

const (
	// GrantTTL is how long a grant holds, from the moment at which the report was
	// sent that it answers. It outlasts the loss of a decider, which takes a node
	// 0.6 s to see, and is well below the time in which a bad version must get
	// nothing more (5 s for each deployment so far).
	GrantTTL = 2 * time.Second
	// reportMemory is how long a report counts for what its node does now. Not measured:
	// chosen because it is GrantTTL, after which the node may send nothing by it.
	reportTTL = 2 * time.Second
	// leastInterval is the time between two reports of a node, and reportRate how many
	// a second one decider receives at most: with 66 nodes one in 0.33 s, 120 KB a second
	// (docs/design/0015-rollouts.md).
	minReportInterval = 300 * time.Millisecond
	maxReportRate     = 200
	// mostNodes bounds the nodes that take part: evidence needs no more, and the decider's
	// link and processor bear no more (docs/CAPACITY.md).
	maxParticipants = 128
	// candidates is how many nodes may decide. Where half of all are lost at once,
	// and still count as announced, one of them is left but for once in 256.
	maxCandidates = 8
)

// Interval returns the time between two reports of each of some nodes.
func Interval(nodes int) time.Duration {
	return max(minReportInterval, time.Duration(nodes)*time.Second/maxReportRate)
}

// Participants returns the nodes that take part: those with most cores first, and
// otherwise by a hash of their names. Every node computes the same.
func Participants(members []roster.Member) []roster.Member {
	return selectMembers(members, maxParticipants)
}

// Candidates returns the nodes that may decide, the first one first: large ones, which
// judge many roll-outs at once in less time.
func Candidates(members []roster.Member) []roster.Member {
	return selectMembers(members, maxCandidates)
}

func selectMembers(members []roster.Member, count int) []roster.Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b roster.Member) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(hashName(a), hashName(b)))
	})
	return sorted[:min(len(sorted), count)]
}

// containsNode reports whether a node is among some.
func containsNode(members []roster.Member, name string) bool {
	return slices.ContainsFunc(members, func(member roster.Member) bool { return member.Name == name })
}

func hashName(member roster.Member) uint64 { return xxhash.Sum64String("rollout\x00" + member.Name) }
