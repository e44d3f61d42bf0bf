// Package dissemination keeps the operators' catalog on one node: it brings the
// log of changes from the configuration store and from peers, decides whether
// the node may serve (freshness), and drives a change until it is accepted and
// in force.
//
// Core is a pure state machine: it owns no goroutine, socket, clock or global
// random source. A driver passes messages, results and ticks in and carries out
// what Ready returns. Service is the driver of a node process; tests drive Core in
// virtual time.
//
// The package owns the log that a node holds, the keys of changes and checkpoints
// in the store, and the proposals under way. It relies on catalog for what a change
// does, on peer and store for transport, and on its caller for the list of members.
//
// # Terms
//
// A revision r is accepted once the store has change r and a majority of the
// catalog's voters hold it at one moment. A node's confirmation is a time c for
// which is proved: everything accepted before c, the node holds. A node is
// fresh while its confirmation is younger than the window. So once the window
// has passed after a change was accepted, every fresh node holds the change.
//
// # What proves a confirmation
//
//   - A read of the store, sent at c, that shows nothing beyond what the node
//     holds.
//   - Answers of a majority of the voters to requests sent at c or later, none
//     of them with a revision beyond the node's: a majority that held the
//     accepted change shares a voter with them.
//   - A peer's confirmation, passed on: a request sent at s is answered with the
//     peer's revision and the age of its confirmation; if the node holds that
//     revision, its own confirmation is at least s minus that age. The time of
//     sending counts, so delays only make the confirmation older.
//
// # Voters that forget
//
// A voter keeps nothing on disk, so a restarted one acknowledges nothing until
// it has recovered: a majority of the other voters have registered its
// incarnation, and after that it has got a confirmation without counting
// itself. An answer counts only for the highest incarnation known of a slot.
// docs/design/0006-freshness-fence.md has the argument.
package dissemination
