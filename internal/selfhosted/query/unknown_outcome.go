package query

import (
	"fmt"
	"log/slog"
	"time"

	"github.com/micaplank/micaplank/internal/rows"
	"github.com/micaplank/micaplank/internal/scatter"
	"github.com/micaplank/micaplank/internal/telemetry"
)

// unknownOutcomeMessage is the message of the log line for a request that may run at most once and
// whose outcome is unknown. The caller's node and the owner each write one.
const unknownOutcomeMessage = "request outcome unknown"

// logLostForward logs a forwarded request whose owner gave no response.
func (r *Runner) logLostForward(plan *queryPlan, owner string, duration time.Duration, err error) {
	r.config.Logger.Warn(unknownOutcomeMessage,
		"request_id", plan.request.RequestID, "class", plan.class.Name, "owner", owner, "duration", duration, telemetry.Error(err))
}

// logUnknownOutcome logs a request that this node owns and whose attempt may have run.
func (r *Runner) logUnknownOutcome(plan *queryPlan, duration time.Duration, result scatter.Result[rows.Table]) {
	attributes := []any{
		"request_id", plan.request.RequestID, "class", plan.class.Name, "owner", r.config.NodeName,
		"duration", duration, "reason", result.Reason,
	}
	for index, attempt := range result.Attempts {
		attributes = append(attributes, slog.Group(fmt.Sprintf("attempt_%d", index+1),
			"leaf", attempt.Leaf, "sent_after", attempt.SentAfter, "duration", attempt.Duration,
			"end", attempt.End, "aborted", attempt.Aborted, "detail", attempt.Detail))
	}
	r.config.Logger.Warn(unknownOutcomeMessage, attributes...)
}
