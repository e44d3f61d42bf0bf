package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
	"github.com/micaplank/micaplank/internal/telemetry"
)

// leafStates lists all states of a leaf in the order in which the metric reports them.
var leafStates = []api.LeafState{
	api.LeafUsable, api.LeafProbation, api.LeafCold, api.LeafDraining, api.LeafLeaving, api.LeafUnreachable,
}

// collector exports the counters of the dispatchers and the leaf states of the topology at each
// scrape. Those packages perform no I/O and keep their own counts, so they do not register metrics.
type collector struct {
	node      *Node
	attempts  *prometheus.Desc
	hedgesWon *prometheus.Desc
	inFlight  *prometheus.Desc
	leaves    *prometheus.Desc
}

var _ prometheus.Collector = (*collector)(nil)

func newCollector(node *Node) *collector {
	service := []string{"service"}
	return &collector{
		node: node,
		attempts: prometheus.NewDesc("micaplank_dispatch_attempts_total",
			"Attempts sent to leaves, by service and cause: needed, resend (the previous attempt did not execute), or extra: hedge, probe, retry or restart.",
			[]string{"service", "cause"}, nil),
		hedgesWon: prometheus.NewDesc("micaplank_dispatch_hedges_won_total",
			"Shards answered by a hedge or a probe, by service.", service, nil),
		inFlight: prometheus.NewDesc("micaplank_dispatch_queries",
			"Queries in progress, waiting or running, by service.", service, nil),
		leaves: prometheus.NewDesc("micaplank_topology_leaves",
			"Leaves of the catalog, by service and state, as observed by this node.", []string{"service", "state"}, nil),
	}
}

// MetricTypes returns the type of each metric. It is needed for metrics that have no sample yet.
func (c *collector) MetricTypes() map[string]telemetry.MetricType {
	return map[string]telemetry.MetricType{
		"micaplank_dispatch_attempts_total":   telemetry.TypeCounter,
		"micaplank_dispatch_hedges_won_total": telemetry.TypeCounter,
		"micaplank_dispatch_queries":          telemetry.TypeGauge,
		"micaplank_topology_leaves":           telemetry.TypeGauge,
	}
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{c.attempts, c.hedgesWon, c.inFlight, c.leaves} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(metrics chan<- prometheus.Metric) {
	for _, service := range c.node.dissemination.Current().ServiceNames() {
		if conn, ok := c.node.services.conn(service); ok {
			c.collectCounters(metrics, service, conn.Counters())
			metrics <- prometheus.MustNewConstMetric(c.inFlight, prometheus.GaugeValue, float64(conn.InFlight()), service)
		}
	}
	for service, counts := range countLeaves(c.node.listLeafStatuses()) {
		for _, state := range leafStates {
			metrics <- prometheus.MustNewConstMetric(c.leaves, prometheus.GaugeValue, float64(counts[state]), service, string(state))
		}
	}
}

func (c *collector) collectCounters(metrics chan<- prometheus.Metric, service string, counters dispatch.Counters) {
	for _, causeCount := range counters.ByCause() {
		metrics <- prometheus.MustNewConstMetric(c.attempts, prometheus.CounterValue, float64(causeCount.Count), service, string(causeCount.Cause))
	}
	metrics <- prometheus.MustNewConstMetric(c.hedgesWon, prometheus.CounterValue, float64(counters.HedgesWon), service)
}

// countLeaves returns the number of leaves by service and state.
func countLeaves(statuses []api.LeafStatus) map[string]map[api.LeafState]int {
	counts := make(map[string]map[api.LeafState]int)
	for _, status := range statuses {
		if counts[status.Service] == nil {
			counts[status.Service] = make(map[api.LeafState]int)
		}
		counts[status.Service][status.State]++
	}
	return counts
}
