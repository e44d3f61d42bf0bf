// Package simulation is test support: it runs the decision code of a node against emulated leaves
// in virtual time. No program imports it.
//
// A run is a discrete-event simulation of one service. Open-loop clients send queries to several
// nodes, each node drives one dispatch.Dispatcher, and all nodes share the same leaves. Leaves
// have slots, a bounded queue, lognormal service times, pauses, cold starts, connection limits and
// load reports that are delayed or false. Faults start at scheduled times. A run is deterministic:
// the same Config gives the same Result.
//
// Every run checks the invariants of queries (see Violation). docs/PROVED.md relies on the random
// fault schedules for guarantees 1, 2, 4, 5 and 6 with index versions, partitions and frozen
// nodes. The package is no benchmark.
package simulation
