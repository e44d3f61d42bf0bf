package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"
)

// cluster runs cores in virtual time over a network that loses, delays and
// cuts. All of it repeats for a seed.
type cluster struct {
	config  Config
	random  *rand.Rand
	now     time.Duration
	queue   arrivals
	nodes   []*simulated
	byAddr  map[netip.AddrPort]*simulated
	loss    float64
	delay   time.Duration
	cut     func(from, to *simulated) bool
	bytes   int
	encode  bool
	order   int
	onEvent func(*simulated, Event)
	// onPacket is called with each packet that arrives.
	onPacket func(to *simulated, packet Packet)
}

type simulated struct {
	core   *Core
	zone   string
	index  int
	frozen bool
	dead   bool
	inbox  []arrival
	events []Event
}

type arrival struct {
	at    time.Duration
	order int
	from  netip.AddrPort
	to    *simulated
	// packet is nil for a tick.
	packet *Packet
}

type arrivals []arrival

func (a arrivals) Len() int { return len(a) }
func (a arrivals) Less(i, j int) bool {
	if a[i].at != a[j].at {
		return a[i].at < a[j].at
	}
	return a[i].order < a[j].order
}
func (a arrivals) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *arrivals) Push(x any)   { *a = append(*a, x.(arrival)) }
func (a *arrivals) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

func newCluster(config Config, size, zones int, seed uint64) *cluster {
	c := &cluster{
		config: config, random: rand.New(rand.NewPCG(seed, 1)),
		byAddr: make(map[netip.AddrPort]*simulated), delay: 2 * time.Millisecond,
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

// start runs a new process in a slot.
func (c *cluster) start(index, zones int, incarnation uint64) *simulated {
	zone := fmt.Sprintf("zone-%d", index%zones)
	place := address(index, incarnation)
	if index == 0 {
		// The first slot is always replaced in place, so that one seed works.
		place = address(index, firstIncarnation)
	}
	self := Member{
		Name: nodeName(index), Zone: zone, Region: "region-1",
		Address: place, HTTPAddress: place, Incarnation: incarnation,
	}
	var seeds []netip.AddrPort
	for i := range 3 {
		seeds = append(seeds, address(i, firstIncarnation))
	}
	random := rand.New(rand.NewPCG(c.random.Uint64(), incarnation))
	node := &simulated{core: New(c.config, self, seeds, random), zone: zone, index: index}
	c.nodes = append(c.nodes, node)
	c.byAddr[self.Address] = node
	c.schedule(arrival{at: c.now + time.Duration(c.random.Int64N(int64(c.config.TickInterval))), to: node})
	return node
}

func (c *cluster) schedule(a arrival) {
	c.order++
	a.order = c.order
	heap.Push(&c.queue, a)
}

// run lets virtual time pass.
func (c *cluster) run(duration time.Duration) {
	end := c.now + duration
	for len(c.queue) > 0 && c.queue[0].at <= end {
		next := heap.Pop(&c.queue).(arrival)
		c.now = next.at
		c.deliver(next)
	}
	c.now = end
}

func (c *cluster) deliver(a arrival) {
	node := a.to
	if node.dead {
		return
	}
	if node.frozen {
		if a.packet == nil {
			c.schedule(arrival{at: c.now + c.config.TickInterval, to: node})
		} else if len(node.inbox) < 100 {
			node.inbox = append(node.inbox, a)
		}
		return
	}
	if a.packet == nil {
		node.core.Tick(c.now)
		c.schedule(arrival{at: c.now + c.config.TickInterval, to: node})
	} else {
		if c.onPacket != nil {
			c.onPacket(node, *a.packet)
		}
		node.core.Step(c.now, a.from, *a.packet)
	}
	c.drain(node)
}

func (c *cluster) drain(node *simulated) {
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

func (c *cluster) transmit(from *simulated, outgoing Outgoing) {
	packet := outgoing.Packet
	if c.encode {
		payload, err := EncodePacket(packet)
		if err != nil {
			panic(err)
		}
		if len(payload) > c.config.PacketLimit {
			panic(fmt.Sprintf("packet of kind %d has %d bytes", packet.Kind, len(payload)))
		}
		c.bytes += len(payload)
		if packet, err = DecodePacket(payload); err != nil {
			panic(err)
		}
	}
	to := c.byAddr[outgoing.To]
	lost := to == nil || to.dead || c.random.Float64() < c.loss
	if lost || (c.cut != nil && c.cut(from, to)) {
		return
	}
	delay := c.delay/2 + time.Duration(c.random.Int64N(int64(c.delay)))
	c.schedule(arrival{at: c.now + delay, from: from.core.Self().Address, to: to, packet: &packet})
}

// wake lets a frozen node go on, with its timer before what has come in.
func (c *cluster) wake(node *simulated) {
	if !node.frozen || node.dead {
		return
	}
	node.frozen = false
	node.core.Tick(c.now)
	c.drain(node)
	for _, a := range node.inbox {
		node.core.Step(c.now, a.from, *a.packet)
		c.drain(node)
	}
	node.inbox = nil
}

// live returns the nodes that run and were not replaced.
func (c *cluster) live() []*simulated {
	var live []*simulated
	for _, node := range c.nodes {
		if !node.dead && !node.core.silent() {
			live = append(live, node)
		}
	}
	return live
}

// disagreements counts pairs in which a live node does not see another live
// node's own record, or sees a member that does not run.
func (c *cluster) disagreements() int {
	live := c.live()
	wrong := 0
	for _, observer := range live {
		if len(observer.core.Members()) != len(live) {
			wrong++
		}
		for _, subject := range live {
			seen, known := observer.core.Lookup(subject.core.Self().Name)
			if !known || seen != subject.core.Self() {
				wrong++
			}
		}
	}
	return wrong
}

// converge runs until all live nodes agree; it returns the time that took, or
// false if they do not within the limit.
func (c *cluster) converge(limit time.Duration) (time.Duration, bool) {
	const step = 500 * time.Millisecond
	for passed := time.Duration(0); passed <= limit; passed += step {
		if c.disagreements() == 0 {
			return passed, true
		}
		c.run(step)
	}
	return limit, false
}
