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

// logRequest logs one request. The parameter receivedBy names the node that received the request
// from its client.
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

// requestLogLevel returns warn for a request without an answer, and info otherwise.
func requestLogLevel(answer forward.Answer) slog.Level {
	switch answer.Fate {
	case forward.FateMerged, forward.FateAnswered:
		return slog.LevelInfo
	default:
		return slog.LevelWarn
	}
}

const (
	// maxLoggedAttempts bounds the number of attempts in one log line.
	maxLoggedAttempts = 24
	// maxLoggedAttemptsIfComplete bounds it for a complete answer of several shards.
	maxLoggedAttemptsIfComplete = 4
)

// loggedAttempts returns the attempts that explain an answer: all attempts of a request to one
// leaf; of a request to many shards, those that were extra, were not answered, or met responses to other requests.
func loggedAttempts(answer forward.Answer) []event.Attempt {
	limit := maxLoggedAttempts
	if answer.Total > 1 && answer.Answered == answer.Total {
		limit = maxLoggedAttemptsIfComplete
	}
	logged := []event.Attempt{}
	for _, attempt := range answer.Attempts {
		unremarkable := attempt.End == scatter.EndAnswered && !attempt.Extra && attempt.Connection.Skipped == 0
		if unremarkable && answer.Total > 1 || len(logged) == limit {
			continue
		}
		logged = append(logged, event.Attempt{
			Shard: attempt.Shard, Leaf: attempt.BootID, Address: attempt.Leaf.String(), Cause: string(attempt.Cause),
			AtMS: attempt.SentAfter.Milliseconds(), TookMS: attempt.Duration.Milliseconds(), End: string(attempt.End), Closed: attempt.Closed, Detail: attempt.Detail,
			ConnPort: int(attempt.Connection.LocalPort), ConnSent: attempt.Connection.Request, Skipped: attempt.Connection.Skipped,
			InFlight: attempt.Basis.InFlight, Limit: attempt.Basis.Limit, Others: roundToHundredths(attempt.Basis.OthersInFlight),
			AgeMS: attempt.Basis.ReportAge.Milliseconds(), Pace: attempt.Basis.Pace, Slowness: roundToHundredths(attempt.Basis.Slowness), Budget: roundToHundredths(attempt.Basis.Budget),
		})
	}
	return logged
}

// roundToHundredths rounds to two decimal places.
func roundToHundredths(value float64) float64 { return math.Round(value*100) / 100 }
