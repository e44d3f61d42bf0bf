package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"
)

// simulatedCluster runs cores in virtual time over a network with loss, delay and partitions. Runs
// with the same seed are identical.
type simulatedCluster struct {
	config        Config
	random        *rand.Rand
	now           time.Duration
	queue         deliveryQueue
	nodes         []*simulatedNode
	byAddress     map[netip.AddrPort]*simulatedNode
	lossRate      float64
	delay         time.Duration
	linkDown      func(from, to *simulatedNode) bool
	sentBytes     int
	encodePackets bool
	lastOrder     int
	onEvent       func(*simulatedNode, Event)
	// onPacket is called with each packet that is delivered.
	onPacket func(to *simulatedNode, packet Packet)
}

type simulatedNode struct {
	core        *Core
	zone        string
	index       int
	frozen      bool
	crashed     bool
	heldPackets []delivery
	events      []Event
}

type delivery struct {
	at    time.Duration
	order int
	from  netip.AddrPort
	to    *simulatedNode
	// packet is nil for a tick.
	packet *Packet
}

type deliveryQueue []delivery

func (a deliveryQueue) Len() int { return len(a) }
func (a deliveryQueue) Less(i, j int) bool {
	if a[i].at != a[j].at {
		return a[i].at < a[j].at
	}
	return a[i].order < a[j].order
}
func (a deliveryQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *deliveryQueue) Push(x any)   { *a = append(*a, x.(delivery)) }
func (a *deliveryQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

func newSimulatedCluster(config Config, size, zones int, seed uint64) *simulatedCluster {
	c := &simulatedCluster{
		config: config, random: rand.New(rand.NewPCG(seed, 1)),
		byAddress: make(map[netip.AddrPort]*simulatedNode), delay: 2 * time.Millisecond,
	}
	for i := range size {
		c.start(i, zones, firstIncarnation)
	}
	return c
}

const firstIncarnation = 1000

func address(index int, incarnation uint64) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(incarnation), byte(index >> 8), byte(index)}), 7301)
}

func nodeName(index int) string { return fmt.Sprintf("node-%04d", index) }

// start starts a new process in a slot.
func (c *simulatedCluster) start(index, zones int, incarnation uint64) *simulatedNode {
	zone := fmt.Sprintf("zone-%d", index%zones)
	peerAddress := address(index, incarnation)
	if index == 0 {
		// A replacement in the first slot keeps the address, so that one seed address stays valid.
		peerAddress = address(index, firstIncarnation)
	}
	self := Member{
		Name: nodeName(index), Zone: zone, Region: "region-1",
		Address: peerAddress, HTTPAddress: peerAddress, Incarnation: incarnation,
	}
	var seeds []netip.AddrPort
	for i := range 3 {
		seeds = append(seeds, address(i, firstIncarnation))
	}
	random := rand.New(rand.NewPCG(c.random.Uint64(), incarnation))
	node := &simulatedNode{core: NewCore(c.config, self, seeds, random), zone: zone, index: index}
	c.nodes = append(c.nodes, node)
	c.byAddress[self.Address] = node
	c.schedule(delivery{at: c.now + time.Duration(c.random.Int64N(int64(c.config.TickInterval))), to: node})
	return node
}

func (c *simulatedCluster) schedule(a delivery) {
	c.lastOrder++
	a.order = c.lastOrder
	heap.Push(&c.queue, a)
}

// run advances the virtual time.
func (c *simulatedCluster) run(duration time.Duration) {
	end := c.now + duration
	for len(c.queue) > 0 && c.queue[0].at <= end {
		next := heap.Pop(&c.queue).(delivery)
		c.now = next.at
		c.deliver(next)
	}
	c.now = end
}

func (c *simulatedCluster) deliver(a delivery) {
	node := a.to
	if node.crashed {
		return
	}
	if node.frozen {
		if a.packet == nil {
			c.schedule(delivery{at: c.now + c.config.TickInterval, to: node})
		} else if len(node.heldPackets) < 100 {
			node.heldPackets = append(node.heldPackets, a)
		}
		return
	}
	if a.packet == nil {
		node.core.Tick(c.now)
		c.schedule(delivery{at: c.now + c.config.TickInterval, to: node})
	} else {
		if c.onPacket != nil {
			c.onPacket(node, *a.packet)
		}
		node.core.Step(c.now, a.from, *a.packet)
	}
	c.processReady(node)
}

func (c *simulatedCluster) processReady(node *simulatedNode) {
	ready := node.core.Ready()
	for _, event := range ready.Events {
		node.events = append(node.events, event)
		if c.onEvent != nil {
			c.onEvent(node, event)
		}
	}
	for _, outgoing := range ready.Packets {
		c.transmit(node, outgoing)
	}
}

func (c *simulatedCluster) transmit(from *simulatedNode, outgoing Outgoing) {
	packet := outgoing.Packet
	if c.encodePackets {
		payload, err := EncodePacket(packet)
		if err != nil {
			panic(err)
		}
		if len(payload) > c.config.PacketLimit {
			panic(fmt.Sprintf("packet of kind %d has %d bytes", packet.Kind, len(payload)))
		}
		c.sentBytes += len(payload)
		if packet, err = DecodePacket(payload); err != nil {
			panic(err)
		}
	}
	to := c.byAddress[outgoing.To]
	lost := to == nil || to.crashed || c.random.Float64() < c.lossRate
	if lost || (c.linkDown != nil && c.linkDown(from, to)) {
		return
	}
	delay := c.delay/2 + time.Duration(c.random.Int64N(int64(c.delay)))
	c.schedule(delivery{at: c.now + delay, from: from.core.Self().Address, to: to, packet: &packet})
}

// unfreeze resumes a frozen node. Its timer fires before the held packets are processed, as happens
// when an operating system resumes a process.
func (c *simulatedCluster) unfreeze(node *simulatedNode) {
	if !node.frozen || node.crashed {
		return
	}
	node.frozen = false
	node.core.Tick(c.now)
	c.processReady(node)
	for _, a := range node.heldPackets {
		node.core.Step(c.now, a.from, *a.packet)
		c.processReady(node)
	}
	node.heldPackets = nil
}

// liveNodes returns the nodes whose process runs and takes part in the protocol.
func (c *simulatedCluster) liveNodes() []*simulatedNode {
	var live []*simulatedNode
	for _, node := range c.nodes {
		if !node.crashed && !node.core.inactive() {
			live = append(live, node)
		}
	}
	return live
}

// disagreements counts the live nodes whose member list has the wrong length, and the pairs in
// which a live node does not have the current record of another.
func (c *simulatedCluster) disagreements() int {
	live := c.liveNodes()
	count := 0
	for _, observer := range live {
		if len(observer.core.Members()) != len(live) {
			count++
		}
		for _, subject := range live {
			record, exists := observer.core.Lookup(subject.core.Self().Name)
			if !exists || record != subject.core.Self() {
				count++
			}
		}
	}
	return count
}

// converge runs until the views of all live nodes agree. It returns the elapsed virtual time, or
// false if they do not agree within the limit.
func (c *simulatedCluster) converge(limit time.Duration) (time.Duration, bool) {
	const step = 500 * time.Millisecond
	for elapsed := time.Duration(0); elapsed <= limit; elapsed += step {
		if c.disagreements() == 0 {
			return elapsed, true
		}
		c.run(step)
	}
	return limit, false
}
