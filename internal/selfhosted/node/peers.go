package node

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/micaplank/micaplank/internal/peer"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
	"github.com/micaplank/micaplank/internal/selfhosted/membership"
	"github.com/micaplank/micaplank/internal/selfhosted/query"
	"github.com/micaplank/micaplank/internal/selfhosted/topology"
)

// Methods of the calls between nodes.
const (
	methodQuery   = "query.owner"
	methodLeaving = "topology.leaving"
	methodMarks   = "topology.marks"
	methodDrain   = "node.drain"
)

const (
	// noticeTimeout bounds one call that spreads a notice.
	noticeTimeout = time.Second
	// noticeTries is how often a notice is sent to a member that does not
	// answer. Repeating it is safe: a notice only sets a mark.
	noticeTries = 3
)

// queryReply is the answer of the owner: exactly one field is set.
type queryReply struct {
	Answer  *api.QueryResponse
	Problem *api.Problem
}

// leavingCall spreads marks of leaving leaves.
type leavingCall struct {
	From    string
	Notices []topology.Notice
}

type leavingReply struct {
	Accepted bool
}

type drainCall struct {
	Node string
}

type drainReply struct {
	Draining bool
}

// registerCalls offers this node's methods to its peers.
func (n *Node) registerCalls() {
	peer.Register(n.peerServer, methodQuery, n.takeForward)
	peer.Register(n.peerServer, methodLeaving, n.takeNotices)
	peer.Register(n.peerServer, methodMarks, n.takeMarks)
	peer.Register(n.peerServer, methodDrain, n.takeDrain)
	n.datagrams.Handle(peer.KindMembership, n.membership.Receive)
	n.dissemination.Serve(n.datagrams, n.peerServer)
}

func (n *Node) takeForward(ctx context.Context, _ netip.AddrPort, forward *query.Forward) (*queryReply, error) {
	answer, err := n.queries.Own(ctx, *forward)
	if err == nil {
		return &queryReply{Answer: answer}, nil
	}
	var problem *api.Problem
	if errors.As(err, &problem) {
		return &queryReply{Problem: problem}, nil
	}
	return nil, err
}

func (n *Node) takeNotices(_ context.Context, _ netip.AddrPort, call *leavingCall) (*leavingReply, error) {
	for _, notice := range call.Notices {
		n.health.Apply(notice)
	}
	return &leavingReply{Accepted: true}, nil
}

func (n *Node) takeDrain(_ context.Context, _ netip.AddrPort, call *drainCall) (*drainReply, error) {
	if call.Node != n.settings.Name {
		return nil, fmt.Errorf("this is node %s, not %s", n.settings.Name, call.Node)
	}
	n.beginDrain()
	return &drainReply{Draining: true}, nil
}

// forwarder sends queries to their owners.
type forwarder struct {
	node *Node
}

// Forward calls the owner once. A lost answer is not asked for again: the
// query may have run.
func (f forwarder) Forward(ctx context.Context, name string, forward query.Forward) (*api.QueryResponse, error) {
	member, known := f.node.membership.Lookup(name)
	if !known || member.State == membership.StateGone {
		return nil, &query.ForwardError{Node: name, Sent: false, Err: errors.New("the owner is not a member now")}
	}
	var reply queryReply
	if err := f.node.calls.Call(ctx, member.Address, methodQuery, &forward, &reply); err != nil {
		return nil, &query.ForwardError{Node: name, Sent: !peer.NotExecuted(err), Err: err}
	}
	if reply.Problem != nil {
		return nil, reply.Problem
	}
	if reply.Answer == nil {
		return nil, &query.ForwardError{Node: name, Sent: true, Err: errors.New("empty reply")}
	}
	return reply.Answer, nil
}

// spread notifies the other members of leaving leaves. It returns at once.
func (n *Node) spread(notices []topology.Notice) {
	for _, member := range n.membership.Members() {
		if member.Name == n.settings.Name || member.State == membership.StateGone {
			continue
		}
		n.background.Go(func() { n.sendNotices(member, notices) })
	}
}

func (n *Node) sendNotices(member membership.Member, notices []topology.Notice) {
	call := leavingCall{From: n.settings.Name, Notices: notices}
	for range noticeTries {
		ctx, cancel := context.WithTimeout(n.running, noticeTimeout)
		err := n.calls.Call(ctx, member.Address, methodLeaving, &call, &leavingReply{})
		cancel()
		if err == nil || n.running.Err() != nil {
			return
		}
	}
}

// datagramsOf sends the datagrams of one kind.
type datagramsOf struct {
	datagrams *peer.Datagrams
	kind      peer.DatagramKind
}

// Send sends one datagram; it may be lost.
func (d datagramsOf) Send(to netip.AddrPort, payload []byte) error {
	return d.datagrams.Send(d.kind, to, payload)
}

// sink takes what the health check learns.
type sink struct {
	*services
	node *Node
}

// Notify spreads marks to the other nodes.
func (s sink) Notify(notices []topology.Notice) {
	s.node.spread(notices)
}
