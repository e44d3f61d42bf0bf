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
func logRequest(logger *slog.Logger, request *forward.Request, answer forward.Answer, took time.Duration, from string) {
	level := levelOf(answer)
	if !logger.Enabled(context.Background(), level) {
		return
	}
	event.Log(logger, event.Request{
		RequestID: request.ID, Content: request.Content().String(), Route: answer.Route, Version: answer.Version,
		Fate: string(answer.Fate), Reason: string(answer.Reason),
		Answered: answer.Answered, Total: answer.Total, Status: answer.Part.Status,
		TookMS: took.Milliseconds(), PatienceMS: request.ClientTimeout.Milliseconds(),
		RetryAfterMS: answer.RetryAfter.Milliseconds(),
		From:         from, Executor: answer.Executor,
		Attempts: attemptLines(answer),
	}.WithLevel(level))
}

// levelOf returns warn if there is no answer.
func levelOf(answer forward.Answer) slog.Level {
	switch answer.Fate {
	case forward.FateMerged, forward.FateAnswered:
		return slog.LevelInfo
	default:
		return slog.LevelWarn
	}
}

const (
	// maxAttemptLines bounds the attempts on one line.
	maxAttemptLines = 24
	// maxPlainAttemptLines bounds them if nothing is missing from the answer.
	maxPlainAttemptLines = 4
)

// attemptLines returns the attempts that explain an answer: all of a request to
// one leaf; of many shards those that were extra or did not bring a part.
func attemptLines(answer forward.Answer) []event.Attempt {
	most := maxAttemptLines
	if answer.Total > 1 && answer.Answered == answer.Total {
		most = maxPlainAttemptLines
	}
	lines := []event.Attempt{}
	for _, one := range answer.Attempts {
		plain := one.End == scatter.EndAnswered && !one.Extra
		if plain && answer.Total > 1 || len(lines) == most {
			continue
		}
		lines = append(lines, event.Attempt{
			Shard: one.Shard, Leaf: one.BootID, Address: one.Leaf.String(), Cause: string(one.Cause),
			AtMS: one.At.Milliseconds(), TookMS: one.Took.Milliseconds(), End: string(one.End), Closed: one.Closed, Detail: one.Detail,
			InFlight: one.Basis.InFlight, Limit: one.Basis.Limit, Others: rounded(one.Basis.Others),
			AgeMS: one.Basis.Age.Milliseconds(), Pace: one.Basis.Pace, Slowness: rounded(one.Basis.Slowness), Budget: rounded(one.Basis.Budget),
		})
	}
	return lines
}

// rounded keeps two digits after the point.
func rounded(value float64) float64 { return math.Round(value*100) / 100 }
