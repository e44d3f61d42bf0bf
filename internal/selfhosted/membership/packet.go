package membership

import "net/netip"

// PacketKind is the type of a packet.
type PacketKind uint8

// The kinds of packets.
const (
	// PacketPing asks the member named Target for an ack.
	PacketPing PacketKind = iota + 1
	// PacketAck answers a ping. An ack that a proxy forwards names the member that answered in
	// Subject.
	PacketAck
	// PacketIndirectPing asks the receiver to ping Target on behalf of the sender.
	PacketIndirectPing
	// PacketNack is sent by a proxy that has not received an ack from Target in time. It shows the
	// prober that its own connection works.
	PacketNack
	// PacketGossip carries only updates.
	PacketGossip
	// PacketDigest carries the sender's digest and asks for the records of the buckets that differ.
	PacketDigest
	// PacketRecords answers a digest with full records.
	PacketRecords
	// PacketIdentify asks the receiver for its own full record.
	PacketIdentify
	// PacketQuery asks the receiver for its record of the first member in Updates, if that record
	// is newer.
	PacketQuery
)

// Update is the record of one member in a packet. The zone, region and addresses are omitted if the
// receiver is expected to know the member.
type Update struct {
	Name        string
	Incarnation uint64
	Refutation  uint32
	State       State
	// Accuser is the name hash of the member that raised a suspicion. Receivers use it to count
	// independent suspicions.
	Accuser     uint32
	Zone        string
	Region      string
	Address     netip.AddrPort
	HTTPAddress netip.AddrPort
}

func (u Update) version() version {
	return version{u.Incarnation, u.Refutation, u.State}
}

// hasAddresses reports whether the update carries the zone, region and addresses.
func (u Update) hasAddresses() bool { return u.Address.IsValid() }

func (u Update) member() Member {
	return Member{
		Name: u.Name, Zone: u.Zone, Region: u.Region,
		Address: u.Address, HTTPAddress: u.HTTPAddress,
		Incarnation: u.Incarnation, Refutation: u.Refutation, State: u.State,
	}
}

// fullUpdate returns the record of a member with its zone, region and addresses.
func fullUpdate(m Member) Update {
	update := shortUpdate(m)
	update.Zone, update.Region = m.Zone, m.Region
	update.Address, update.HTTPAddress = m.Address, m.HTTPAddress
	return update
}

// shortUpdate returns the record of a member without its zone, region and addresses.
func shortUpdate(m Member) Update {
	return Update{Name: m.Name, Incarnation: m.Incarnation, Refutation: m.Refutation, State: m.State}
}

// Packet is one datagram of the protocol.
type Packet struct {
	Kind PacketKind
	// Sequence matches an ack or nack to its ping.
	Sequence uint64
	// From is the sender's own record without addresses.
	From Update
	// Target and TargetAddress identify the member to ping.
	Target        string
	TargetAddress netip.AddrPort
	// Subject is the record of the member that answered an indirect ping.
	Subject Update
	Updates []Update
	// Digest holds the four-byte hash of each bucket; the number of buckets is a power of two.
	Digest []byte
	// More is set in a PacketRecords if the sender has further records that differ.
	More bool
	// Revision is the catalog revision that the sender holds.
	Revision uint64
}

// Outgoing is a packet with its destination.
type Outgoing struct {
	To     netip.AddrPort
	Packet Packet
}

// Upper bounds of encoded sizes in bytes. They allow a packet to be filled without encoding it
// twice. The codec tests check them against real encodings.
const (
	updateOverhead = 34
	addressSize    = 22
	packetOverhead = 40
)

// maximumSize returns an upper bound of the encoded size of the update.
func (u Update) maximumSize() int {
	size := updateOverhead + len(u.Name) + len(u.Zone) + len(u.Region)
	if u.hasAddresses() {
		size += 2 * addressSize
	}
	return size
}

// maximumSize returns an upper bound of the encoded size of the packet.
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
