package node

import (
	"testing"

	"github.com/micaplank/micaplank/internal/selfhosted/query"
	"github.com/micaplank/micaplank/internal/wiretest"
)

// TestMessagesReadAsRecorded guards a fleet of two versions.
func TestMessagesReadAsRecorded(t *testing.T) {
	wiretest.CheckGob[query.Forward](t, "query.owner.request")
	wiretest.CheckGob[queryReply](t, "query.owner.response")
	wiretest.CheckGob[leavingCall](t, "topology.leaving.request")
	wiretest.CheckGob[leavingReply](t, "topology.leaving.response")
	wiretest.CheckGob[marksCall](t, "topology.marks.request")
	wiretest.CheckGob[marksReply](t, "topology.marks.response")
	wiretest.CheckGob[drainCall](t, "node.drain.request")
	wiretest.CheckGob[drainReply](t, "node.drain.response")
}
