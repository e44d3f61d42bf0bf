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

// Notices of leaving leaves are pushed once. A node that was frozen or cut off
// at that time would go on sending work, so each node also asks another one for
// all marks, regularly, and sends no work unless it has done so of late.
const (
	// marksInterval is the time between two such questions.
	markSyncInterval = time.Second
	// marksRetry is the time after which a failed question is repeated.
	markSyncRetryDelay = 200 * time.Millisecond
	// marksTimeout bounds one question.
	markSyncTimeout = 500 * time.Millisecond
	// marksLifetime is how long a node sends work after its last question
	// that was answered. A leaf that is called leaving gets no new work after
	// this time plus a few round trips, by no node.
	markSyncValidity = 3 * time.Second
	// marksAsked is how many members are asked at most in one round.
	markSyncMaximumPeers = 5
)

// marksCall asks for the marks in force.
type marksRequest struct {
	From string
}

// marksReply holds them. InStep says that the answering node has been in touch
// with others of late itself.
type marksResponse struct {
	Notices []topology.Notice
	InStep  bool
}

// marksClock remembers when this node last was in step with the marks of
// others. It is safe for concurrent use.
type markSyncState struct {
	// at is a reading of the node's clock, in nanoseconds; zero means never.
	syncedAt atomic.Int64
}

func (c *markSyncState) recordSync(now time.Duration) { c.syncedAt.Store(int64(now)) }

func (c *markSyncState) isCurrent(now time.Duration) bool {
	at := time.Duration(c.syncedAt.Load())
	return at > 0 && now-at < markSyncValidity
}

func (n *Node) handleMarks(context.Context, netip.AddrPort, *marksRequest) (*marksResponse, error) {
	return &marksResponse{Notices: n.healthCheck.Marks(), InStep: n.markSync.isCurrent(n.clock.Now())}, nil
}

// followMarks keeps the marks of leaving leaves in step with other nodes.
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

// askForMarks asks members, one after the other, until one that is in step
// answers, or some have answered and none is: then nobody knows more. It
// reports whether this node is in step now.
func (n *Node) syncMarks(startedAt time.Duration) bool {
	others := n.listOtherMembers()
	if len(others) == 0 {
		// A node without company is alone, or has just started and does
		// not know the others yet.
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
			n.healthCheck.Apply(notice)
		}
		if response.InStep {
			return true
		}
	}
	return !failed
}

func (n *Node) fetchMarks(member membership.Member) (*marksResponse, error) {
	ctx, cancel := context.WithTimeout(n.backgroundContext, markSyncTimeout)
	defer cancel()
	response := new(marksResponse)
	err := n.peerClient.Call(ctx, member.Address, methodMarks, &marksRequest{From: n.settings.Name}, response)
	return response, err
}

// otherMembers returns the members that may be up, without this node.
func (n *Node) listOtherMembers() []membership.Member {
	var others []membership.Member
	for _, member := range n.membership.Members() {
		if member.Name != n.settings.Name && member.State != membership.StateGone {
			others = append(others, member)
		}
	}
	return others
}

func (n *Node) isOnlyVoter() bool {
	voters := n.dissemination.Current().VoterNames()
	return len(voters) == 0 || len(voters) == 1 && voters[0] == n.settings.Name
}
