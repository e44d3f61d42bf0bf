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

// topologyConsumer gets each topology, and the bounds that go with it. It is a
// scatter.Conn.
type topologyConsumer interface {
	ResizeBudgets(bounds func(shard int) hedge.Bounds)
	SetProbeInterval(interval time.Duration)
	SetTopology(topology dispatch.Topology)
}

// rolloutStages says which leaves the roll-outs allow, and gives out what this node
// may send to new versions. The caller holds the mutex of the view.
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

// publisher hands what a node knows of leaves and nodes to the parts that use it: the
// leaves as a topology, and the share of this node in what all nodes have together.
type publisher struct {
	subscribers
	settings settings.Settings
	self     roster.Member
	view     *view
	terms    *terms
	config   interface{ Table() *route.Table }
	metrics  *metrics
	roles    executors.Assigner
	// expiry publishes again when the next leaf is not doubted any more.
	expiryTimer *time.Timer
}

// start returns p with what it needs to publish by itself.
func (p *publisher) start() *publisher {
	p.roles = executors.Assigner{EqualNodes: p.settings.Forward.EqualNodes}
	p.expiryTimer = time.AfterFunc(time.Hour, p.publish) // any time: it runs once it is reset
	p.expiryTimer.Stop()
	return p
}

// stop ends the publication by time.
func (p *publisher) stop() { p.expiryTimer.Stop() }

// publish publishes what the view holds now.
func (p *publisher) publish() {
	p.view.mutex.Lock()
	defer p.view.mutex.Unlock()
	p.publishLocked()
}

// publishLocked drops the leaves whose doubt has ended, and publishes the others. The
// caller holds the mutex of the view.
func (p *publisher) publishLocked() {
	now := p.view.clock.Now()
	_, nextExpiry := p.view.leaves.Expire(now)
	if nextExpiry > 0 {
		p.expiryTimer.Reset(max(nextExpiry-p.view.clock.Now(), 0))
	}
	nodes := p.view.nodes.Count(now)
	p.metrics.nodes.Set(float64(nodes))
	p.quarantine.setNodes(nodes)
	topology := p.topology()
	members := p.view.nodes.Members(p.view.clock.Now())
	p.rollouts.setAllowances(members)
	roles := p.roles.Assign(p.self, members)
	p.delegate.SetRoles(roles, p.terms.current())
	p.combine.SetMembers(roles.Combiners(members))
	p.setWatchers(members)
	nodeShare := share.Of(roles, members, nodes)
	p.dispatcher.ResizeBudgets(p.budgets(roles, members, nodes))
	p.dispatcher.SetProbeInterval(nodeShare.ProbeInterval())
	p.boundColdLeaves(&topology, roles, members)
	p.onLeaves(p.shareLeaves(&topology, nodeShare))
	p.dispatcher.SetTopology(topology)
}

// topology returns the leaves as the roll-outs and the zones out of service allow.
func (p *publisher) topology() dispatch.Topology {
	p.view.leaves.SetStages(p.rollouts.stages())
	topology := p.view.leaves.Topology()
	p.metrics.leaves.Set(float64(len(topology.Leaves)))
	cordoned := p.view.leaves.Cordoned()
	p.terms.setCordoned(cordoned)
	p.metrics.zonesCordoned.Set(float64(len(cordoned)))
	return topology
}

// setWatchers says which nodes watch the store for the others.
func (p *publisher) setWatchers(members []roster.Member) {
	watching := false
	var others []netip.AddrPort
	for _, watcher := range roster.Preferred(p.self, roster.Watchers(members, p.settings.Peers.Seeds...)) {
		if watcher.Name == p.self.Name {
			watching = true
			continue
		}
		others = append(others, watcher.Peer)
	}
	p.mirror.SetWatchers(watching, others)
}
