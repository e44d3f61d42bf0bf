package frontend

import (
	"time"

	"github.com/micaplank/micaplank/internal/mirror"
	"github.com/micaplank/micaplank/internal/registry"
	"github.com/micaplank/micaplank/internal/route"
	"github.com/micaplank/micaplank/internal/telemetry"
)

// configSink installs the declared configuration.
type configSink struct{ *Frontend }

// Replace implements mirror.Sink.
func (s configSink) Replace(items []mirror.Item, _ bool) {
	for _, item := range items {
		s.install(item)
	}
	s.forwarder.SetFresh(true)
}

// Change implements mirror.Sink. The removal of the configuration changes
// nothing: the last one stays in force.
func (s configSink) Change(events []mirror.Event) {
	for _, event := range events {
		if !event.Removed {
			s.install(event.Item)
		}
	}
	s.forwarder.SetFresh(true)
}

// Lost implements mirror.Sink.
func (s configSink) Lost(err error) {
	s.forwarder.SetFresh(false)
	s.dependencyLost("config", err)
}

// Regained implements mirror.Sink.
func (s configSink) Regained(away time.Duration) {
	s.dependencyRegained("config", away)
}

// install puts a configuration into force if it is newer and can be used.
func (s configSink) install(item mirror.Item) {
	config, found, err := s.ports.Decoder.Config(item)
	if !found && err == nil {
		return
	}
	if err == nil {
		err = config.Validate()
	}
	if err != nil {
		s.metrics.configsRejected.Inc()
		s.logger.Error("configuration rejected", "key", item.Key, "revision", item.Revision, telemetry.Error(err))
		return
	}
	for _, declared := range config.Services {
		s.index.Of(declared.Name)
	}
	if !s.forwarder.Install(route.NewTable(config)) {
		return
	}
	s.metrics.configVersion.Set(float64(config.Version))
	s.logger.Info("configuration installed", "version", config.Version, "revision", item.Revision,
		"routes", len(config.Routes), "services", len(config.Services))
	s.publish()
}

// leafSink follows the announcements of leaves.
type leafSink struct{ *Frontend }

// Replace implements mirror.Sink.
func (s leafSink) Replace(items []mirror.Item, gap bool) {
	leaves := make([]registry.Leaf, 0, len(items))
	for _, item := range items {
		if read, ok := s.read(item); ok {
			leaves = append(leaves, read)
		}
	}
	s.mutex.Lock()
	s.leaves.Replace(s.clock.Now(), leaves)
	s.leavesKnown = true
	s.mutex.Unlock()
	s.logger.Info("leaves read", "leaves", len(leaves), "after_gap", gap)
	s.publish()
}

// Change implements mirror.Sink.
func (s leafSink) Change(events []mirror.Event) {
	if len(events) == 0 {
		return
	}
	for _, event := range events {
		read, ok := s.read(event.Item)
		if !ok {
			continue
		}
		s.mutex.Lock()
		if event.Removed {
			s.leaves.Remove(s.clock.Now(), read.ID)
		} else {
			s.leaves.Set(read)
		}
		s.mutex.Unlock()
		s.logger.Info("leaf changed", "leaf", read.ID, "service", read.Service, "address", read.Address,
			"draining", read.Draining, "removed", event.Removed, "revision", event.Revision)
	}
	s.publish()
}

// Lost implements mirror.Sink.
func (s leafSink) Lost(err error) { s.dependencyLost("leaves", err) }

// Regained implements mirror.Sink.
func (s leafSink) Regained(away time.Duration) {
	s.mutex.Lock()
	s.leaves.Outage(s.clock.Now())
	s.mutex.Unlock()
	s.dependencyRegained("leaves", away)
}

func (s leafSink) read(item mirror.Item) (registry.Leaf, bool) {
	read, err := s.ports.Decoder.Leaf(item)
	if err != nil {
		s.metrics.leavesRejected.Inc()
		s.logger.Error("leaf rejected", "key", item.Key, "revision", item.Revision, telemetry.Error(err))
		return registry.Leaf{}, false
	}
	return read, true
}

// publish hands the leaves to the Dispatcher.
func (f *Frontend) publish() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.publishLocked()
}

func (f *Frontend) publishLocked() {
	_, next := f.leaves.Expire(f.clock.Now())
	if next > 0 {
		f.expiry.Reset(max(next-f.clock.Now(), 0))
	}
	topology := f.leaves.Topology()
	f.metrics.leaves.Set(float64(len(topology.Leaves)))
	if f.ports.OnLeaves != nil {
		f.ports.OnLeaves(topology)
	}
	f.conn.SetTopology(topology)
}

// expire drops the leaves whose doubt has ended.
func (f *Frontend) expire() { f.publish() }

func (f *Frontend) dependencyLost(name string, err error) {
	f.metrics.dependencies.WithLabelValues(name).Set(0)
	f.logger.Warn("dependency lost", "dependency", name, telemetry.Error(err))
}

func (f *Frontend) dependencyRegained(name string, away time.Duration) {
	f.metrics.dependencies.WithLabelValues(name).Set(1)
	f.logger.Info("dependency regained", "dependency", name, "away", away.String())
}
