// Package promises holds only tests. It proves what micaplank promises its users
// through the real programs: each test starts a store, a machine list, leaves and nodes as
// processes on loopback, puts concurrent callers and faults on them, and checks
// the recorded history. The proofs of the decisions, over many more schedules,
// are in the packages of the decisions; docs/PROVED.md lists both.
package promises
