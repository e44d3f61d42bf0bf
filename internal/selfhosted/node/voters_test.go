package node

import (
	"slices"
	"testing"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// TestVoterStatusesIncludeGoneVoters checks that voters without a member are listed as gone, and
// that members that are not voters are omitted.
func TestVoterStatusesIncludeGoneVoters(t *testing.T) {
	current := catalog.Empty()
	current.Voters = map[string]catalog.Voter{
		"node-c1": {Name: "node-c1", Zone: "c"},
		"node-a1": {Name: "node-a1", Zone: "a"},
		"node-b1": {Name: "node-b1", Zone: "b"},
	}
	got := listVoterStatuses(current, []api.NodeStatus{
		{Name: "node-a1", State: api.NodeAlive, Revision: 9},
		{Name: "node-b1", State: api.NodeLeaving, Revision: 8},
		{Name: "node-d1", State: api.NodeAlive, Revision: 9},
	})
	want := []api.VoterStatus{
		{Name: "node-a1", Zone: "a", State: api.NodeAlive, Revision: 9},
		{Name: "node-b1", Zone: "b", State: api.NodeLeaving, Revision: 8},
		{Name: "node-c1", Zone: "c", State: api.NodeGone},
	}
	if !slices.Equal(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
