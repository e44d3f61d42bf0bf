// Package quarantine decides which requests get no leaf any more, since leaves crash
// under them.
//
// The rule: a request under which three leaves crashed, and which none has answered, is
// suspected: it runs on one leaf alone, one such trial at a time in the whole fleet. Once
// two trials have crashed their leaf, and that is not what happens to any request there,
// it is held: every node refuses it at once, for some minutes; any answer of any leaf
// clears it.
//
// Inputs: the content of a request (a hash of what it asks); the attempts that ended with
// a connection which the leaf closed or reset before a byte of its answer (a crash), or
// with an answer; the time (a duration on the node's clock); what the store says that the
// other nodes know (a Record for each request); how many nodes there are.
//
// Reason: a request whose content meets a fault of the leaves' software crashes each leaf
// that begins to run it, and returns with each retry, at any node. Without the rule 28 to
// 31 and 111 to 121 leaves crashed in the two plays of
// TestCrashingRequestIsQuarantined, with it 6 and 10 (five runs).
//
// Which losses are crashes, and which leaves survived theirs, decides Starts.
//
// Measurements behind the constants: see DefaultConfig and the constants of Background,
// Recent, Record, Starts and PlanTrial. docs/design/0016-quarantine.md has the argument and what
// was weighed.
//
// The package owns what one node knows of suspected requests: Table (states and trials),
// Starts (leaves that were lost),
// Background (how often runs crash their leaf whatever the request), Recent (what was
// answered lately). It has no clock and makes no calls: the driver writes each Change that
// it returns to the store, and hands in what the store says.
package quarantine
