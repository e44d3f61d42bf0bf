package forward

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/micaplank/micaplank/internal/decide/recordfloor"
	"github.com/micaplank/micaplank/internal/edge/records"
	"github.com/micaplank/micaplank/internal/scatter"
)

func repeatedRecords(values ...byte) (body []byte) {
	for _, value := range values {
		body = append(body, bytes.Repeat([]byte{value}, records.Size)...)
	}
	return body
}

// TestMergeExcludesIncompletePart checks that a part with dropped records is used only if none of
// them can belong to the result, and excluded otherwise.
func TestMergeExcludesIncompletePart(t *testing.T) {
	complete := scatter.ShardPart[Part]{Shard: 1, Part: Part{Body: repeatedRecords(9, 2, 1)}}
	thinned := scatter.ShardPart[Part]{Shard: 2, Part: Part{Body: repeatedRecords(7), Dropped: repeatedRecords(6)}}
	parts, body, _ := mergeTopK(t.Context(), 2, []scatter.ShardPart[Part]{complete, thinned})
	if len(parts) != 2 || !bytes.Equal(body, repeatedRecords(9, 7)) {
		t.Errorf("top 2: %d parts, records %x, want 2 parts and records 9, 7", len(parts), body)
	}
	parts, body, _ = mergeTopK(t.Context(), 3, []scatter.ShardPart[Part]{complete, thinned})
	if len(parts) != 1 || parts[0].Shard != 1 || !bytes.Equal(body, repeatedRecords(9, 2, 1)) {
		t.Errorf("top 3: %d parts, records %x, want only shard 1 and records 9, 2, 1", len(parts), body)
	}
}

// thinnedPart returns a part without its dropped records, which FetchDropped returns.
func thinnedPart(dropped []byte, err error, values ...byte) Part {
	return Part{Body: repeatedRecords(values...), Dropped: records.Max(dropped), FetchDropped: func(_ context.Context, floor []byte) ([]byte, error) {
		return records.FilterBelow(dropped, floor), err
	}}
}

func TestMergeFetchesDroppedRecords(t *testing.T) {
	parts := []scatter.ShardPart[Part]{
		{Shard: 1, Part: Part{Body: repeatedRecords(9, 2)}},
		{Shard: 2, Part: thinnedPart(repeatedRecords(1, 7, 5), nil, 8)},
		{Shard: 3, Part: thinnedPart(repeatedRecords(0), errors.New("lost"), 3)},
	}
	used, body, missed := mergeTopK(t.Context(), 4, parts)
	if !missed || len(used) != 3 || !bytes.Equal(body, repeatedRecords(9, 8, 7, 5)) {
		t.Errorf("missed %v, %d parts, records %x, want true, 3 parts and records 9, 8, 7, 5", missed, len(used), body)
	}
	parts[1].Part = thinnedPart(repeatedRecords(7), errors.New("lost"), 8)
	used, body, _ = mergeTopK(t.Context(), 3, parts)
	if len(used) != 2 || !bytes.Equal(body, repeatedRecords(9, 3, 2)) {
		t.Errorf("after a failed fetch: %d parts, records %x, want 2 parts and records 9, 3, 2", len(used), body)
	}
}

// randomParts returns parts of random records, of which the first ones are complete.
func randomParts(random *rand.Rand, count, complete, size int) []scatter.ShardPart[Part] {
	parts := make([]scatter.ShardPart[Part], count)
	for index := range parts {
		parts[index].Part.Body = make([]byte, size*records.Size)
		for offset := range parts[index].Part.Body {
			parts[index].Part.Body[offset] = byte(random.Uint32())
		}
		if index >= complete {
			parts[index].Part = thinnedPart(repeatedRecords(0), nil)
		}
	}
	return parts
}

// TestFloorEstimateAccuracy learns a floor from the complete parts of one zone out of three. It
// checks on the answers that follow that the floor drops most records and rarely one that belongs
// to an answer.
func TestFloorEstimateAccuracy(t *testing.T) {
	const k, count, complete, size = 50, 30, 10, 62
	random := rand.New(rand.NewPCG(1, 2))
	estimates := newEstimators()
	misses, sent := 0, 0
	const answers = 400
	for number := range answers {
		parts := randomParts(random, count, count, size)
		floor := estimates.estimateFloor("kind")
		if number < recordfloor.SampleCount && floor != nil {
			t.Fatal("got a floor from too few samples, want none")
		}
		above := 0
		for _, shardPart := range parts {
			above += len(records.FilterBelow(shardPart.Part.Body, floor)) / records.Size
		}
		if number >= recordfloor.SampleCount {
			sent += above
		}
		if above < k {
			misses++
		}
		for index := complete; index < count; index++ {
			parts[index].Part = thinnedPart(repeatedRecords(0), nil)
		}
		estimates.updateFloor("kind", k, parts, above < k)
	}
	if misses > answers/100 {
		t.Errorf("%d of %d answers missed records, want at most %d", misses, answers, answers/100)
	}
	if mean := sent / (answers - recordfloor.SampleCount); mean > 4*k {
		t.Errorf("%d records sent on average for answers of %d, want at most %d", mean, k, 4*k)
	}
}

func TestFloorIsResetAfterMiss(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	estimates := newEstimators()
	for range recordfloor.SampleCount {
		estimates.updateFloor("kind", 5, randomParts(random, 6, 3, 20), false)
	}
	if estimates.estimateFloor("kind") == nil || estimates.estimateFloor("other") != nil {
		t.Fatal("want a floor for the learned class only")
	}
	estimates.updateFloor("kind", 5, randomParts(random, 6, 3, 20), true)
	if estimates.estimateFloor("kind") != nil {
		t.Error("got a floor after a miss, want none")
	}
	for range 2 * recordfloor.SampleCount {
		estimates.updateFloor("far", 5, randomParts(random, 6, 0, 20), false)
	}
	if estimates.estimateFloor("far") != nil {
		t.Error("got a floor without a complete part, want none")
	}
}
