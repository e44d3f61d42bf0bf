package rollout

import (
	"time"

	"github.com/micaplank/micaplank/internal/roster"
)

// The rule of reports: a node that takes part reports to the first candidate that
// answers and can write to the store. One that did not, or cannot, is avoided for
// AvoidTime; if all are avoided, the first one gets the report.
//
// Inputs: the candidates in their order, the time on the node's clock, and how the last
// reports ended.
//
// Reason: nodes that see the same candidates report to the same one, so that it judges by
// the counts of all. A node whose decider is lost finds the next one before its grants end.

// AvoidTime is how long a node is avoided as decider that did not answer, or that cannot
// write to the store; the latter says so itself for as long. Not measured: chosen as
// GrantTTL, the time for which a grant holds.
const AvoidTime = 2 * time.Second

// Reporting chooses the node to report to, and knows what that one has received. It is
// not safe for concurrent use.
type Reporting struct {
	avoided map[string]time.Duration // by name: until when
	// received is what an incarnation of a decider has answered to.
	decider  string
	received map[Subject]Counts
}

// NewReporting returns a Reporting that avoids no node.
func NewReporting() *Reporting {
	return &Reporting{avoided: make(map[string]time.Duration), received: make(map[Subject]Counts)}
}

// Reports reports whether a node reports its counts. Alone, it does: it reports to itself.
func Reports(self string, participants []roster.Member) bool {
	return len(participants) == 0 || containsNode(participants, self)
}

// Choose returns the first candidate that is not avoided, or the first of all if each
// is. There must be one.
func (r *Reporting) Choose(now time.Duration, candidates []roster.Member) roster.Member {
	for _, candidate := range candidates {
		if now >= r.avoided[candidate.Name] {
			return candidate
		}
	}
	return candidates[0]
}

// Avoid avoids a node for AvoidTime.
func (r *Reporting) Avoid(now time.Duration, name string) { r.avoided[name] = now + AvoidTime }

// Decider returns the incarnation of the decider that has what Received returns; empty if
// none has anything.
func (r *Reporting) Decider() string { return r.decider }

// Received returns what the decider has answered to. The next report leaves it out.
func (r *Reporting) Received() map[Subject]Counts { return r.received }

// Forget has the next report leave out nothing.
func (r *Reporting) Forget() {
	r.decider = ""
	clear(r.received)
}

// Answered records what an incarnation of a decider has received. One that has restarted
// ignores a report that leaves out something, and receives everything next time.
func (r *Reporting) Answered(decider string, report Report) {
	if report.Decider != "" && decider != report.Decider {
		r.Forget()
		return
	}
	r.decider = decider
	for _, row := range report.Rows {
		r.received[row.Subject] = row.Counts
	}
}
