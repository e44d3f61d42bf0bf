package node

import (
	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// listVoterStatuses returns the state of each voter of the catalog. A voter that is no longer a
// member is reported as gone; it still counts towards the majority that a change needs.
func listVoterStatuses(current *catalog.Catalog, nodes []api.NodeStatus) []api.VoterStatus {
	nodesByName := make(map[string]api.NodeStatus, len(nodes))
	for _, node := range nodes {
		nodesByName[node.Name] = node
	}
	statuses := []api.VoterStatus{}
	for _, name := range current.VoterNames() {
		status := api.VoterStatus{Name: name, Zone: current.Voters[name].Zone, State: api.NodeGone}
		if node, ok := nodesByName[name]; ok {
			status.State = node.State
			status.Revision = node.Revision
		}
		statuses = append(statuses, status)
	}
	return statuses
}
