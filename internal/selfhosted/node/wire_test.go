package node

import (
	"testing"

	"github.com/micaplank/micaplank/internal/selfhosted/query"
	"github.com/micaplank/micaplank/internal/wiretest"
)

// TestMessagesReadAsRecorded guards a fleet of two versions.
func TestMessagesReadAsRecorded(t *testing.T) {
	wiretest.Gob[query.Forward](t, "query.owner.request")
	wiretest.Gob[queryReply](t, "query.owner.response")
	wiretest.Gob[leavingCall](t, "topology.leaving.request")
	wiretest.Gob[leavingReply](t, "topology.leaving.response")
	wiretest.Gob[marksCall](t, "topology.marks.request")
	wiretest.Gob[marksReply](t, "topology.marks.response")
	wiretest.Gob[drainCall](t, "node.drain.request")
	wiretest.Gob[drainReply](t, "node.drain.response")
}
