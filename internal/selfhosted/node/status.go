package node

import (
	"context"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
	"github.com/micaplank/micaplank/internal/selfhosted/membership"
	"github.com/micaplank/micaplank/internal/selfhosted/topology"
)

// Status returns the state of the deployment as observed by this node.
func (o *operations) Status(_ context.Context) (*api.StatusResponse, error) {
	// Freshness is read first. If the node is fresh at that time, the catalog that is read
	// afterwards contains every change that had been accepted by then.
	fresh := o.node.dissemination.Fresh()
	current := o.node.dissemination.Current()
	nodes := o.node.listNodeStatuses(current)
	return &api.StatusResponse{
		Revision: current.Revision,
		Fresh:    fresh,
		Nodes:    nodes,
		Voters:   listVoterStatuses(current, nodes),
		Leaves:   o.node.listLeafStatuses(),
		Services: o.node.listServiceStatuses(current),
	}, nil
}

// listNodeStatuses returns the state of each member. The revisions of other nodes are those that
// they last reported.
func (n *Node) listNodeStatuses(current *catalog.Catalog) []api.NodeStatus {
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
			status.Serving = n.checkReady() == nil
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// listLeafStatuses returns the state of each leaf as the health check and the dispatchers of this
// node observe it.
func (n *Node) listLeafStatuses() []api.LeafStatus {
	states := n.collectDispatchStates()
	statuses := []api.LeafStatus{}
	for _, health := range n.healthCheck.Statuses() {
		dispatchState := states[leafKey{health.Service, health.Leaf.Address.String()}]
		statuses = append(statuses, api.LeafStatus{
			Service:  health.Service,
			Address:  health.Leaf.Address.String(),
			Zone:     health.Leaf.Zone,
			State:    combineLeafState(health.Status, dispatchState.Probation),
			Reason:   health.Reason,
			Shards:   health.Leaf.Shards,
			InFlight: dispatchState.InFlight,
			Limit:    dispatchState.Limit,
		})
	}
	return statuses
}

// leafKey identifies a leaf of a service.
type leafKey struct {
	service string
	address string
}

// collectDispatchStates returns the dispatchers' states of their leaves.
func (n *Node) collectDispatchStates() map[leafKey]dispatch.LeafState {
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

// combineLeafState combines the health of a leaf with the dispatcher's probation.
func combineLeafState(status topology.Status, probation bool) api.LeafState {
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

// listServiceStatuses returns the state of each service of the catalog.
func (n *Node) listServiceStatuses(current *catalog.Catalog) []api.ServiceStatus {
	statuses := []api.ServiceStatus{}
	for _, name := range current.ServiceNames() {
		service := current.Services[name]
		newest := service.NewestPartition()
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
