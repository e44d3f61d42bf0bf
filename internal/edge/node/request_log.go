package node

import (
	"context"
	"log/slog"
	"math"
	"time"

	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/event"
	"github.com/micaplank/micaplank/internal/scatter"
)

// logRequest writes the line on a request. From is the node that received it from its
// client.
func logRequest(logger *slog.Logger, request *forward.Request, answer forward.Answer, duration time.Duration, receivedBy string) {
	level := requestLogLevel(answer)
	if !logger.Enabled(context.Background(), level) {
		return
	}
	event.Log(logger, event.Request{
		RequestID: request.ID, Content: request.Content().String(), Route: answer.Route, Version: answer.Version,
		Fate: string(answer.Fate), Reason: string(answer.Reason),
		Answered: answer.Answered, Total: answer.Total, Status: answer.Part.Status,
		TookMS: duration.Milliseconds(), PatienceMS: request.ClientTimeout.Milliseconds(),
		RetryAfterMS: answer.RetryAfter.Milliseconds(),
		From:         receivedBy, Executor: answer.Executor,
		Attempts: loggedAttempts(answer),
	}.WithLevel(level))
}

// levelOf returns warn if there is no answer.
func requestLogLevel(answer forward.Answer) slog.Level {
	switch answer.Fate {
	case forward.FateMerged, forward.FateAnswered:
		return slog.LevelInfo
	default:
		return slog.LevelWarn
	}
}

const (
	// maxAttemptLines bounds the attempts on one line.
	maxLoggedAttempts = 24
	// maxPlainAttemptLines bounds them if nothing is missing from the answer.
	maxLoggedAttemptsIfComplete = 4
)

// attemptLines returns the attempts that explain an answer: all of a request to
// one leaf; of many shards those that were extra or did not bring a part.
func loggedAttempts(answer forward.Answer) []event.Attempt {
	limit := maxLoggedAttempts
	if answer.Total > 1 && answer.Answered == answer.Total {
		limit = maxLoggedAttemptsIfComplete
	}
	logged := []event.Attempt{}
	for _, attempt := range answer.Attempts {
		unremarkable := attempt.End == scatter.EndAnswered && !attempt.Extra
		if unremarkable && answer.Total > 1 || len(logged) == limit {
			continue
		}
		logged = append(logged, event.Attempt{
			Shard: attempt.Shard, Leaf: attempt.BootID, Address: attempt.Leaf.String(), Cause: string(attempt.Cause),
			AtMS: attempt.At.Milliseconds(), TookMS: attempt.Took.Milliseconds(), End: string(attempt.End), Closed: attempt.Closed, Detail: attempt.Detail,
			InFlight: attempt.Basis.InFlight, Limit: attempt.Basis.Limit, Others: roundToHundredths(attempt.Basis.Others),
			AgeMS: attempt.Basis.Age.Milliseconds(), Pace: attempt.Basis.Pace, Slowness: roundToHundredths(attempt.Basis.Slowness), Budget: roundToHundredths(attempt.Basis.Budget),
		})
	}
	return logged
}

// rounded keeps two digits after the point.
func roundToHundredths(value float64) float64 { return math.Round(value*100) / 100 }
