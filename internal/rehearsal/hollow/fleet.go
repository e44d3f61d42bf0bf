package hollow

import (
	"context"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/dissemination"
)

// fleet is a number of hollow nodes. Its methods are called by one goroutine.
type fleet interface {
	// advance lets time pass.
	advance(ctx context.Context, duration time.Duration) error
	// now is the time since the fleet was started.
	now() time.Duration
	// statuses returns the state of every slot.
	statuses() []status
	// propose makes a change on a node; ended is called once, while time
	// passes, with its fate.
	propose(index int, command catalog.Command, token string, ended func(dissemination.Result))
	// restart lets a node leave and starts its successor.
	restart(index int)
	// cut separates the nodes of some zones from all others and the store; no
	// zones heal the cut.
	cut(zones []int)
	// traffic returns the counters of every slot since the start.
	traffic() []traffic
	// agreed reports whether all nodes see exactly the nodes that run.
	agreed() bool
	close()
}

// status is the state of the node in a slot.
type status struct {
	revision uint64
	// serves is set if the node may act: it has joined and is fresh.
	serves bool
	role   Role
	// suspect and gone count the suspicions raised and the members declared
	// gone by the slot's nodes so far, and restarts the restarts of the slot.
	suspect  uint64
	gone     uint64
	restarts int
}

// traffic counts what the successive nodes of a slot sent and received.
type traffic struct {
	sentBytes       uint64
	receivedBytes   uint64
	sentPackets     uint64
	receivedPackets uint64
	membershipBytes uint64
	// busy is the time spent in the node's code; the virtual fleet alone
	// measures it.
	busy time.Duration
}

// headerBytes is the size of the IP and UDP headers of a datagram.
const headerBytes = 20 + 8

// wireBytes is all that passed the node's interface.
func (t traffic) wireBytes() uint64 {
	return t.sentBytes + t.receivedBytes + headerBytes*(t.sentPackets+t.receivedPackets)
}

func (t traffic) minus(earlier traffic) traffic {
	return traffic{
		sentBytes:       t.sentBytes - earlier.sentBytes,
		receivedBytes:   t.receivedBytes - earlier.receivedBytes,
		sentPackets:     t.sentPackets - earlier.sentPackets,
		receivedPackets: t.receivedPackets - earlier.receivedPackets,
		membershipBytes: t.membershipBytes - earlier.membershipBytes,
		busy:            t.busy - earlier.busy,
	}
}

// roleOf returns the role of a node, given the nodes that run, in the way the
// dissemination chooses the watchers of a zone.
func roleOf(place slot, watcher bool) Role {
	switch {
	case place.voter:
		return RoleVoter
	case watcher:
		return RoleWatcher
	default:
		return RoleMember
	}
}
