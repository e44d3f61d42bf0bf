// Package quarantine decides which requests are withheld from leaves because leaves crash while
// they execute them.
//
// The rule: a request under which three leaves crashed, and which no leaf has answered, is
// suspected. A suspected request runs on a single leaf, and at most one such trial of it runs in
// the whole fleet at a time. Once two trials have crashed their leaf, and the usual crash rate at
// the service does not explain these crashes, the request is held: every node refuses it
// immediately for 5 to 10 minutes. An answer from any leaf clears the request.
//
// Inputs: the content of a request (a hash of what it asks); the attempts that ended with an
// answer, or with a connection that the leaf closed or reset before the first byte of its answer (a
// crash); the time (a duration on the node's clock); the records of the other nodes in the store (a
// Record for each request); the number of nodes.
//
// Reason: a request that triggers a fault in the leaf software crashes every leaf that starts to
// execute it, and client retries bring it back to any node. In two simulated incidents 28 to 31 and
// 111 to 121 leaves crashed without the rule, and 6 and 10 with it.
//
// IncarnationTracker decides which losses of a connection are crashes, and which leaves survived
// their loss.
//
// The package holds the state of one node: Table (suspected requests and their trials),
// IncarnationTracker (leaf incarnations whose connections were lost), BackgroundRate (how often
// attempts crash their leaf regardless of the request) and RecentAnswers (requests that were
// answered recently). The package has no clock and makes no calls: the driver writes each returned
// Change to the store, and passes in what the store holds. docs/design/0016-quarantine.md describes
// the design and its alternatives.
package quarantine
