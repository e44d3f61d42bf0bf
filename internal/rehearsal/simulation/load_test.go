package simulation

import "time"

// capacity returns the rate of queries per second at which the mean work of the class mix keeps
// all slots busy.
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

// scheduleLoad schedules open-loop arrivals: a Poisson process whose rate changes at each load
// step.
func (s *simulator) scheduleLoad() {
	steps := s.config.Scenario.Load
	for i, step := range steps {
		until := s.arrivalsEndAt
		if i+1 < len(steps) {
			until = min(until, steps[i+1].At)
		}
		rate := step.Level * s.config.Service.capacity()
		if rate > 0 {
			s.engine.scheduleAt(step.At, func() { s.scheduleArrival(rate, until) })
		}
	}
}

// scheduleArrival draws the next arrival of a load step. A Poisson process is memoryless, so the
// next step starts with a new draw.
func (s *simulator) scheduleArrival(rate float64, until Time) {
	mean := time.Duration(float64(time.Second) / rate)
	next := s.engine.now + exponential(s.arrivals, mean)
	if next >= until {
		return
	}
	s.engine.scheduleAt(next, func() {
		s.generateQuery()
		s.scheduleArrival(rate, until)
	})
}

// generateQuery sends a new query from a client to a random node. A share of CancelRatio of the
// queries is cancelled before the deadline.
func (s *simulator) generateQuery() {
	q := &query{
		index: uint64(len(s.queries)), class: s.drawClass(), sentAt: s.engine.now,
		keyHash: s.arrivals.Uint64(),
	}
	first := s.arrivals.IntN(len(s.nodes))
	cancel := s.arrivals.Float64()
	s.queries = append(s.queries, q)
	s.sendToNode(q, first, 0)
	if cancel < s.config.Scenario.CancelRatio {
		deadline := s.config.Service.Classes[q.class].Deadline
		s.engine.scheduleAfter(scale(deadline, cancel/s.config.Scenario.CancelRatio), func() {
			if q.node != nil {
				q.node.deliver(func() { q.node.cancel(q) })
			}
		})
	}
}

// sendToNode delivers a query to a node. A client whose node is down tries the next node.
func (s *simulator) sendToNode(q *query, index, tries int) {
	delay := s.config.Deployment.Network.ClientDelay
	s.engine.scheduleAfter(delay, func() {
		n := s.nodes[index]
		switch {
		case !n.down:
			n.deliver(func() { n.submit(q) })
		case tries >= len(s.nodes):
			q.lost = true
		default:
			s.engine.scheduleAfter(delay, func() { s.sendToNode(q, (index+1)%len(s.nodes), tries+1) })
		}
	})
}

func (s *simulator) drawClass() int {
	var shares float64
	for _, class := range s.config.Service.Classes {
		shares += class.Weight
	}
	drawn := s.arrivals.Float64() * shares
	for i, class := range s.config.Service.Classes {
		drawn -= class.Weight
		if drawn < 0 {
			return i
		}
	}
	return len(s.config.Service.Classes) - 1
}
