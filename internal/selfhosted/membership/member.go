package membership

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a member in the view of a node.
type State uint8

// The states of a member, in ascending order of precedence: with equal incarnation and refutation
// counter, the higher state replaces the lower.
const (
	// StateAlive members answer probes and accept work.
	StateAlive State = iota
	// StateLeaving members answer probes, but have announced a planned stop and accept no new work.
	StateLeaving
	// StateSuspect members did not answer a probe and have not yet refuted the suspicion. Callers
	// should prefer other members.
	StateSuspect
	// StateGone members have left, or did not refute a suspicion in time.
	StateGone
)

// String returns the name of the state in lower case.
func (s State) String() string {
	switch s {
	case StateAlive:
		return "alive"
	case StateLeaving:
		return "leaving"
	case StateSuspect:
		return "suspect"
	case StateGone:
		return "gone"
	default:
		return "invalid"
	}
}

// Member is the record of one node. Copies are independent of each other.
type Member struct {
	// Name is the name of the slot and identifies the member.
	Name   string
	Zone   string
	Region string
	// Address is the address of the peer port. UDP and TCP use the same port number.
	Address netip.AddrPort
	// HTTPAddress is the address for clients and operators.
	HTTPAddress netip.AddrPort
	// Incarnation is higher for each later process in the same slot.
	Incarnation uint64
	// Refutation is raised only by the member itself, to contradict a suspicion or to announce a
	// change of its state.
	Refutation uint32
	State      State
}

// version orders the records of one member: a record with a higher version replaces one with a
// lower version.
type version struct {
	incarnation uint64
	refutation  uint32
	state       State
}

// newerThan reports whether a record of version v replaces one of version other.
func (v version) newerThan(other version) bool {
	if v.incarnation != other.incarnation {
		return v.incarnation > other.incarnation
	}
	if v.refutation != other.refutation {
		return v.refutation > other.refutation
	}
	return v.state > other.state
}

func (m Member) version() version {
	return version{m.Incarnation, m.Refutation, m.State}
}

// ViewHash returns the contribution of this member to Core.ViewHash.
func (m Member) ViewHash() uint64 {
	return uint64(m.fingerprint())<<32 | uint64(nameHash(m.Name))
}

// fingerprint returns a hash of the name and version of the member, for digests.
func (m Member) fingerprint() uint32 {
	hash := xxhash.Sum64String(m.Name)
	for _, part := range []uint64{m.Incarnation, uint64(m.Refutation), uint64(m.State)} {
		hash = (hash ^ part) * 0x9e3779b97f4a7c15
		hash ^= hash >> 29
	}
	return uint32(hash >> 32)
}

// nameHash returns a four-byte identifier of a member for uses in which a collision is harmless.
func nameHash(name string) uint32 {
	return uint32(xxhash.Sum64String(name) >> 32)
}
