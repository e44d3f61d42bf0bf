package forward

import (
	"slices"

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
	parts, body := greatestOf(matched.TopK, result.Parts)
	progress := coverage.Progress{Total: len(matched.Shards), Answered: len(parts)}
	if !progress.Enough(matched.MinCoverage) {
		answer.Fate = failureOf(result)
		return
	}
	answer.Signatures = make([]string, 0, len(parts))
	for _, one := range parts {
		answer.Signatures = append(answer.Signatures, one.Part.Signature)
	}
	answer.Fate = FateMerged
	answer.Body = body
	answer.Missing = len(matched.Shards) - len(parts)
}

// greatestOf returns the greatest records of the parts, and the parts that they
// stand for. A part is left out if records are missing from it that would count:
// another node left them out for the sake of a part that is not used here.
func greatestOf(k int, parts []scatter.ShardPart[Part]) ([]scatter.ShardPart[Part], []byte) {
	for {
		bodies := make([][]byte, 0, len(parts))
		for _, one := range parts {
			bodies = append(bodies, one.Part.Body)
		}
		greatest := records.Greatest(k, bodies)
		lacking := func(one scatter.ShardPart[Part]) bool { return !records.Covers(greatest, k, one.Part.Dropped) }
		if !slices.ContainsFunc(parts, lacking) {
			return parts, greatest
		}
		parts = slices.DeleteFunc(slices.Clone(parts), lacking)
	}
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
