package rollout

import (
	"time"

	"github.com/micaplank/micaplank/internal/roster"
)

// The rule of reports: a participant reports to the first candidate that answers and can write to
// the store. It avoids a candidate that did not answer or cannot write for AvoidTime; if it avoids
// all candidates, the first one gets the report.
//
// Inputs: the candidates in their order, the time on the node's clock, and the results of the last
// reports.
//
// Reason: nodes that see the same candidates report to the same one, so that it evaluates the
// counts of all nodes. A node whose decider is lost finds the next one before its grants expire.

// AvoidTime is the time for which a node avoids a candidate that did not answer or cannot write to
// the store; a candidate that cannot write reports this itself for the same time. It equals
// GrantTTL.
const AvoidTime = 2 * time.Second

// DeciderSelector selects the candidate to report to, and tracks which counts the decider has
// received. It is not safe for concurrent use.
type DeciderSelector struct {
	avoided map[string]time.Duration // end of avoidance, by node name
	// decider is the incarnation that acknowledged the counts in received.
	decider  string
	received map[Subject]Counts
}

// NewDeciderSelector returns a DeciderSelector that avoids no candidate.
func NewDeciderSelector() *DeciderSelector {
	return &DeciderSelector{avoided: make(map[string]time.Duration), received: make(map[Subject]Counts)}
}

// MustReport reports whether a node reports its counts. A node without participants reports to
// itself.
func MustReport(self string, participants []roster.Member) bool {
	return len(participants) == 0 || containsNode(participants, self)
}

// Choose returns the first candidate that is not avoided, or the first of all if each is avoided.
// Candidates must not be empty.
func (r *DeciderSelector) Choose(now time.Duration, candidates []roster.Member) roster.Member {
	for _, candidate := range candidates {
		if now >= r.avoided[candidate.Name] {
			return candidate
		}
	}
	return candidates[0]
}

// Avoid avoids a candidate for AvoidTime.
func (r *DeciderSelector) Avoid(now time.Duration, name string) { r.avoided[name] = now + AvoidTime }

// Decider returns the incarnation of the decider that has received the counts in
// AcknowledgedCounts; empty if there is none.
func (r *DeciderSelector) Decider() string { return r.decider }

// AcknowledgedCounts returns the counts that the decider has acknowledged. The next report omits
// them.
func (r *DeciderSelector) AcknowledgedCounts() map[Subject]Counts { return r.received }

// Reset makes the next report complete.
func (r *DeciderSelector) Reset() {
	r.decider = ""
	clear(r.received)
}

// RecordReply records the counts that a decider has received. A restarted decider ignores an
// incremental report, and receives all counts with the next one.
func (r *DeciderSelector) RecordReply(decider string, report Report) {
	if report.Decider != "" && decider != report.Decider {
		r.Reset()
		return
	}
	r.decider = decider
	for _, row := range report.Rows {
		r.received[row.Subject] = row.Counts
	}
}
