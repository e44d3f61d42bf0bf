package simulation

import "time"

// capacity is the rate of queries a second at which the mean work of the mix
// would keep all slots busy.
func (s *Service) capacity() float64 {
	var work, shares float64
	for _, class := range s.Classes {
		seconds := class.Mean.Seconds()
		if !class.Keyed() {
			seconds *= float64(s.Shards)
		}
		work += class.Share * seconds
		shares += class.Share
	}
	return float64(s.Slots*s.Leaves) / (work / shares)
}

// scheduleLoad starts the open-loop arrivals: a Poisson process whose rate
// changes at the steps of the scenario.
func (w *world) scheduleLoad() {
	steps := w.config.Scenario.Load
	for i, step := range steps {
		until := w.endAt
		if i+1 < len(steps) {
			until = min(until, steps[i+1].At)
		}
		rate := step.Level * w.config.Service.capacity()
		if rate > 0 {
			w.engine.at(step.At, func() { w.scheduleArrival(rate, until) })
		}
	}
}

// scheduleArrival draws the next arrival of a step; the process has no memory,
// so the next step begins with a new draw.
func (w *world) scheduleArrival(rate float64, until Time) {
	mean := time.Duration(float64(time.Second) / rate)
	next := w.engine.now + exponential(w.arrivals, mean)
	if next >= until {
		return
	}
	w.engine.at(next, func() {
		w.arrive()
		w.scheduleArrival(rate, until)
	})
}

// arrive lets a client send one query to a node.
func (w *world) arrive() {
	q := &query{
		index: uint64(len(w.queries)), class: w.drawClass(), sentAt: w.engine.now,
		keyHash: w.arrivals.Uint64(),
	}
	first := w.arrivals.IntN(len(w.nodes))
	cancel := w.arrivals.Float64()
	w.queries = append(w.queries, q)
	w.sendToNode(q, first, 0)
	if cancel < w.config.Scenario.CancelShare {
		deadline := w.config.Service.Classes[q.class].Deadline
		w.engine.after(scale(deadline, cancel/w.config.Scenario.CancelShare), func() {
			if q.node != nil {
				q.node.deliver(func() { q.node.cancel(q) })
			}
		})
	}
}

// sendToNode carries a query to a node; a client that meets a dead one goes to
// the next.
func (w *world) sendToNode(q *query, index, tries int) {
	delay := w.config.Deployment.Network.Clients
	w.engine.after(delay, func() {
		n := w.nodes[index]
		switch {
		case !n.dead:
			n.deliver(func() { n.submit(q) })
		case tries >= len(w.nodes):
			q.lost = true
		default:
			w.engine.after(delay, func() { w.sendToNode(q, (index+1)%len(w.nodes), tries+1) })
		}
	})
}

func (w *world) drawClass() int {
	var shares float64
	for _, class := range w.config.Service.Classes {
		shares += class.Share
	}
	drawn := w.arrivals.Float64() * shares
	for i, class := range w.config.Service.Classes {
		drawn -= class.Share
		if drawn < 0 {
			return i
		}
	}
	return len(w.config.Service.Classes) - 1
}
