package dissemination

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/telemetry"
)

type metrics struct {
	packets   *prometheus.CounterVec
	bytes     *prometheus.CounterVec
	fetches   *prometheus.CounterVec
	store     *prometheus.CounterVec
	proposals *prometheus.CounterVec
}

const namespace = "micaplank_dissemination_"

// newMetrics creates the metrics and registers them unless the registerer is nil.
func newMetrics(s *Service, registerer prometheus.Registerer) *metrics {
	factory := telemetry.NewFactory(registerer)
	gauge := func(name, help string, value func() float64) { factory.GaugeFunc(namespace+name, help, value) }
	gauge("revision", "Revision of the catalog that this node holds.",
		func() float64 { return float64(s.Current().Revision) })
	gauge("fresh_seconds", "Time for which this node may continue to serve without another confirmation; zero or less if it may not serve.",
		func() float64 { return s.FreshFor().Seconds() })
	gauge("voter_recovered", "Whether this node is a voter whose answers count (1) or not (0).",
		s.boolGauge(func(c *Core) bool { return c.Recovered() }))
	gauge("superseded", "Whether a newer process has taken over this node's voter slot (1) or not (0).",
		s.boolGauge(func(c *Core) bool { return c.Superseded() }))
	gauge("store_diverged", "Whether the store lacks a change that this node holds (1) or not (0).",
		s.boolGauge(func(c *Core) bool { return c.StoreDiverged() }))
	gauge("log_broken", "Whether the next change of the log cannot be applied by this process (1) or not (0).",
		s.boolGauge(func(c *Core) bool { return c.Broken() != nil }))
	return &metrics{
		packets:   factory.CounterVec(namespace+"packets_total", "Packets, by kind and direction.", "kind", "direction"),
		bytes:     factory.CounterVec(namespace+"bytes_total", "Payload bytes of packets, by direction.", "direction"),
		fetches:   factory.CounterVec(namespace+"fetches_total", "Fetches of changes from peers, by result.", "result"),
		store:     factory.CounterVec(namespace+"store_operations_total", "Operations on the store, by kind and result.", "kind", "result"),
		proposals: factory.CounterVec(namespace+"proposals_total", "Proposals ended here, by fate.", "fate"),
	}
}

// boolGauge returns a gauge function that reports a condition of the core as 1 or 0.
func (s *Service) boolGauge(read func(*Core) bool) func() float64 {
	return func() float64 {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if read(s.core) {
			return 1
		}
		return 0
	}
}

// packetKind returns the value of the label kind for a packet.
func packetKind(packet Packet) string {
	switch {
	case packet.Request != nil:
		return "request"
	case packet.Response != nil:
		return "response"
	case packet.Push != nil:
		return "push"
	}
	return "empty"
}

// logState is the state that the last log lines reported.
type logState struct {
	fresh      bool
	recovered  bool
	superseded bool
	diverged   bool
	broken     bool
}

// logStateChanges logs each change of state. The caller holds the mutex.
func (s *Service) logStateChanges() {
	now := logState{
		fresh:      s.core.Fresh(s.clock.Now()),
		recovered:  s.core.Recovered(),
		superseded: s.core.Superseded(),
		diverged:   s.core.StoreDiverged(),
		broken:     s.core.Broken() != nil,
	}
	before := s.loggedState
	s.loggedState = now
	if now == before {
		return
	}
	revision := s.core.Revision()
	if now.fresh != before.fresh {
		s.logger.Info("freshness changed", "fresh", now.fresh, "revision", revision)
	}
	if now.recovered != before.recovered {
		s.logger.Info("voting changed", "votes", now.recovered, "incarnation", s.core.Incarnation())
	}
	if now.superseded && !before.superseded {
		s.logger.Error("another process has taken over this voter slot", "incarnation", s.core.Incarnation())
	}
	if now.diverged != before.diverged {
		s.logger.Error("the store and this node disagree about the log", "diverged", now.diverged, "revision", revision)
	}
	if now.broken && !before.broken {
		s.logger.Error("the log has a change that this process cannot apply", "revision", revision, "error", s.core.Broken())
	}
}
