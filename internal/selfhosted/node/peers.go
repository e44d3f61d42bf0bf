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
	noticeAttempts = 3
)

// queryReply is the answer of the owner: exactly one field is set.
type queryResponse struct {
	Answer  *api.QueryResponse
	Problem *api.Problem
}

// leavingCall spreads marks of leaving leaves.
type leavingRequest struct {
	From    string
	Notices []topology.Notice
}

type leavingResponse struct {
	Accepted bool
}

type drainRequest struct {
	Node string
}

type drainResponse struct {
	Draining bool
}

// registerCalls offers this node's methods to its peers.
func (n *Node) registerHandlers() {
	peer.Register(n.peerServer, methodQuery, n.handleQuery)
	peer.Register(n.peerServer, methodLeaving, n.handleNotices)
	peer.Register(n.peerServer, methodMarks, n.handleMarks)
	peer.Register(n.peerServer, methodDrain, n.handleDrain)
	n.datagrams.Handle(peer.KindMembership, n.membership.Receive)
	n.dissemination.Serve(n.datagrams, n.peerServer)
}

func (n *Node) handleQuery(ctx context.Context, _ netip.AddrPort, request *query.Forward) (*queryResponse, error) {
	response, err := n.queryRunner.Own(ctx, *request)
	if err == nil {
		return &queryResponse{Answer: response}, nil
	}
	var problem *api.Problem
	if errors.As(err, &problem) {
		return &queryResponse{Problem: problem}, nil
	}
	return nil, err
}

func (n *Node) handleNotices(_ context.Context, _ netip.AddrPort, request *leavingRequest) (*leavingResponse, error) {
	for _, notice := range request.Notices {
		n.healthCheck.Apply(notice)
	}
	return &leavingResponse{Accepted: true}, nil
}

func (n *Node) handleDrain(_ context.Context, _ netip.AddrPort, request *drainRequest) (*drainResponse, error) {
	if request.Node != n.settings.Name {
		return nil, fmt.Errorf("this is node %s, not %s", n.settings.Name, request.Node)
	}
	n.beginDrain()
	return &drainResponse{Draining: true}, nil
}

// forwarder sends queries to their owners.
type forwarder struct {
	node *Node
}

// Forward calls the owner once. A lost answer is not asked for again: the
// query may have run.
func (f forwarder) Forward(ctx context.Context, name string, request query.Forward) (*api.QueryResponse, error) {
	member, ok := f.node.membership.Lookup(name)
	if !ok || member.State == membership.StateGone {
		return nil, &query.ForwardError{Node: name, Sent: false, Err: errors.New("the owner is not a member now")}
	}
	var response queryResponse
	if err := f.node.peerClient.Call(ctx, member.Address, methodQuery, &request, &response); err != nil {
		return nil, &query.ForwardError{Node: name, Sent: !peer.NotExecuted(err), Err: err}
	}
	if response.Problem != nil {
		return nil, response.Problem
	}
	if response.Answer == nil {
		return nil, &query.ForwardError{Node: name, Sent: true, Err: errors.New("empty reply")}
	}
	return response.Answer, nil
}

// spread notifies the other members of leaving leaves. It returns at once.
func (n *Node) broadcastNotices(notices []topology.Notice) {
	for _, member := range n.membership.Members() {
		if member.Name == n.settings.Name || member.State == membership.StateGone {
			continue
		}
		n.backgroundTasks.Go(func() { n.sendNotices(member, notices) })
	}
}

func (n *Node) sendNotices(member membership.Member, notices []topology.Notice) {
	request := leavingRequest{From: n.settings.Name, Notices: notices}
	for range noticeAttempts {
		ctx, cancel := context.WithTimeout(n.backgroundContext, noticeTimeout)
		err := n.peerClient.Call(ctx, member.Address, methodLeaving, &request, &leavingResponse{})
		cancel()
		if err == nil || n.backgroundContext.Err() != nil {
			return
		}
	}
}

// datagramsOf sends the datagrams of one kind.
type datagramSender struct {
	datagrams *peer.Datagrams
	kind      peer.Kind
}

// Send sends one datagram; it may be lost.
func (d datagramSender) Send(to netip.AddrPort, payload []byte) error {
	return d.datagrams.Send(d.kind, to, payload)
}

// sink takes what the health check learns.
type healthSink struct {
	*serviceConns
	node *Node
}

// Notify spreads marks to the other nodes.
func (s healthSink) Notify(notices []topology.Notice) {
	s.node.broadcastNotices(notices)
}
