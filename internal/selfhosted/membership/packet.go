package membership

import "net/netip"

// PacketKind says what a packet asks for or answers.
type PacketKind uint8

// The kinds of packets.
const (
	// PacketPing asks the member named Target for an ack.
	PacketPing PacketKind = iota + 1
	// PacketAck answers a ping; an ack passed on by a proxy names the member
	// that answered in Subject.
	PacketAck
	// PacketIndirectPing asks the receiver to ping Target for the sender.
	PacketIndirectPing
	// PacketNack is the answer of a proxy that Target has not acked in time. It
	// shows the prober that its own connection works.
	PacketNack
	// PacketGossip carries updates only.
	PacketGossip
	// PacketDigest carries the sender's digest and asks for the records in
	// which the receiver differs.
	PacketDigest
	// PacketRecords answers a digest with full records.
	PacketRecords
	// PacketIdentify asks the receiver for its own full record.
	PacketIdentify
	// PacketQuery asks the receiver whether it has a newer record of the first
	// member in Updates.
	PacketQuery
)

// Update is what one packet says of one member. Updates about a member that
// the receiver is expected to know omit the zone, the region and the
// addresses.
type Update struct {
	Name        string
	Incarnation uint64
	Refutation  uint32
	State       State
	// Accuser is the hash of the name of the member that raised a suspicion,
	// so that independent suspicions can be counted.
	Accuser     uint32
	Zone        string
	Region      string
	Address     netip.AddrPort
	HTTPAddress netip.AddrPort
}

func (u Update) version() version {
	return version{u.Incarnation, u.Refutation, u.State}
}

// full reports whether the update carries zone, region and addresses.
func (u Update) hasAddresses() bool { return u.Address.IsValid() }

func (u Update) member() Member {
	return Member{
		Name: u.Name, Zone: u.Zone, Region: u.Region,
		Address: u.Address, HTTPAddress: u.HTTPAddress,
		Incarnation: u.Incarnation, Refutation: u.Refutation, State: u.State,
	}
}

// fullUpdate returns the record of a member with its addresses.
func fullUpdate(m Member) Update {
	update := shortUpdate(m)
	update.Zone, update.Region = m.Zone, m.Region
	update.Address, update.HTTPAddress = m.Address, m.HTTPAddress
	return update
}

// shortUpdate returns the record of a member without its addresses.
func shortUpdate(m Member) Update {
	return Update{Name: m.Name, Incarnation: m.Incarnation, Refutation: m.Refutation, State: m.State}
}

// Packet is one datagram of the protocol.
type Packet struct {
	Kind PacketKind
	// Sequence pairs an ack or nack with its ping.
	Sequence uint64
	// From is the sender's own record, without addresses.
	From Update
	// Target and TargetAddress name the member that is pinged.
	Target        string
	TargetAddress netip.AddrPort
	// Subject is the member that answered an indirect ping.
	Subject Update
	Updates []Update
	// Digest holds a power of two of four-byte bucket hashes.
	Digest []byte
	// More is set on records if the sender differs in further buckets.
	More bool
	// Revision is the catalog revision that the sender holds.
	Revision uint64
}

// Outgoing is a packet with its destination.
type Outgoing struct {
	To     netip.AddrPort
	Packet Packet
}

// Upper bounds of encoded sizes in bytes, used to fill packets without
// encoding them twice. The codec test checks them against real encodings.
const (
	updateOverhead = 34
	addressSize    = 22
	packetOverhead = 40
)

// size is an upper bound of the encoded size of the update.
func (u Update) maximumSize() int {
	size := updateOverhead + len(u.Name) + len(u.Zone) + len(u.Region)
	if u.hasAddresses() {
		size += 2 * addressSize
	}
	return size
}

// size is an upper bound of the encoded size of the packet.
func (p Packet) maximumSize() int {
	size := packetOverhead + p.From.maximumSize() + len(p.Target) + len(p.Digest)
	if p.TargetAddress.IsValid() {
		size += addressSize
	}
	if p.Subject.Name != "" {
		size += p.Subject.maximumSize()
	}
	for _, update := range p.Updates {
		size += update.maximumSize()
	}
	return size
}
