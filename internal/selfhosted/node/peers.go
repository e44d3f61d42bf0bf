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

// Names of the methods that nodes call on each other.
const (
	methodQuery   = "query.owner"
	methodOutcome = "query.outcome"
	methodLeaving = "topology.leaving"
	methodMarks   = "topology.marks"
	methodDrain   = "node.drain"
)

const (
	// noticeTimeout bounds one call that sends notices.
	noticeTimeout = time.Second
	// noticeAttempts is the maximum number of calls to a member that does not respond. Notices are
	// idempotent, so repeating a call is safe.
	noticeAttempts = 3
	// askTimeout bounds one question for the outcome of a query.
	askTimeout = time.Second
)

// queryResponse is the owner's response to a forwarded query. Exactly one field is set.
type queryResponse struct {
	Answer  *api.QueryResponse
	Problem *api.Problem
}

// leavingRequest carries notices of leaving leaves.
type leavingRequest struct {
	From    string
	Notices []topology.Notice
}

// leavingResponse acknowledges the notices.
type leavingResponse struct {
	Accepted bool
}

// drainRequest asks a node to start its planned stop. Node must be the name of the receiver.
type drainRequest struct {
	Node string
}

// drainResponse confirms that the planned stop has begun.
type drainResponse struct {
	Draining bool
}

// registerHandlers registers the handlers of peer calls and datagrams.
func (n *Node) registerHandlers() {
	peer.Register(n.peerServer, methodQuery, n.handleQuery)
	peer.Register(n.peerServer, methodOutcome, n.handleOutcome)
	peer.Register(n.peerServer, methodLeaving, n.handleNotices)
	peer.Register(n.peerServer, methodMarks, n.handleMarks)
	peer.Register(n.peerServer, methodDrain, n.handleDrain)
	n.datagrams.Handle(peer.KindMembership, n.membership.Receive)
	n.dissemination.Serve(n.datagrams, n.peerServer)
}

// handleQuery runs a forwarded query that this node owns. Problems are part of the response; other
// errors fail the call.
func (n *Node) handleQuery(ctx context.Context, _ netip.AddrPort, request *query.ForwardedQuery) (*queryResponse, error) {
	return newQueryResponse(n.queryRunner.RunForwarded(ctx, *request))
}

// handleOutcome returns the outcome of a query that was forwarded to this node before.
func (n *Node) handleOutcome(_ context.Context, _ netip.AddrPort, request *query.ForwardedQuery) (*queryResponse, error) {
	return newQueryResponse(n.queryRunner.ForwardedOutcome(*request))
}

func newQueryResponse(answer *api.QueryResponse, err error) (*queryResponse, error) {
	if err == nil {
		return &queryResponse{Answer: answer}, nil
	}
	var problem *api.Problem
	if errors.As(err, &problem) {
		return &queryResponse{Problem: problem}, nil
	}
	return nil, err
}

// handleNotices applies notices of leaving leaves.
func (n *Node) handleNotices(_ context.Context, _ netip.AddrPort, request *leavingRequest) (*leavingResponse, error) {
	for _, notice := range request.Notices {
		n.healthCheck.ApplyNotice(notice)
	}
	return &leavingResponse{Accepted: true}, nil
}

// handleDrain starts the planned stop of this node.
func (n *Node) handleDrain(_ context.Context, _ netip.AddrPort, request *drainRequest) (*drainResponse, error) {
	if request.Node != n.settings.Name {
		return nil, fmt.Errorf("drain node %q: this is node %q", request.Node, n.settings.Name)
	}
	n.beginDrain()
	return &drainResponse{Draining: true}, nil
}

// forwarder sends queries to the nodes that own them.
type forwarder struct {
	node *Node
}

// Forward calls the owner once. It never retries after a lost response, because the query may have
// run.
func (f forwarder) Forward(ctx context.Context, name string, request query.ForwardedQuery) (*api.QueryResponse, error) {
	return f.call(name, func(owner netip.AddrPort, response *queryResponse) error {
		withdrawAt := time.Now().Add(request.Remaining)
		return f.node.peerClient.CallOnce(ctx, owner, methodQuery, &request, response, withdrawAt)
	})
}

// AskOutcome calls the node once.
func (f forwarder) AskOutcome(ctx context.Context, name string, request query.ForwardedQuery) (*api.QueryResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return f.call(name, func(owner netip.AddrPort, response *queryResponse) error {
		return f.node.peerClient.Call(ctx, owner, methodOutcome, &request, response)
	})
}

// call looks up a node, makes a call to it and unpacks the response.
func (f forwarder) call(name string, makeCall func(owner netip.AddrPort, response *queryResponse) error) (*api.QueryResponse, error) {
	member, ok := f.node.membership.Lookup(name)
	if !ok || member.State == membership.StateGone {
		return nil, &query.ForwardError{Node: name, Sent: false, Err: errors.New("the owner is not a current member")}
	}
	var response queryResponse
	if err := makeCall(member.Address, &response); err != nil {
		return nil, &query.ForwardError{Node: name, Sent: !peer.NotExecuted(err), Err: err}
	}
	if response.Problem != nil {
		return nil, response.Problem
	}
	if response.Answer == nil {
		return nil, &query.ForwardError{Node: name, Sent: true, Err: errors.New("the response has neither an answer nor a problem")}
	}
	return response.Answer, nil
}

// broadcastNotices sends notices of leaving leaves to all other members in the background.
func (n *Node) broadcastNotices(notices []topology.Notice) {
	for _, member := range n.membership.Members() {
		if member.Name == n.settings.Name || member.State == membership.StateGone {
			continue
		}
		n.backgroundTasks.Go(func() { n.sendNotices(member, notices) })
	}
}

// sendNotices sends notices to one member, with retries.
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

// datagramSender sends datagrams of one kind.
type datagramSender struct {
	datagrams *peer.Datagrams
	kind      peer.DatagramKind
}

// Send sends one datagram without a guarantee of delivery.
func (d datagramSender) Send(to netip.AddrPort, payload []byte) error {
	return d.datagrams.Send(d.kind, to, payload)
}

// healthSink passes the results of the health check to the service connections and to the other
// nodes.
type healthSink struct {
	*serviceConns
	node *Node
}

// Notify sends notices of leaving leaves to the other nodes.
func (s healthSink) Notify(notices []topology.Notice) {
	s.node.broadcastNotices(notices)
}
