// Package promises holds only tests. They check the guarantees of micaplank end to end: each test
// starts a store, a machine list, leaves and nodes as processes on loopback, runs concurrent
// callers, injects faults and checks the recorded history. The packages of the decision code check
// the same guarantees under many more schedules; docs/PROVED.md lists both.
package promises
