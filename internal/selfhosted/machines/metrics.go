package machines

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	polls *prometheus.CounterVec
}

func newMetrics(poller *Poller, registerer prometheus.Registerer) *metrics {
	m := &metrics{polls: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "micaplank_machines_polls_total",
		Help: "Readings of the platform's machine list, by result (ok or failed).",
	}, []string{"result"})}
	age := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "micaplank_machines_list_age_seconds",
		Help: "Time since the last successful reading of the machine list was asked for; 0 before the first.",
	}, func() float64 { return poller.Last().Age.Seconds() })
	if registerer != nil {
		registerer.MustRegister(m.polls, age)
	}
	return m
}

func (m *metrics) count(err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.polls.WithLabelValues(result).Inc()
}
