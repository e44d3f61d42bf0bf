package hollow

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/dissemination"
	"github.com/micaplank/micaplank/internal/membership"
)

// virtualNode is the two cores of a node, joined as a node's process joins
// them.
type virtualNode struct {
	fleet         *virtualFleet
	slot          slot
	incarnation   uint64
	membership    *membership.Core
	dissemination *dissemination.Core
	ticks         int
	dead          bool
	stopWatch     func()
	proposals     map[dissemination.ProposalID]func(dissemination.Result)
	// starts is set for the stand-in of a process that boots.
	starts uint64
}

func newVirtualNode(f *virtualFleet, place slot, incarnation uint64) *virtualNode {
	return &virtualNode{
		fleet: f, slot: place, incarnation: incarnation,
		membership: membership.New(membership.DefaultConfig(), place.member(incarnation),
			seeds(placeOf, len(f.slots)), f.newRandom(incarnation)),
		dissemination: dissemination.New(dissemination.Options{
			Config: dissemination.DefaultConfig(),
			Self:   disseminationMember(place.member(incarnation)),
			Random: f.newRandom(incarnation),
		}),
		proposals: make(map[dissemination.ProposalID]func(dissemination.Result)),
	}
}

func placeOf(index int) netip.AddrPort { return place(index) }

func (f *virtualFleet) newRandom(incarnation uint64) *rand.Rand {
	return rand.New(rand.NewPCG(f.random.Uint64(), incarnation))
}

func (s slot) member(incarnation uint64) membership.Member {
	return membership.Member{
		Name: s.name, Zone: s.zoneName(), Region: s.regionName(),
		Address: place(s.index), HTTPAddress: place(s.index), Incarnation: incarnation,
	}
}

// disseminationMember converts a member as a node does.
func disseminationMember(m membership.Member) dissemination.Member {
	return dissemination.Member{
		Name: m.Name, Zone: m.Zone, Address: m.Address, Incarnation: m.Incarnation,
		Alive: m.State == membership.StateAlive,
	}
}

func disseminationMembers(known []membership.Member) []dissemination.Member {
	members := make([]dissemination.Member, len(known))
	for i, member := range known {
		members[i] = disseminationMember(member)
	}
	return members
}

func (n *virtualNode) counts() *traffic { return &n.fleet.counts[n.slot.index] }

func (n *virtualNode) tick() {
	if n.starts != 0 {
		n.dead = true
		n.fleet.start(n.slot.index, n.starts)
		return
	}
	n.ticks++
	if n.ticks%membershipTicks == 0 {
		n.membership.Tick(n.fleet.clock)
	}
	if n.ticks%memberListTicks == 1 {
		n.dissemination.SetMembers(disseminationMembers(n.membership.Members()))
	}
	n.dissemination.Tick(n.fleet.clock)
}

func (n *virtualNode) receive(e event) {
	n.counts().receivedPackets++
	n.counts().receivedBytes += uint64(len(e.payload))
	if e.channel == channelMembership {
		if packet, err := membership.DecodePacket(e.payload); err == nil {
			n.membership.Step(n.fleet.clock, e.from, packet)
		}
		return
	}
	if packet, err := dissemination.DecodePacket(e.payload); err == nil {
		n.dissemination.Step(n.fleet.clock, e.from, packet)
	}
}

func (n *virtualNode) propose(command catalog.Command, token string, ended func(dissemination.Result)) {
	const timeout = 15 * time.Second
	id := n.dissemination.Propose(n.fleet.clock, dissemination.Proposal{
		Command: command, ChangeID: token, At: time.Unix(1796200000, 0).Add(n.fleet.clock),
		Deadline: n.fleet.clock + timeout,
	})
	n.proposals[id] = ended
}

// flush carries out what the cores ask for.
func (n *virtualNode) flush() {
	if n.membership == nil || n.dead {
		return
	}
	for _, outgoing := range n.membership.Ready().Packets {
		payload, err := membership.EncodePacket(outgoing.Packet)
		if err == nil {
			n.counts().membershipBytes += uint64(len(payload))
			n.transmit(outgoing.To, channelMembership, payload)
		}
	}
	ready := n.dissemination.Ready()
	for _, outgoing := range ready.Packets {
		payload, err := dissemination.EncodePacket(outgoing.Packet)
		if err == nil {
			n.transmit(outgoing.To, channelExchange, payload)
		}
	}
	if ready.Fetch != nil {
		n.fetch(*ready.Fetch)
	}
	for _, operation := range ready.Store {
		n.operate(operation)
	}
	n.watch(ready.Watch)
	for _, result := range ready.Results {
		if ended := n.proposals[result.ID]; ended != nil {
			delete(n.proposals, result.ID)
			ended(result.Result)
		}
	}
}

