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
	marksInterval = time.Second
	// marksRetry is the time after which a failed question is repeated.
	marksRetry = 200 * time.Millisecond
	// marksTimeout bounds one question.
	marksTimeout = 500 * time.Millisecond
	// marksLifetime is how long a node sends work after its last question
	// that was answered. A leaf that is called leaving gets no new work after
	// this time plus a few round trips, by no node.
	marksLifetime = 3 * time.Second
	// marksAsked is how many members are asked at most in one round.
	marksAsked = 5
)

// marksCall asks for the marks in force.
type marksCall struct {
	From string
}

// marksReply holds them. InStep says that the answering node has been in touch
// with others of late itself.
type marksReply struct {
	Notices []topology.Notice
	InStep  bool
}

// marksClock remembers when this node last was in step with the marks of
// others. It is safe for concurrent use.
type marksClock struct {
	// at is a reading of the node's clock, in nanoseconds; zero means never.
	at atomic.Int64
}

func (c *marksClock) set(now time.Duration) { c.at.Store(int64(now)) }

func (c *marksClock) inStep(now time.Duration) bool {
	at := time.Duration(c.at.Load())
	return at > 0 && now-at < marksLifetime
}

func (n *Node) takeMarks(context.Context, netip.AddrPort, *marksCall) (*marksReply, error) {
	return &marksReply{Notices: n.health.Marks(), InStep: n.marks.inStep(n.clock.Now())}, nil
}

// followMarks keeps the marks of leaving leaves in step with other nodes.
func (n *Node) followMarks() {
	started := n.clock.Now()
	for {
		pause := marksInterval
		if asked := n.clock.Now(); n.askForMarks(started) {
			n.marks.set(asked)
		} else {
			pause = marksRetry
		}
		select {
		case <-n.running.Done():
			return
		case <-time.After(pause):
		}
	}
}

// askForMarks asks members, one after the other, until one that is in step
// answers, or some have answered and none is: then nobody knows more. It
// reports whether this node is in step now.
func (n *Node) askForMarks(started time.Duration) bool {
	others := n.otherMembers()
	if len(others) == 0 {
		// A node without company is alone, or has just started and does
		// not know the others yet.
		return n.isOnlyVoter() || n.clock.Now()-started >= marksLifetime
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	failed := false
	for _, member := range others[:min(len(others), marksAsked)] {
		reply, err := n.callForMarks(member)
		if err != nil {
			failed = true
			continue
		}
		for _, notice := range reply.Notices {
			n.health.Apply(notice)
		}
		if reply.InStep {
			return true
		}
	}
	return !failed
}

func (n *Node) callForMarks(member membership.Member) (*marksReply, error) {
	ctx, cancel := context.WithTimeout(n.running, marksTimeout)
	defer cancel()
	reply := new(marksReply)
	err := n.calls.Call(ctx, member.Address, methodMarks, &marksCall{From: n.settings.Name}, reply)
	return reply, err
}

// otherMembers returns the members that may be up, without this node.
func (n *Node) otherMembers() []membership.Member {
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
