package node

import (
	"context"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
	"github.com/micaplank/micaplank/internal/selfhosted/membership"
	"github.com/micaplank/micaplank/internal/selfhosted/topology"
)

// Status describes the deployment as this node sees it.
func (o *operations) Status(_ context.Context) (*api.StatusResponse, error) {
	// In this order: a node that was fresh before its catalog was read holds
	// all that was accepted by then.
	fresh := o.node.dissemination.Fresh()
	current := o.node.dissemination.Current()
	nodes := o.node.nodeStatuses(current)
	return &api.StatusResponse{
		Revision: current.Revision,
		Fresh:    fresh,
		Nodes:    nodes,
		Voters:   voterStatuses(current, nodes),
		Leaves:   o.node.leafStatuses(),
		Services: o.node.serviceStatuses(current),
	}, nil
}

func (n *Node) nodeStatuses(current *catalog.Catalog) []api.NodeStatus {
	revisions := make(map[string]uint64)
	for _, peer := range n.dissemination.PeerRevisions() {
		revisions[peer.Name] = peer.Revision
	}
	statuses := []api.NodeStatus{}
	for _, member := range n.membership.Members() {
		_, voter := current.Voters[member.Name]
		status := api.NodeStatus{
			Name:        member.Name,
			Zone:        member.Zone,
			Address:     member.HTTPAddress.String(),
			State:       api.NodeState(member.State.String()),
			Incarnation: member.Incarnation,
			Revision:    revisions[member.Name],
			Voter:       voter,
			Serving:     member.State == membership.StateAlive,
		}
		if member.Name == n.settings.Name {
			status.Revision = current.Revision
			status.Serving = n.ready() == nil
		}
		statuses = append(statuses, status)
	}
	return statuses
}

func (n *Node) leafStatuses() []api.LeafStatus {
	states := n.dispatchStates()
	statuses := []api.LeafStatus{}
	for _, seen := range n.health.Statuses() {
		decided := states[leafKey{seen.Service, seen.Leaf.Address.String()}]
		statuses = append(statuses, api.LeafStatus{
			Service:  seen.Service,
			Address:  seen.Leaf.Address.String(),
			Zone:     seen.Leaf.Zone,
			State:    leafState(seen.Status, decided.Probation),
			Reason:   seen.Reason,
			Shards:   seen.Leaf.Shards,
			InFlight: decided.InFlight,
			Limit:    decided.Limit,
		})
	}
	return statuses
}

// leafKey names one leaf of one service.
type leafKey struct {
	service string
	address string
}

// dispatchStates gathers what the dispatchers think of their leaves.
func (n *Node) dispatchStates() map[leafKey]dispatch.LeafState {
	states := make(map[leafKey]dispatch.LeafState)
	for _, service := range n.dissemination.Current().ServiceNames() {
		conn, ok := n.services.conn(service)
		if !ok {
			continue
		}
		for _, state := range conn.LeafStates() {
			states[leafKey{service, state.Address.String()}] = state
		}
	}
	return states
}

func leafState(status topology.Status, probation bool) api.LeafState {
	switch status {
	case topology.StatusUsable:
		if probation {
			return api.LeafProbation
		}
		return api.LeafUsable
	case topology.StatusCold:
		return api.LeafCold
	case topology.StatusLeaving:
		return api.LeafLeaving
	}
	return api.LeafUnreachable
}

func (n *Node) serviceStatuses(current *catalog.Catalog) []api.ServiceStatus {
	statuses := []api.ServiceStatus{}
	for _, name := range current.ServiceNames() {
		service := current.Services[name]
		newest := service.Newest()
		status := api.ServiceStatus{
			Name:    name,
			Stopped: service.Stopped,
			Shards:  newest.Shards,
			Epoch:   newest.Epoch,
			Classes: len(service.Classes),
			Leaves:  len(service.Leaves),
		}
		if conn, ok := n.services.conn(name); ok {
			status.Snapshot = conn.Snapshot()
		}
		statuses = append(statuses, status)
	}
	return statuses
}
