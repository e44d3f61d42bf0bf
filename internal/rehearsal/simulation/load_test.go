package simulation

import "time"

// capacity is the rate of queries a second at which the mean work of the mix
// would keep all slots busy.
func (s *Service) capacity() float64 {
	var work, shares float64
	for _, class := range s.Classes {
		seconds := class.MeanServiceTime.Seconds()
		if !class.Keyed() {
			seconds *= float64(s.Shards)
		}
		work += class.Weight * seconds
		shares += class.Weight
	}
	return float64(s.Slots*s.Leaves) / (work / shares)
}

// scheduleLoad starts the open-loop arrivals: a Poisson process whose rate
// changes at the steps of the scenario.
func (sim *simulator) scheduleLoad() {
	steps := sim.config.Scenario.Load
	for i, step := range steps {
		until := sim.arrivalsEndAt
		if i+1 < len(steps) {
			until = min(until, steps[i+1].At)
		}
		rate := step.Level * sim.config.Service.capacity()
		if rate > 0 {
			sim.engine.scheduleAt(step.At, func() { sim.scheduleArrival(rate, until) })
		}
	}
}

// scheduleArrival draws the next arrival of a step; the process has no memory,
// so the next step begins with a new draw.
func (sim *simulator) scheduleArrival(rate float64, until Time) {
	mean := time.Duration(float64(time.Second) / rate)
	next := sim.engine.now + exponential(sim.arrivals, mean)
	if next >= until {
		return
	}
	sim.engine.scheduleAt(next, func() {
		sim.generateQuery()
		sim.scheduleArrival(rate, until)
	})
}

// arrive lets a client send one query to a node.
func (sim *simulator) generateQuery() {
	q := &query{
		index: uint64(len(sim.queries)), class: sim.drawClass(), sentAt: sim.engine.now,
		keyHash: sim.arrivals.Uint64(),
	}
	first := sim.arrivals.IntN(len(sim.nodes))
	cancel := sim.arrivals.Float64()
	sim.queries = append(sim.queries, q)
	sim.sendToNode(q, first, 0)
	if cancel < sim.config.Scenario.CancelRatio {
		deadline := sim.config.Service.Classes[q.class].Deadline
		sim.engine.scheduleAfter(scale(deadline, cancel/sim.config.Scenario.CancelRatio), func() {
			if q.node != nil {
				q.node.deliver(func() { q.node.cancel(q) })
			}
		})
	}
}

// sendToNode carries a query to a node; a client that meets a dead one goes to
// the next.
func (sim *simulator) sendToNode(q *query, index, tries int) {
	delay := sim.config.Deployment.Network.ClientDelay
	sim.engine.scheduleAfter(delay, func() {
		n := sim.nodes[index]
		switch {
		case !n.down:
			n.deliver(func() { n.submit(q) })
		case tries >= len(sim.nodes):
			q.lost = true
		default:
			sim.engine.scheduleAfter(delay, func() { sim.sendToNode(q, (index+1)%len(sim.nodes), tries+1) })
		}
	})
}

func (sim *simulator) drawClass() int {
	var shares float64
	for _, class := range sim.config.Service.Classes {
		shares += class.Weight
	}
	drawn := sim.arrivals.Float64() * shares
	for i, class := range sim.config.Service.Classes {
		drawn -= class.Weight
		if drawn < 0 {
			return i
		}
	}
	return len(sim.config.Service.Classes) - 1
}
