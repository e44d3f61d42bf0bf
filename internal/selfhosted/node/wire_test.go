package node

import (
	"testing"

	"github.com/micaplank/micaplank/internal/selfhosted/query"
	"github.com/micaplank/micaplank/internal/wiretest"
)

// TestRecordedMessagesDecode checks that messages recorded by an earlier version still decode,
// because nodes of two versions exchange messages during an upgrade.
func TestRecordedMessagesDecode(t *testing.T) {
	wiretest.Gob[query.Forward](t, "query.owner.request")
	wiretest.Gob[queryResponse](t, "query.owner.response")
	wiretest.Gob[leavingRequest](t, "topology.leaving.request")
	wiretest.Gob[leavingResponse](t, "topology.leaving.response")
	wiretest.Gob[marksRequest](t, "topology.marks.request")
	wiretest.Gob[marksResponse](t, "topology.marks.response")
	wiretest.Gob[drainRequest](t, "node.drain.request")
	wiretest.Gob[drainResponse](t, "node.drain.response")
}
