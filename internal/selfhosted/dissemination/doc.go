// Package dissemination replicates the operators' catalog to one node. It fetches the log of
// changes from the configuration store and from peers, decides whether the node is fresh enough to
// serve, and drives a proposed change until it is accepted and in force.
//
// Core is a deterministic state machine without goroutines, sockets, a clock or a global random
// source. A driver passes messages, results and ticks to it and carries out the actions that Ready
// returns. Service is the driver of a node process; the tests drive Core in virtual time.
//
// The package owns the node's copy of the log, the store keys of changes and checkpoints, and the
// pending proposals. Package catalog defines the effect of a change, packages peer and store are
// the transports, and the caller supplies the list of members.
//
// # Terms
//
// A revision is accepted once the store has the change of that revision and a majority of the
// catalog's voters hold it at the same moment. The confirmation of a node is a time c with the
// proven property that the node holds every revision accepted before c. A node is fresh while its
// confirmation is younger than the freshness window. Therefore every fresh node holds a change once
// the window has passed since the change was accepted.
//
// # Evidence for a confirmation
//
//   - A store read sent at c that returns no revision beyond the node's own.
//   - Responses from a majority of the voters to requests sent at c or later, each with a revision
//     no higher than the node's. Any majority that held an accepted change shares a voter with this
//     one.
//   - A relayed confirmation of a peer: the response to a request sent at s carries the peer's
//     revision and the age of its confirmation. If the node holds that revision, its own
//     confirmation is at least s minus that age. Because the sending time counts, a delay only
//     makes the confirmation older.
//
// # Restarted voters
//
// Voters have no persistent state. A restarted voter acknowledges no revision until it has
// recovered: a majority of the other voters must register its incarnation, and the voter must then
// obtain a confirmation without counting itself. A response counts only if it comes from the
// highest known incarnation of its voter slot. docs/design/0006-freshness-fence.md contains the
// proof.
package dissemination
