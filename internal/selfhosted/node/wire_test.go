package node

import (
	"testing"

	"github.com/micaplank/micaplank/internal/selfhosted/query"
	"github.com/micaplank/micaplank/internal/wiretest"
)

// TestRecordedMessagesDecode checks that messages recorded by an earlier version still decode,
// because nodes of two versions exchange messages during an upgrade.
func TestRecordedMessagesDecode(t *testing.T) {
	wiretest.CheckGob[query.ForwardedQuery](t, "query.owner.request")
	wiretest.CheckGob[queryResponse](t, "query.owner.response")
	wiretest.CheckGob[query.ForwardedQuery](t, "query.outcome.request")
	wiretest.CheckGob[queryResponse](t, "query.outcome.response")
	wiretest.CheckGob[leavingRequest](t, "topology.leaving.request")
	wiretest.CheckGob[leavingResponse](t, "topology.leaving.response")
	wiretest.CheckGob[marksRequest](t, "topology.marks.request")
	wiretest.CheckGob[marksResponse](t, "topology.marks.response")
	wiretest.CheckGob[drainRequest](t, "node.drain.request")
	wiretest.CheckGob[drainResponse](t, "node.drain.response")
}
