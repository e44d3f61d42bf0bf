// Package simulation is test support: it runs the decision code of a node
// against emulated leaves in virtual time. No program imports it.
//
// A run is a discrete-event simulation of one service: open-loop clients send
// queries to several nodes, each node drives one dispatch.Dispatcher, and the
// Dispatchers share the same leaves. Leaves have slots, a bounded queue,
// lognormal service times, pauses, cold starts, connections and load reports
// that lag or lie. Faults happen on a schedule. A run depends on nothing but
// its Config: the same Config gives the same Result.
//
// Every run checks the promises that concern queries (see Violation).
// docs/PROVED.md rests on its random schedules for promises 1, 2, 4, 5 and 6
// with index versions, partitions and frozen nodes. It measures no speed.
package simulation
