package simulation

import (
	"net/netip"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/leaf"
)

// Decider is the interface of a dispatch.Dispatcher, which a test may wrap.
type Decider interface {
	Submit(now dispatch.Time, query dispatch.Query) []dispatch.Action
	Reply(now dispatch.Time, attempt dispatch.AttemptID, reply dispatch.Reply) []dispatch.Action
	Refuse(now dispatch.Time, attempt dispatch.AttemptID, refusal dispatch.Refusal) []dispatch.Action
	Fail(now dispatch.Time, attempt dispatch.AttemptID, failure dispatch.Failure) []dispatch.Action
	Cancel(now dispatch.Time, query dispatch.QueryID) []dispatch.Action
	SetTopology(now dispatch.Time, topology dispatch.Topology) []dispatch.Action
	Observe(now dispatch.Time, address netip.AddrPort, load leaf.LoadSummary) []dispatch.Action
	Tick(now dispatch.Time) []dispatch.Action
	NextTick() (dispatch.Time, bool)
}

// newDecider returns the Decider of a node.
func (s *simulator) newDecider(node int, zone string) Decider {
	config := dispatch.DefaultConfig()
	config.Zone = zone
	dispatcher := dispatch.New(config, newRandom(s.config.Seed, streamDecider, uint64(node)))
	if s.config.WrapDecider != nil {
		return s.config.WrapDecider(dispatcher)
	}
	return dispatcher
}
