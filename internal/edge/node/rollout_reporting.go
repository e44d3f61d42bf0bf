package node

import (
	"time"

	"github.com/micaplank/micaplank/internal/decide/rollout"
	"github.com/micaplank/micaplank/internal/roster"
)

// reporting chooses the node to report to, and knows what that one has received. It is
// not safe for concurrent use.
type reporting struct {
	avoided map[string]time.Duration // by name: until when
	// current is the node that was asked last, and failure how that failed.
	current string
	failure error
	// received is what an incarnation of a decider has answered to.
	incarnation string
	received    map[rollout.Subject]rollout.Counts
}

func newReporting() reporting {
	return reporting{avoided: make(map[string]time.Duration), received: make(map[rollout.Subject]rollout.Counts)}
}

// choose returns the first candidate that is not avoided, or the first of all if each
// is.
func (r *reporting) choose(now time.Duration, candidates []roster.Member) roster.Member {
	for _, one := range candidates {
		if now >= r.avoided[one.Name] {
			return one
		}
	}
	return candidates[0]
}

// avoid avoids a candidate for some time.
func (r *reporting) avoid(now time.Duration, name string) { r.avoided[name] = now + avoidTime }

// forget lets the next decider receive everything.
func (r *reporting) forget() {
	r.incarnation = ""
	clear(r.received)
}

// answered records what a decider has received. One that has restarted ignores a report
// that leaves out something, and receives everything next time.
func (r *reporting) answered(incarnation string, report rollout.Report) {
	if report.Decider != "" && incarnation != report.Decider {
		r.forget()
		return
	}
	r.incarnation = incarnation
	for _, row := range report.Rows {
		r.received[row.Subject] = row.Counts
	}
}
