package dissemination

import (
	"context"
	"net/netip"
)

// transmit encodes and sends packets.
func (s *Service) transmit(packets []Outgoing) {
	for _, outgoing := range packets {
		payload, err := EncodePacket(outgoing.Packet)
		if err == nil {
			err = s.options.Transport.Send(outgoing.To, payload)
		}
		if err != nil {
			s.metrics.packets.WithLabelValues(packetKind(outgoing.Packet), "failed").Inc()
			continue
		}
		s.metrics.packets.WithLabelValues(packetKind(outgoing.Packet), "sent").Inc()
		s.metrics.bytes.WithLabelValues("sent").Add(float64(len(payload)))
	}
}

// Receive processes one datagram. The owner of the socket calls it.
func (s *Service) Receive(from netip.AddrPort, payload []byte) {
	packet, err := DecodePacket(payload)
	if err != nil {
		s.metrics.packets.WithLabelValues("malformed", "received").Inc()
		return
	}
	s.metrics.packets.WithLabelValues(packetKind(packet), "received").Inc()
	s.metrics.bytes.WithLabelValues("received").Add(float64(len(payload)))
	s.runStep(func(now Time) { s.core.Step(now, from, packet) })
}

// ServeFetch answers a peer's fetch call.
func (s *Service) ServeFetch(_ context.Context, _ netip.AddrPort, call *FetchCall) (*FetchReply, error) {
	s.mutex.Lock()
	response := s.core.AnswerFetch(FetchRequest{Revision: call.Revision})
	s.mutex.Unlock()
	return encodeFetchResponse(response)
}

// Hint reports that a member announced a revision outside of the exchange protocol, for example in
// a heartbeat.
func (s *Service) Hint(from netip.AddrPort, revision uint64) {
	if revision > s.Current().Revision {
		s.runStep(func(now Time) { s.core.Hint(now, from, revision) })
	}
}