func (n *virtualNode) transmit(to netip.AddrPort, channel channel, payload []byte) {
	n.counts().sentPackets++
	n.counts().sentBytes += uint64(len(payload))
	f := n.fleet
	target := f.byPlace[to]
	lost := target == nil || target.dead || f.separated(n.slot, target.slot) || f.random.Float64() < f.config.Loss
	if lost {
		return
	}
	f.queue.push(event{
		at: f.clock + f.delay(n.slot, target.slot), node: target,
		from: place(n.slot.index), channel: channel, payload: payload,
	})
}

// fetch calls a peer; the answer takes its way through the encoding.
func (n *virtualNode) fetch(fetch dissemination.Fetch) {
	f := n.fleet
	target := f.byPlace[fetch.To]
	if target == nil || target.dead || f.separated(n.slot, target.slot) {
		f.after(time.Second, n, func() { n.dissemination.StepFetched(f.clock, nil) })
		return
	}
	f.after(f.delay(n.slot, target.slot), target, func() {
		response := target.dissemination.AnswerFetch(fetch.Request)
		copied, size := copyFetched(response)
		target.counts().sentBytes += size
		f.after(f.delay(target.slot, n.slot), n, func() {
			n.counts().receivedBytes += size
			n.dissemination.StepFetched(f.clock, copied)
		})
	})
}

// copyFetched encodes and decodes a response, and returns its size.
func copyFetched(response dissemination.FetchResponse) (copied *dissemination.FetchResponse, size uint64) {
	copied = &dissemination.FetchResponse{}
	if response.Checkpoint != nil {
		if data, err := catalog.Encode(response.Checkpoint); err == nil {
			size = uint64(len(data))
			copied.Checkpoint, _ = catalog.Decode(data)
		}
		return copied, size
	}
	for _, change := range response.Changes {
		data, err := catalog.EncodeChange(change)
		if err != nil {
			continue
		}
		size += uint64(len(data))
		if decoded, err := catalog.DecodeChange(data); err == nil {
			copied.Changes = append(copied.Changes, decoded)
		}
	}
	return copied, size
}

// operate calls the store, which lies in the first zone's region and is out of
// reach for zones that are cut off.
func (n *virtualNode) operate(operation dissemination.StoreOperation) {
	f := n.fleet
	if f.isCut(n.slot) {
		f.after(3*time.Second, n, func() {
			n.dissemination.StepStore(f.clock, dissemination.StoreResult{ID: operation.ID, Err: errCut})
		})
		return
	}
	there := f.delay(n.slot, slot{zone: -1}) + storeDelay
	f.after(there, n, func() {
		result := f.storage.operate(operation)
		f.after(f.delay(slot{zone: -1}, n.slot), n, func() { n.dissemination.StepStore(f.clock, result) })
	})
}

// operate carries a store operation out.
func (s *storage) operate(operation dissemination.StoreOperation) dissemination.StoreResult {
	result := dissemination.StoreResult{ID: operation.ID}
	switch {
	case operation.Read != nil:
		result.Changes, result.More = s.read(operation.Read.From, operation.Read.Limit)
	case operation.Create != nil:
		result.Created, result.Existing = s.create(*operation.Create)
	case operation.LoadCheckpoint:
		result.Checkpoint, result.Err = s.load()
	}
	return result
}

// watch opens or ends this node's watch of the store.
func (n *virtualNode) watch(wanted bool) {
	f := n.fleet
	switch {
	case wanted && n.stopWatch == nil:
		n.stopWatch = f.storage.watch(func(changes []catalog.Change) {
			if !f.isCut(n.slot) {
				f.after(f.delay(slot{zone: -1}, n.slot), n, func() { n.dissemination.StepWatched(f.clock, changes) })
			}
		})
	case !wanted && n.stopWatch != nil:
		n.stopWatch()
		n.stopWatch = nil
	}
}

func (n *virtualNode) stop() {
	n.dead = true
	if n.stopWatch != nil {
		n.stopWatch()
		n.stopWatch = nil
	}
}
