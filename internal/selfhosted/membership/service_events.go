package membership

// subscriberBufferSize is the number of events that are buffered for a subscriber.
const subscriberBufferSize = 256

// publish logs events and sends them to the subscribers. It closes the channel of a subscriber
// whose buffer is full, so that the subscriber notices that it missed events.
func (s *Service) publish(events []Event) {
	for _, event := range events {
		s.logEvent(event)
		for id, subscriber := range s.subscribers {
			select {
			case subscriber <- event:
			default:
				close(subscriber)
				delete(s.subscribers, id)
				s.metrics.overruns.Inc()
			}
		}
	}
}

func (s *Service) logEvent(event Event) {
	switch event.Kind {
	case EventChanged:
		s.logger.Info("member changed", "peer", event.Member.Name, "zone", event.Member.Zone,
			"state", event.Member.State.String(), "previous_state", event.Previous.State.String(),
			"incarnation", event.Member.Incarnation)
	case EventSuperseded:
		s.logger.Error("another process holds the name of this node",
			"peer", event.Member.Address.String(), "incarnation", event.Member.Incarnation)
	case EventZoneHeld:
		s.logger.Warn("zone does not answer", "zone", event.Zone)
	case EventZoneReleased:
		s.logger.Info("zone is no longer held", "zone", event.Zone)
	case EventPaused:
		s.logger.Warn("process did not run", "pause", event.Pause)
	case EventRevision:
	}
}

// Subscribe returns a channel of all events from now on, and a function that ends the subscription.
// The channel is closed when the subscription ends, on Close, or when the buffer of the subscriber
// is full. In the last case the subscriber subscribes again and reads Members.
func (s *Service) Subscribe() (<-chan Event, func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	events := make(chan Event, subscriberBufferSize)
	if s.closed {
		close(events)
		return events, func() {}
	}
	id := s.nextSubscriberID
	s.nextSubscriberID++
	s.subscribers[id] = events
	return events, func() { s.unsubscribe(id) }
}

func (s *Service) unsubscribe(id int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if subscriber, ok := s.subscribers[id]; ok {
		close(subscriber)
		delete(s.subscribers, id)
	}
}
