package node

import (
	"net/netip"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/decide/executors"
	"github.com/micaplank/micaplank/internal/decide/hedge"
	"github.com/micaplank/micaplank/internal/decide/share"
	"github.com/micaplank/micaplank/internal/edge/registry"
	"github.com/micaplank/micaplank/internal/edge/route"
	"github.com/micaplank/micaplank/internal/roster"
	"github.com/micaplank/micaplank/internal/settings"
)

// topologyConsumer receives each topology and the limits that belong to it. It is implemented by
// scatter.QueryRunner.
type topologyConsumer interface {
	ResizeBudgets(bounds func(shard int) hedge.Bounds)
	SetProbeInterval(interval time.Duration)
	SetTopology(topology dispatch.Topology)
}

// rolloutStages returns the stages of the rollouts, and distributes the allowances by which this
// node may send attempts to new versions. The caller holds the mutex of the view.
type rolloutStages interface {
	stages() map[string]registry.Stage
	setAllowances(members []roster.Member)
}

// subscribers are the parts of a node that receive each publication.
type subscribers struct {
	dispatcher topologyConsumer
	rollouts   rolloutStages
	quarantine interface{ setNodes(nodes int) }
	delegate   interface {
		SetRoles(roles executors.Roles, terms executors.Terms)
	}
	combine interface{ SetMembers(members []roster.Member) }
	mirror  interface {
		SetWatchers(watching bool, others []netip.AddrPort)
	}
	onLeaves func([]LeafShare)
}

// publisher passes the node's view to the parts that use it: the leaves as a topology, and this
// node's share of the limits that all nodes have in common.
type publisher struct {
	subscribers
	settings settings.Settings
	self     roster.Member
	view     *view
	terms    *terms
	config   interface{ Table() *route.Table }
	metrics  *metrics
	roles    executors.Assigner
	// expiryTimer publishes again when the next delayed removal of a leaf takes effect.
	expiryTimer *time.Timer
}

// start completes p, so that it can publish by its timer.
func (p *publisher) start() *publisher {
	p.roles = executors.Assigner{EqualNodes: p.settings.Forward.EqualNodes}
	// The duration does not matter, Reset sets it.
	p.expiryTimer = time.AfterFunc(time.Hour, p.publish)
	p.expiryTimer.Stop()
	return p
}

// stop ends the publication by the timer.
func (p *publisher) stop() { p.expiryTimer.Stop() }

// publish publishes the current view.
func (p *publisher) publish() {
	p.view.mutex.Lock()
	defer p.view.mutex.Unlock()
	p.publishLocked()
}

// publishLocked drops the leaves whose removal is due, and publishes the others. The caller holds
// the mutex of the view.
func (p *publisher) publishLocked() {
	now := p.view.clock.Now()
	_, nextExpiry := p.view.leaves.Expire(now)
	if nextExpiry > 0 {
		p.expiryTimer.Reset(max(nextExpiry-p.view.clock.Now(), 0))
	}
	nodes := p.view.nodes.Count(now)
	p.metrics.nodes.Set(float64(nodes))
	p.quarantine.setNodes(nodes)
	topology := p.buildTopology()
	members := p.view.nodes.Members(p.view.clock.Now())
	p.rollouts.setAllowances(members)
	roles := p.roles.Assign(p.self, members)
	p.delegate.SetRoles(roles, p.terms.current())
	p.combine.SetMembers(roles.Combiners(members))
	p.setWatchers(members)
	nodeShare := share.ForConnections(roles, members, nodes)
	p.dispatcher.ResizeBudgets(p.budgetsByShard(roles, members, nodes))
	p.dispatcher.SetProbeInterval(nodeShare.ProbeInterval())
	p.boundColdLeaves(&topology, roles, members)
	p.onLeaves(p.shareLeaves(&topology, nodeShare))
	p.dispatcher.SetTopology(topology)
}

// buildTopology returns the leaves that rollouts and cordons permit, and updates the gauges of
// leaves and cordoned zones.
func (p *publisher) buildTopology() dispatch.Topology {
	p.view.leaves.SetStages(p.rollouts.stages())
	topology := p.view.leaves.Topology()
	p.metrics.leaves.Set(float64(len(topology.Leaves)))
	cordoned := p.view.leaves.Cordoned()
	p.terms.setCordoned(cordoned)
	p.metrics.zonesCordoned.Set(float64(len(cordoned)))
	return topology
}

// setWatchers selects the nodes that watch the store for all nodes.
func (p *publisher) setWatchers(members []roster.Member) {
	watching := false
	var others []netip.AddrPort
	for _, watcher := range roster.OrderByZone(p.self, roster.SelectWatchers(members, p.settings.Peers.Seeds...)) {
		if watcher.Name == p.self.Name {
			watching = true
			continue
		}
		others = append(others, watcher.Peer)
	}
	p.mirror.SetWatchers(watching, others)
}
