// Rule: last send. A query that may run once gets no attempt from the moment on at which less than
// the service time of its class is left, or less than half of its own time if that is shorter. If it
// has no attempt then, it ends as not run. While the process stops, no query gets an attempt that
// would outlast the process (stop.go).
//
// Inputs: submission and deadline of the query, service time of its class (seconds).
//
// Reason: an attempt that is not answered before the deadline leaves the outcome unknown, although
// the query had provably not run a moment before. A query that can be repeated loses nothing by the
// attempt. The bound of half its own time lets a class recover from a service time that was
// overestimated, since only answers correct it.

package dispatch

// lastSend returns the time from which on the query gets no attempt.
func (d *Dispatcher) lastSend(q *query) Time {
	last := q.Deadline
	if !q.Class.Repeatable {
		last -= min(seconds(q.class.serviceTime), (q.Deadline-q.submitted)/2)
	}
	if d.stopping() {
		last = min(last, d.lastSendBeforeStop(q.class))
	}
	return last
}

// SendLimits bounds the attempts of a query in time.
type SendLimits struct {
	// LastSend is the time from which on the query gets no attempt.
	LastSend Time
	// Deadline is the time at which the query ends.
	Deadline Time
}

// SendLimits returns the limits of a query that has not ended, and false for any other.
func (d *Dispatcher) SendLimits(id QueryID) (SendLimits, bool) {
	q, ok := d.queries.byID[id]
	if !ok {
		return SendLimits{}, false
	}
	return SendLimits{LastSend: d.lastSend(q), Deadline: q.Deadline}, true
}
