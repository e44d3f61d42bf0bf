package node

import (
	"testing"

	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

func TestCountLeaves(t *testing.T) {
	counts := countLeaves([]api.LeafStatus{
		{Service: "a", State: api.LeafUsable}, {Service: "a", State: api.LeafUsable},
		{Service: "a", State: api.LeafCold}, {Service: "b", State: api.LeafLeaving},
	})
	if counts["a"][api.LeafUsable] != 2 || counts["a"][api.LeafCold] != 1 || counts["b"][api.LeafLeaving] != 1 || len(counts) != 2 {
		t.Errorf("got %v, want 2 usable and 1 cold in service a, 1 leaving in service b", counts)
	}
}
