// Package membership maintains the list of nodes that are alive, leaving, suspected or gone. It
// needs neither a coordinator nor the configuration store.
//
// The protocol is SWIM with the Lifeguard extensions. Each node probes one other node per period,
// first directly and then through proxies. A member that does not answer is suspected, and is
// declared gone unless it refutes the suspicion in time. Updates are piggybacked on every datagram
// and each node retransmits an update a bounded number of times. A low-rate exchange of digests
// repairs updates that were lost.
//
// Core implements the protocol as a state machine without I/O: packets and ticks are its input, and
// Ready returns the packets to send and the events. Service drives a Core over datagrams. The
// caller provides the socket and an incarnation that grows with each start of the process.
//
// # Identity
//
// A member is identified by the name of its slot. A replacement machine takes over the name with a
// higher incarnation, which always wins. The process that held the name before receives
// EventSuperseded and must stop serving. Within one incarnation, only the member itself raises its
// refutation counter, to contradict a suspicion.
//
// # Zone holds
//
// Before a suspect is declared gone, the final check pings it again and queries another member of
// its zone. If no member of the zone answers, or if most of the zone is suspected and silent, the
// zone is held: its members stay suspected instead of being declared gone, and no further
// suspicions are raised in it. The hold ends when a packet from the zone arrives or after
// Config.ZoneHold. A network partition between zones, or the isolation of this node, therefore
// causes suspicions and refutations, but no wave of members that are declared gone and then return.
package membership
