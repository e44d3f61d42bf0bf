// Package executors decides which nodes run the requests of many shards for the other nodes,
// whether such a node accepts a request, and to which one a node delegates it. It is pure: time is
// passed in as an argument.
//
// Rule: a few nodes, the executors, run the requests of many shards of all other nodes. They are
// the nodes with the most cores if the sizes differ much, otherwise some nodes of each zone of a
// fleet that is large enough. Each executor reports whether it has capacity. A node delegates a
// request to an executor of its own zone that has capacity and meets the request's Terms, or else
// to one of another zone.
//
// Inputs: the announced nodes with their zones and cores (seconds of processor time per second),
// each executor's Status, round trip and latency, the number of attempts that a node sends per
// second, and the queries that run on it.
//
// Reason: the processor time of a query of many shards is part of its latency, and a small node
// takes several times as long for it. An executor also detects slow leaves from many queries
// instead of one per second, and a few nodes with many queries need few connections to leaves. In a
// fleet of 8 nodes with 0.8 cores and 56 with 0.2, executors raise the share of requests served in
// time from 79 % to 94 % and reduce the new connections by 60 %.
//
// Package delegate owns the connections to the executors and makes the calls.
package executors
