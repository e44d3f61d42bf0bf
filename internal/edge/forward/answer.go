package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/micaplank/micaplank/internal/decide/coverage"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/decide/retryafter"
	"github.com/micaplank/micaplank/internal/edge/records"
	"github.com/micaplank/micaplank/internal/edge/route"
	"github.com/micaplank/micaplank/internal/scatter"
)

// answerOf makes the answer from the fate of the query, whose class names its
// kind.
func (f *Forwarder) answerOf(ctx context.Context, matched *route.Route, kind string, result scatter.Result[Part]) Answer {
	answer := Answer{
		Reason:     result.Reason,
		RetryAfter: result.RetryAfter,
		Answered:   len(result.Answered),
		Total:      result.Total,
		Attempts:   result.Attempts,
	}
	switch {
	case len(matched.Shards) > 0:
		f.mergeParts(ctx, &answer, matched, kind, result)
	case len(result.Parts) == 1:
		answer.Fate = FateAnswered
		answer.Part = result.Parts[0].Part
	case result.HasFailure:
		answer.Fate = FateAnswered
		answer.Part = result.Failure
	default:
		answer.Fate = failureOf(result)
	}
	if answer.Fate == FateNotRun && withoutLeaf(answer.Reason) {
		answer.RetryAfter = retryafter.WithoutLeaf(answer.RetryAfter, f.outage.Load())
	}
	return answer
}

// withoutLeaf reports whether a request was refused since no leaf could take it. With no
// leaf of any service the Dispatcher has no snapshot.
func withoutLeaf(reason dispatch.Reason) bool {
	return reason == dispatch.ReasonNoLeaf || reason == dispatch.ReasonNoSnapshot
}

// mergeParts makes the answer of a request to many shards.
func (f *Forwarder) mergeParts(ctx context.Context, answer *Answer, matched *route.Route, kind string, result scatter.Result[Part]) {
	parts, body, missed := greatestOf(ctx, matched.TopK, result.Parts)
	f.learned.learnFloor(kind, matched.TopK, parts, missed)
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

// restTimeout bounds the wait for records that a combiner left out and that count after
// all. Not measured: chosen because it is a few times as long as the way to another zone,
// and delays the answer by no more.
const restTimeout = 100 * time.Millisecond

// greatestOf returns the greatest records of the parts, and the parts that they
// stand for. Records that were left out of a part and may count are fetched; a
// part of which they cannot be had is left out. Missed is set if there were any.
func greatestOf(ctx context.Context, k int, parts []scatter.ShardPart[Part]) (used []scatter.ShardPart[Part], greatest []byte, missed bool) {
	used = parts
	for {
		greatest = records.Greatest(k, bodiesOf(used))
		lacking := func(one scatter.ShardPart[Part]) bool { return !records.Covers(greatest, k, one.Part.Dropped) }
		if !slices.ContainsFunc(used, lacking) {
			return used, greatest, missed
		}
		missed = true
		used = complete(ctx, floorOf(greatest, k), used, lacking)
	}
}

func bodiesOf(parts []scatter.ShardPart[Part]) [][]byte {
	bodies := make([][]byte, 0, len(parts))
	for _, one := range parts {
		bodies = append(bodies, one.Part.Body)
	}
	return bodies
}

// floorOf returns the least of the k greatest records; nil if there are fewer.
func floorOf(greatest []byte, k int) []byte {
	if len(greatest) < k*records.Size {
		return nil
	}
	return greatest[(k-1)*records.Size : k*records.Size]
}

// complete fetches what is left out of the lacking parts, from a floor on, and
// returns all parts without those of which it cannot be had.
func complete(ctx context.Context, floor []byte, parts []scatter.ShardPart[Part], lacking func(scatter.ShardPart[Part]) bool) []scatter.ShardPart[Part] {
	ctx, cancel := context.WithTimeout(ctx, restTimeout)
	defer cancel()
	completed := slices.Clone(parts)
	keep := make([]bool, len(parts))
	var fetching sync.WaitGroup
	for index := range completed {
		if !lacking(completed[index]) {
			keep[index] = true
			continue
		}
		one := &completed[index].Part
		if one.Rest == nil {
			continue
		}
		fetching.Go(func() {
			rest, err := one.Rest(ctx, floor)
			one.Body, one.Dropped = slices.Concat(one.Body, rest), nil
			keep[index] = err == nil
		})
	}
	fetching.Wait()
	kept := completed[:0]
	for index, one := range completed {
		if keep[index] {
			kept = append(kept, one)
		}
	}
	return kept
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
