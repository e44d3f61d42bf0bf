package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/micaplank/micaplank/internal/selfhosted/membership"
	"github.com/micaplank/micaplank/internal/selfhosted/topology"
)

// A notice of a leaving leaf is pushed to the other nodes. A node that is suspended or partitioned
// at that time misses the push and would continue to send work to the leaf. Each node therefore
// also fetches all marks from another node periodically, and sends no work unless a fetch succeeded
// recently.
const (
	// markSyncInterval is the time between two synchronizations.
	markSyncInterval = time.Second
	// markSyncRetryDelay is the time until a failed synchronization is retried.
	markSyncRetryDelay = 200 * time.Millisecond
	// markSyncTimeout bounds one call for the marks.
	markSyncTimeout = 500 * time.Millisecond
	// markSyncValidity is how long a node may send work after the start of its last successful
	// synchronization. A leaf that is marked as leaving receives no new work from any node after
	// this time plus a few round trips.
	markSyncValidity = 3 * time.Second
	// markSyncMaximumPeers bounds the members that one synchronization calls.
	markSyncMaximumPeers = 5
)

// marksRequest asks a node for its marks of leaving leaves.
type marksRequest struct {
	From string
}

// marksResponse holds the marks of the responding node. InStep reports whether its own last
// synchronization is still valid.
type marksResponse struct {
	Notices []topology.Notice
	InStep  bool
}

// markSyncState records when this node last synchronized its marks with other nodes. It is safe for
// concurrent use.
type markSyncState struct {
	// syncedAt is a reading of the node's clock in nanoseconds; zero means never.
	syncedAt atomic.Int64
}

// recordSync records a successful synchronization that began at the given clock reading.
func (s *markSyncState) recordSync(now time.Duration) { s.syncedAt.Store(int64(now)) }

// isCurrent reports whether the last synchronization is still valid.
func (s *markSyncState) isCurrent(now time.Duration) bool {
	at := time.Duration(s.syncedAt.Load())
	return at > 0 && now-at < markSyncValidity
}

// handleMarks returns the marks of this node.
func (n *Node) handleMarks(context.Context, netip.AddrPort, *marksRequest) (*marksResponse, error) {
	return &marksResponse{Notices: n.healthCheck.LeavingMarks(), InStep: n.markSync.isCurrent(n.clock.Now())}, nil
}

// runMarkSync synchronizes the marks of leaving leaves until the node closes. The start of a
// synchronization counts as its time, since its responses may miss marks that were set later.
func (n *Node) runMarkSync() {
	startedAt := n.clock.Now()
	for {
		delay := markSyncInterval
		if requestedAt := n.clock.Now(); n.syncMarks(startedAt) {
			n.markSync.recordSync(requestedAt)
		} else {
			delay = markSyncRetryDelay
		}
		select {
		case <-n.backgroundContext.Done():
			return
		case <-time.After(delay):
		}
	}
}

// syncMarks calls members one after the other until a member whose marks are current responds. If
// all called members respond and none is current, no member has newer marks and the synchronization
// counts as successful too. It reports success.
func (n *Node) syncMarks(startedAt time.Duration) bool {
	others := n.listOtherMembers()
	if len(others) == 0 {
		// Without other members, the node is either the only one or has just started and has not
		// discovered the others yet.
		return n.isOnlyVoter() || n.clock.Now()-startedAt >= markSyncValidity
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	failed := false
	for _, member := range others[:min(len(others), markSyncMaximumPeers)] {
		response, err := n.fetchMarks(member)
		if err != nil {
			failed = true
			continue
		}
		for _, notice := range response.Notices {
			n.healthCheck.ApplyNotice(notice)
		}
		if response.InStep {
			return true
		}
	}
	return !failed
}

// fetchMarks calls one member for its marks.
func (n *Node) fetchMarks(member membership.Member) (*marksResponse, error) {
	ctx, cancel := context.WithTimeout(n.backgroundContext, markSyncTimeout)
	defer cancel()
	response := new(marksResponse)
	err := n.peerClient.Call(ctx, member.Address, methodMarks, &marksRequest{From: n.settings.Name}, response)
	return response, err
}

// listOtherMembers returns the members, except for this node, that are not known to be gone.
func (n *Node) listOtherMembers() []membership.Member {
	var others []membership.Member
	for _, member := range n.membership.Members() {
		if member.Name != n.settings.Name && member.State != membership.StateGone {
			others = append(others, member)
		}
	}
	return others
}

// isOnlyVoter reports whether the catalog has no voter besides this node.
func (n *Node) isOnlyVoter() bool {
	voters := n.dissemination.Current().VoterNames()
	return len(voters) == 0 || len(voters) == 1 && voters[0] == n.settings.Name
}
