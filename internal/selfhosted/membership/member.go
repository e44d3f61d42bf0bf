package membership

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// State is what is believed of a member.
type State uint8

// The states of a member, in the order in which one overrides another within
// the same incarnation and refutation counter.
const (
	// StateAlive members answer and take work.
	StateAlive State = iota
	// StateLeaving members answer, but have announced a planned stop and take
	// no new work.
	StateLeaving
	// StateSuspect members did not answer a probe and have not yet refuted
	// the suspicion. Callers should prefer others.
	StateSuspect
	// StateGone members have left, or did not refute a suspicion in time.
	StateGone
)

// String returns the lower-case name of the state.
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

// Member is one node as its peers know it. It is a value; it may be copied.
type Member struct {
	// Name is the slot name, the identity of the member.
	Name   string
	Zone   string
	Region string
	// Address is the peer port, the same number for UDP and TCP.
	Address netip.AddrPort
	// HTTPAddress is where callers and operators reach the member.
	HTTPAddress netip.AddrPort
	// Incarnation is larger for each process that takes the slot over.
	Incarnation uint64
	// Refutation is raised by the member itself to contradict a suspicion or
	// to announce that it is leaving.
	Refutation uint32
	State      State
}

// version orders what is known of one name: a record with the higher version
// replaces one with the lower.
type version struct {
	incarnation uint64
	refutation  uint32
	state       State
}

// newerThan reports whether v replaces other.
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

// ViewHash is this member's share of the hash of a view that contains it; see
// Core.ViewHash.
func (m Member) ViewHash() uint64 {
	return uint64(m.fingerprint())<<32 | uint64(nameHash(m.Name))
}

// fingerprint is a hash of the member's name and version, for digests.
func (m Member) fingerprint() uint32 {
	hash := xxhash.Sum64String(m.Name)
	for _, part := range []uint64{m.Incarnation, uint64(m.Refutation), uint64(m.State)} {
		hash = (hash ^ part) * 0x9e3779b97f4a7c15
		hash ^= hash >> 29
	}
	return uint32(hash >> 32)
}

// nameHash identifies a member in few bytes where a collision does no harm.
func nameHash(name string) uint32 {
	return uint32(xxhash.Sum64String(name) >> 32)
}
