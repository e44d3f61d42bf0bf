package membership

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/telemetry"
)

// metrics holds the counters that Service updates itself. coreCollector reads the others from the
// core when the metrics are collected.
type metrics struct {
	packets    prometheus.Counter
	sent       prometheus.Counter
	received   prometheus.Counter
	malformed  prometheus.Counter
	sendErrors prometheus.Counter
	overruns   prometheus.Counter
}

func newMetrics(s *Service, registerer prometheus.Registerer) *metrics {
	factory := telemetry.NewFactory(registerer)
	if registerer != nil {
		registerer.MustRegister(&coreCollector{service: s})
	}
	return &metrics{
		packets:    factory.Counter("micaplank_membership_packets_sent_total", "Packets sent."),
		sent:       factory.Counter("micaplank_membership_sent_bytes_total", "Payload bytes sent."),
		received:   factory.Counter("micaplank_membership_received_bytes_total", "Payload bytes received."),
		malformed:  factory.Counter("micaplank_membership_packets_malformed_total", "Packets dropped because decoding failed."),
		sendErrors: factory.Counter("micaplank_membership_send_errors_total", "Packets that failed to be encoded or sent."),
		overruns:   factory.Counter("micaplank_membership_subscriber_overruns_total", "Subscriptions closed because the event buffer of the subscriber was full."),
	}
}

func newDescription(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("micaplank_membership_"+name, help, labels, nil)
}

var (
	membersDescription = newDescription("members", "Members by state, including this node.", "state")
	zonesDescription   = newDescription("held_zones", "Zones whose members are not declared gone because most of them do not answer.")
	healthDescription  = newDescription("health_score", "Local health score of this node; 0 is healthy, 8 is the maximum.")
	counterReaders     = []counterReader{
		{newDescription("probes_total", "Probes started."), func(s Statistics) uint64 { return s.Probes }},
		{newDescription("probes_indirect_total", "Probes that fell back to indirect probes."), func(s Statistics) uint64 { return s.ProbesIndirect }},
		{newDescription("probes_failed_total", "Probes that received no ack, direct or indirect."), func(s Statistics) uint64 { return s.ProbesFailed }},
		{newDescription("suspicions_raised_total", "Suspicions that this node raised."), func(s Statistics) uint64 { return s.SuspicionsRaised }},
		{newDescription("suspicions_refuted_total", "Suspicions of other members that ended by refutation."), func(s Statistics) uint64 { return s.SuspicionsRefuted }},
		{newDescription("declared_gone_total", "Members that this node declared gone."), func(s Statistics) uint64 { return s.DeclaredGone }},
		{newDescription("self_refutations_total", "Suspicions of this node that it refuted."), func(s Statistics) uint64 { return s.SelfRefutations }},
		{newDescription("synchronisations_total", "Digest exchanges started."), func(s Statistics) uint64 { return s.Syncs }},
		{newDescription("synchronisation_records_total", "Records sent in answer to digests."), func(s Statistics) uint64 { return s.SyncRecords }},
		{newDescription("pauses_total", "Pauses of this process that exceeded the maximum tick gap."), func(s Statistics) uint64 { return s.Pauses }},
	}
)

// counterReader is a counter that is read from the statistics of the core.
type counterReader struct {
	description *prometheus.Desc
	read        func(Statistics) uint64
}

// coreCollector reads the statistics of the core when the metrics are collected.
type coreCollector struct {
	service *Service
}

// Describe implements prometheus.Collector.
func (c *coreCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- membersDescription
	descriptions <- zonesDescription
	descriptions <- healthDescription
	for _, reader := range counterReaders {
		descriptions <- reader.description
	}
}

// Collect implements prometheus.Collector.
func (c *coreCollector) Collect(samples chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		samples <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	counts := make(map[State]int)
	for _, member := range c.service.Members() {
		counts[member.State]++
	}
	for _, state := range []State{StateAlive, StateLeaving, StateSuspect} {
		gauge(membersDescription, float64(counts[state]), state.String())
	}
	statistics := c.service.Statistics()
	gauge(zonesDescription, float64(len(c.service.HeldZones())))
	gauge(healthDescription, float64(statistics.HealthScore))
	for _, reader := range counterReaders {
		samples <- prometheus.MustNewConstMetric(reader.description, prometheus.CounterValue, float64(reader.read(statistics)))
	}
}
