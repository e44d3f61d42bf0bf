package forward

import (
	"github.com/micaplank/micaplank/internal/decide/coverage"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/records"
	"github.com/micaplank/micaplank/internal/route"
	"github.com/micaplank/micaplank/internal/scatter"
)

// answerOf makes the answer from the fate of the query.
func answerOf(matched *route.Route, result scatter.Result[Part]) Answer {
	answer := Answer{
		Reason:     result.Reason,
		RetryAfter: result.RetryAfter,
		Answered:   len(result.Answered),
		Total:      result.Total,
		Attempts:   result.Attempts,
	}
	switch {
	case len(matched.Shards) > 0:
		mergeParts(&answer, matched, result)
	case len(result.Parts) == 1:
		answer.Fate = FateAnswered
		answer.Part = result.Parts[0].Part
	case result.HasFailure:
		answer.Fate = FateAnswered
		answer.Part = result.Failure
	default:
		answer.Fate = failureOf(result)
	}
	return answer
}

// mergeParts makes the answer of a request to many shards.
func mergeParts(answer *Answer, matched *route.Route, result scatter.Result[Part]) {
	progress := coverage.Progress{Total: len(matched.Shards), Answered: len(result.Parts)}
	if !progress.Enough(matched.MinCoverage) {
		answer.Fate = failureOf(result)
		return
	}
	bodies := make([][]byte, 0, len(result.Parts))
	answer.Signatures = make([]string, 0, len(result.Parts))
	for _, one := range result.Parts {
		bodies = append(bodies, one.Part.Body)
		answer.Signatures = append(answer.Signatures, one.Part.Signature)
	}
	answer.Fate = FateMerged
	answer.Body = records.Greatest(matched.TopK, bodies)
	answer.Missing = len(matched.Shards) - len(result.Parts)
}

// failureOf returns the fate of a request without a usable answer. Only what
// provably ran nowhere is not run.
func failureOf(result scatter.Result[Part]) Fate {
	switch {
	case result.Outcome == dispatch.OutcomeNotRun:
		return FateNotRun
	case result.Reason == dispatch.ReasonDeadline:
		return FateLate
	default:
		return FateFailed
	}
}
