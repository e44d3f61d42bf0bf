package leaf

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/telemetry"
)

// The values of the label outcome of micaplank_leaf_attempts_total.
const (
	outcomeExecuted  = "executed"
	outcomeRefused   = "refused"
	outcomeUnsent    = "unsent"
	outcomeLost      = "lost"
	outcomeCancelled = "cancelled"
	outcomeRejected  = "rejected"
)

// metrics holds the metrics of a Client.
type metrics struct {
	attempts    *prometheus.CounterVec
	crossed     prometheus.Counter
	truncated   prometheus.Counter
	dials       *prometheus.CounterVec
	connections prometheus.Gauge
	replyBytes  prometheus.Counter
}

// newMetrics creates the metrics and registers them if the registerer is not nil.
func newMetrics(registerer prometheus.Registerer) *metrics {
	factory := telemetry.NewFactory(registerer)
	return &metrics{
		attempts: factory.CounterVec("micaplank_leaf_attempts_total",
			"Execute calls to leaves, by outcome: executed, refused, unsent, lost, cancelled or rejected (an unusable reply).", "outcome"),
		crossed: factory.Counter("micaplank_leaf_crossed_replies_total",
			"Replies that belong to another request; they are dropped."),
		truncated: factory.Counter("micaplank_leaf_truncated_replies_total",
			"Replies with missing rows; they are dropped."),
		dials: factory.CounterVec("micaplank_leaf_dials_total",
			"Connections dialed to leaves, by result: opened or failed.", "result"),
		connections: factory.Gauge("micaplank_leaf_open_connections",
			"Connections to leaves that are open."),
		replyBytes: factory.Counter("micaplank_leaf_reply_bytes_total",
			"Bytes of reply bodies received from leaves."),
	}
}

func (m *metrics) recordDial(err error) {
	result := "opened"
	if err != nil {
		result = "failed"
	}
	m.dials.WithLabelValues(result).Inc()
}

func (m *metrics) recordAttempt(response *ExecuteResponse, err error, cancelled bool) {
	m.attempts.WithLabelValues(attemptOutcome(response, err, cancelled)).Inc()
	switch {
	case errors.Is(err, ErrCrossedReply):
		m.crossed.Inc()
	case errors.Is(err, ErrTruncatedReply):
		m.truncated.Inc()
	}
}

func attemptOutcome(response *ExecuteResponse, err error, cancelled bool) string {
	var transportError *TransportError
	switch {
	case err == nil && response.Executed:
		return outcomeExecuted
	case err == nil:
		return outcomeRefused
	case errors.As(err, &transportError) && !transportError.Sent:
		return outcomeUnsent
	case cancelled:
		return outcomeCancelled
	case transportError.Step == StepDecode || transportError.Step == StepVerify:
		return outcomeRejected
	default:
		return outcomeLost
	}
}
