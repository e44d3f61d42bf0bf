// Package simulation runs the decision code of a node against emulated leaves
// in virtual time.
//
// A run is a discrete-event simulation of one service: open-loop clients send
// queries to several nodes, each node drives one Decider, and the Deciders
// share the same leaves. Leaves have slots, a bounded queue, lognormal service
// times, pauses, cold starts, connections and load reports that lag or lie.
// Faults happen on a schedule. A run depends on nothing but its Config: the
// same Config gives the same Result, and two policies under the same seed meet
// the same arrivals and the same work.
//
// Every run checks the promises that concern queries (see Violation); a run of
// a policy that breaks one still ends, and says so in its Result.
package simulation
