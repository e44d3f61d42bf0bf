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

// buildAnswer builds the answer from the result of the query. The class name selects the record
// floor that the result updates.
func (f *Forwarder) buildAnswer(ctx context.Context, matched *route.Route, className string, result scatter.Result[Part]) Answer {
	answer := Answer{
		Reason:     result.Reason,
		RetryAfter: result.RetryAfter,
		Answered:   len(result.Answered),
		Total:      result.Total,
		Attempts:   result.Attempts,
	}
	switch {
	case len(matched.Shards) > 0:
		f.mergeParts(ctx, &answer, matched, className, result)
	case len(result.Parts) == 1:
		answer.Fate = FateAnswered
		answer.Part = result.Parts[0].Part
	case result.HasFailure:
		answer.Fate = FateAnswered
		answer.Part = result.Failure
	default:
		answer.Fate = fateWithoutAnswer(result)
	}
	if answer.Fate == FateNotRun && isNoLeafReason(answer.Reason) {
		answer.RetryAfter = retryafter.AwaitLeaf(answer.RetryAfter, f.storeOutage.Load())
	}
	return answer
}

// isNoLeafReason reports whether a request was refused because no leaf was available. If no service
// has a leaf, the Dispatcher has no snapshot.
func isNoLeafReason(reason dispatch.Reason) bool {
	return reason == dispatch.ReasonNoLeaf || reason == dispatch.ReasonNoSnapshot
}

// mergeParts builds the answer to a request that runs on several shards.
func (f *Forwarder) mergeParts(ctx context.Context, answer *Answer, matched *route.Route, className string, result scatter.Result[Part]) {
	parts, body, missed := mergeTopK(ctx, matched.TopK, result.Parts)
	f.estimators.updateFloor(className, matched.TopK, parts, missed)
	progress := coverage.Progress{Total: len(matched.Shards), Answered: len(parts)}
	if !progress.MeetsMinimum(matched.MinCoverage) {
		answer.Fate = fateWithoutAnswer(result)
		return
	}
	answer.Signatures = make([]string, 0, len(parts))
	for _, shardPart := range parts {
		answer.Signatures = append(answer.Signatures, shardPart.Part.Signature)
	}
	answer.Fate = FateMerged
	answer.Body = body
	answer.Missing = len(matched.Shards) - len(parts)
}

const (
	// droppedRecordsTimeout bounds the fetch of records that combiners dropped and that belong to the
	// answer after all. It is a few times the latency to another zone.
	droppedRecordsTimeout = 100 * time.Millisecond
	// mergeTimeout bounds all fetches for one answer, and thereby its delay. Beyond the first fetch
	// it leaves time for others, which follow only if one failed.
	mergeTimeout = 2 * droppedRecordsTimeout
)

// mergeTopK returns the k greatest records of the parts, and the parts that they were merged from.
// It fetches dropped records that may belong to the result, and excludes a part if that fetch
// fails. The k-th record may then fall, so that further records of other parts are fetched. The flag
// missed is set if any dropped record had to be fetched.
func mergeTopK(ctx context.Context, k int, parts []scatter.ShardPart[Part]) (used []scatter.ShardPart[Part], greatest []byte, missed bool) {
	ctx, cancel := context.WithTimeout(ctx, mergeTimeout)
	defer cancel()
	used = parts
	for {
		greatest = records.Greatest(k, partBodies(used))
		incomplete := func(shardPart scatter.ShardPart[Part]) bool {
			return !records.Covers(greatest, k, shardPart.Part.Dropped)
		}
		if !slices.ContainsFunc(used, incomplete) {
			return used, greatest, missed
		}
		missed = true
		used = fetchDroppedRecords(ctx, kthRecord(greatest, k), used, incomplete)
	}
}

func partBodies(parts []scatter.ShardPart[Part]) [][]byte {
	bodies := make([][]byte, 0, len(parts))
	for _, shardPart := range parts {
		bodies = append(bodies, shardPart.Part.Body)
	}
	return bodies
}

// kthRecord returns the least of the k greatest records, or nil if there are fewer than k.
func kthRecord(greatest []byte, k int) []byte {
	if len(greatest) < k*records.Size {
		return nil
	}
	return greatest[(k-1)*records.Size : k*records.Size]
}

// fetchDroppedRecords fetches the records not below a floor that were dropped from the incomplete
// parts. It returns all parts except those whose records could not be fetched.
func fetchDroppedRecords(ctx context.Context, floor []byte, parts []scatter.ShardPart[Part], incomplete func(scatter.ShardPart[Part]) bool) []scatter.ShardPart[Part] {
	ctx, cancel := context.WithTimeout(ctx, droppedRecordsTimeout)
	defer cancel()
	completed := slices.Clone(parts)
	keep := make([]bool, len(parts))
	var group sync.WaitGroup
	for index := range completed {
		if !incomplete(completed[index]) {
			keep[index] = true
			continue
		}
		part := &completed[index].Part
		if part.FetchDropped == nil {
			continue
		}
		group.Go(func() {
			keep[index] = part.fetchDownTo(ctx, floor) == nil
		})
	}
	group.Wait()
	kept := completed[:0]
	for index, shardPart := range completed {
		if keep[index] {
			kept = append(kept, shardPart)
		}
	}
	return kept
}

// fateWithoutAnswer returns the fate of a request without a usable answer. The fate is FateNotRun
// only if it is certain that no leaf executed the request.
func fateWithoutAnswer(result scatter.Result[Part]) Fate {
	switch {
	case result.Outcome == dispatch.OutcomeNotRun:
		return FateNotRun
	case result.Reason == dispatch.ReasonDeadline:
		return FateLate
	default:
		return FateFailed
	}
}
