package hollow

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/dissemination"
)

// virtualFleet runs the cores in virtual time, in one goroutine.
type virtualFleet struct {
	config  Config
	random  *rand.Rand
	storage *storage
	clock   time.Duration
	queue   eventQueue
	slots   []slot
	// nodes holds the node that runs in each slot.
	nodes   []*virtualNode
	byPlace map[netip.AddrPort]*virtualNode
	counts  []traffic
	// earlier and restarts are totals of the slots' former nodes.
	earlier  []status
	cutZones []int
}

const (
	// tickInterval is that of the dissemination's driver; the membership ticks
	// at every second one, and the list of members is passed on at every
	// tenth, as in a node.
	tickInterval    = 50 * time.Millisecond
	membershipTicks = 2
	memberListTicks = 10
	// storeDelay is the time that the store takes for a call.
	storeDelay = 2 * time.Millisecond
	// firstIncarnation is that of the nodes that a run starts with.
	firstIncarnation = 1
)

func newVirtualFleet(config Config, storage *storage) *virtualFleet {
	f := &virtualFleet{
		config: config, storage: storage, slots: config.slots(),
		random:  rand.New(rand.NewPCG(config.Seed, 1)),
		byPlace: make(map[netip.AddrPort]*virtualNode),
		counts:  make([]traffic, config.Nodes), earlier: make([]status, config.Nodes),
		nodes: make([]*virtualNode, config.Nodes),
	}
	for i := range f.slots {
		f.start(i, firstIncarnation)
	}
	return f
}

// place is the address of a slot, which its successive nodes share.
func place(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 100, byte(index >> 8), byte(index)}), 7301)
}

// seeds are the addresses through which the nodes meet.
func seeds(addressOf func(index int) netip.AddrPort, nodes int) []netip.AddrPort {
	const count = 3
	var addresses []netip.AddrPort
	for i := range min(count, nodes) {
		addresses = append(addresses, addressOf(i))
	}
	return addresses
}

func (f *virtualFleet) start(index int, incarnation uint64) {
	node := newVirtualNode(f, f.slots[index], incarnation)
	f.nodes[index] = node
	f.byPlace[place(index)] = node
	f.queue.push(event{at: f.clock + time.Duration(f.random.Int64N(int64(tickInterval))), node: node})
}

func (f *virtualFleet) now() time.Duration { return f.clock }

func (f *virtualFleet) advance(ctx context.Context, duration time.Duration) error {
	end := f.clock + duration
	for !f.queue.empty() && f.queue.first().at <= end {
		next := f.queue.pop()
		f.clock = next.at
		f.deliver(next)
	}
	f.clock = end
	return ctx.Err()
}

func (f *virtualFleet) deliver(next event) {
	node := next.node
	if node.dead {
		return
	}
	begun := time.Now()
	switch {
	case next.run != nil:
		next.run()
	case next.payload != nil:
		node.receive(next)
	default:
		node.tick()
		f.queue.push(event{at: f.clock + tickInterval, node: node})
	}
	node.flush()
	node.counts().busy += time.Since(begun)
}

// after runs a function on a node that still runs then.
func (f *virtualFleet) after(delay time.Duration, node *virtualNode, run func()) {
	f.queue.push(event{at: f.clock + delay, node: node, run: run})
}

// delay is the one-way time between two zones.
func (f *virtualFleet) delay(from, to slot) time.Duration {
	delay := f.config.ZoneDelay
	switch {
	case from.region != to.region:
		delay = f.config.RegionDelay
	case from.zone == to.zone:
		delay /= 5
	}
	return delay + time.Duration(f.random.Int64N(int64(delay)/4+1))
}

// separated reports whether a cut lies between two zones.
func (f *virtualFleet) separated(one, other slot) bool {
	return f.isCut(one) != f.isCut(other)
}

func (f *virtualFleet) isCut(place slot) bool { return slices.Contains(f.cutZones, place.zone) }

func (f *virtualFleet) cut(zones []int) { f.cutZones = zones }

func (f *virtualFleet) statuses() []status {
	statuses := make([]status, len(f.nodes))
	for i, node := range f.nodes {
		statuses[i] = f.earlier[i]
		statuses[i].role = roleOf(node.slot, node.stopWatch != nil)
		if node.dead {
			continue
		}
		counted := node.membership.Statistics()
		statuses[i].revision = node.dissemination.Revision()
		statuses[i].serves = node.dissemination.Fresh(f.clock) && !node.membership.Superseded()
		statuses[i].suspect += counted.SuspicionsRaised
		statuses[i].gone += counted.DeclaredGone
	}
	return statuses
}

func (f *virtualFleet) traffic() []traffic { return f.counts }

func (f *virtualFleet) propose(index int, command catalog.Command, token string, ended func(dissemination.Result)) {
	node := f.nodes[index]
	f.after(0, node, func() { node.propose(command, token, ended) })
}

// restart announces the leave; the node stops and its successor starts a
// little later, as a node that drains does.
func (f *virtualFleet) restart(index int) {
	const drain, boot = 3 * time.Second, time.Second
	node := f.nodes[index]
	f.after(0, node, node.membership.Leave)
	f.after(drain, node, func() {
		node.membership.Depart()
		node.flush()
		node.stop()
		counted := node.membership.Statistics()
		f.earlier[index].suspect += counted.SuspicionsRaised
		f.earlier[index].gone += counted.DeclaredGone
		f.earlier[index].restarts++
		f.queue.push(event{at: f.clock + boot, node: newStarter(f, index, node.incarnation+1)})
	})
}

// newStarter returns a stand-in for a process that boots: its first event
// starts the node.
func newStarter(f *virtualFleet, index int, incarnation uint64) *virtualNode {
	return &virtualNode{fleet: f, slot: f.slots[index], starts: incarnation}
}

func (f *virtualFleet) agreed() bool {
	var expected uint64
	for _, node := range f.nodes {
		if node.dead {
			return false
		}
		expected ^= node.membership.Self().ViewHash()
	}
	for _, node := range f.nodes {
		if node.membership.ViewHash() != expected {
			return false
		}
	}
	return true
}

func (f *virtualFleet) close() {}
