// Package membership tells every node which other nodes are up, leaving or
// gone, without a coordinator and without the configuration store.
//
// It is a SWIM protocol with the Lifeguard extensions: each node probes one
// other node a period, directly and then through proxies; a member that does
// not answer is suspected, and declared gone unless it refutes the suspicion
// in time; updates travel as a bounded number of epidemic retransmissions on
// every datagram; a low-rate exchange of digests repairs what was lost.
//
// Core is the protocol as a pure state machine: packets and ticks go in, Ready
// returns what to send and what changed. Service drives a Core over datagrams.
// The package owns what this node knows of the others. It relies on its caller for
// the socket, and for an incarnation that grows with each start.
//
// # Identity
//
// A member is known by the name of its slot. A replacement machine takes the
// name over with a higher incarnation, which always wins; the process that had
// the name learns of it (EventSuperseded) and must stop serving. Within one
// incarnation the member alone raises its refutation counter, to contradict a
// suspicion.
//
// # Zones
//
// Before a suspect is declared gone, it is asked a last time, and so is another
// member of its zone. If nobody in the zone answers, or if most of the zone is
// suspected and silent, the zone is held: its members stay suspected instead of
// being declared gone, and no further suspicions are raised in it, until
// anybody in the zone is heard from or Config.ZoneHold has passed. A cut
// between zones, and a node that is itself cut off, therefore cause suspicions
// and their refutations but no wave of members that go and come back.
package membership
