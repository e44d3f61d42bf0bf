// Package executors decides which nodes run the requests of many shards for the
// others, whether one of them takes a request, and to which one a node hands it.
// It is pure: time comes in as an argument.
//
// The rule: a few nodes, the executors, run the requests of many shards of all
// others. They are the nodes with the most processor where sizes differ much, else
// some of each zone of a fleet that is large enough. Each says for itself whether
// it has room; a node hands a request to one of its own zone that has room and can keep
// the request's Terms, or else to one of another zone.
//
// Inputs: the announced nodes with their zones and cores (seconds of processor time
// a second), each executor's Status, round trip and latency, the attempts that a
// node sends a second and the queries that run on it.
//
// Reason: the processor time of a query of many shards is part of its latency, and
// a small node takes it several times as long. An executor also learns of slow
// leaves from many queries in place of one a second, and few nodes with many
// queries need few connections to leaves. On a deployment of 8 nodes of 0.8 cores
// and 56 of a fifth of one the share of requests served in time rose from 0.793 to
// 0.942, and new connections fell from 13,058 to 5,152.
//
// It owns no connection: package delegate asks the executors and makes the calls.
// It relies on roster (which nodes there are) and liveness (whether one answers).
package executors
