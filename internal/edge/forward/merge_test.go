package forward

import (
	"bytes"
	"context"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"github.com/micaplank/micaplank/internal/edge/records"
	"github.com/micaplank/micaplank/internal/scatter"
)

// thinnedShard is a shard whose part a combiner has thinned.
type thinnedShard struct {
	whole    []byte
	failures []bool // by fetch; later fetches succeed
	failed   bool
}

// fetchFrom returns a function that fetches dropped records, as a combiner does.
func (s *thinnedShard) fetchFrom(dropped []byte) func(context.Context, []byte) ([]byte, error) {
	return func(_ context.Context, floor []byte) ([]byte, error) {
		if len(s.failures) > 0 {
			s.failed = s.failed || s.failures[0]
			s.failures = s.failures[1:]
		}
		if s.failed {
			return nil, errors.New("combiner does not answer")
		}
		return records.FilterBelow(dropped, floor), nil
	}
}

// drawThinnedParts returns parts of several zones, thinned by the combiner of each zone, or not at
// all.
func drawThinnedParts(t *rapid.T, k int) ([]*thinnedShard, []scatter.ShardPart[Part]) {
	var shards []*thinnedShard
	var parts []scatter.ShardPart[Part]
	for zone := range rapid.IntRange(3, 5).Draw(t, "zones") {
		floors := rapid.SliceOfN(rapid.ByteRange(20, 60), 0, 1).Draw(t, "floor")
		top := records.NewTop(k, repeatedRecords(floors...))
		for range rapid.IntRange(1, 4).Draw(t, "shards") {
			values := rapid.SliceOfN(rapid.ByteRange(0, 60), 0, 12).Draw(t, "records")
			shard := &thinnedShard{whole: repeatedRecords(values...), failures: rapid.SliceOfN(rapid.Bool(), 0, 3).Draw(t, "failures")}
			part := Part{Body: shard.whole}
			if zone > 0 {
				kept, dropped := top.Add(shard.whole)
				part = Part{Body: kept, Dropped: records.Max(dropped)}
				if len(dropped) > 0 {
					part.FetchDropped = shard.fetchFrom(dropped)
				}
			}
			if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
				continue // the part was thinned, but its transfer failed
			}
			parts = append(parts, scatter.ShardPart[Part]{Shard: len(shards), Part: part})
			shards = append(shards, shard)
		}
	}
	return shards, parts
}

// TestPartIsFetchedAgainBelowFallenFloor guards against an answer that lacks a record of a part that it
// names: shard 2 is fetched down to the k-th record of all parts, 7, and the fetch from shard 3, to
// which that record belongs, fails. The record 6 of shard 2 counts then.
func TestPartIsFetchedAgainBelowFallenFloor(t *testing.T) {
	parts := []scatter.ShardPart[Part]{
		{Shard: 1, Part: Part{Body: repeatedRecords(5, 4, 3)}},
		{Shard: 2, Part: thinnedPart(repeatedRecords(9, 6, 1), nil)},
		{Shard: 3, Part: thinnedPart(repeatedRecords(8), errors.New("lost"), 7, 7, 7)},
	}
	used, body, _ := mergeTopK(t.Context(), 3, parts)
	if len(used) != 2 || !bytes.Equal(body, repeatedRecords(9, 6, 5)) {
		t.Errorf("got %d parts and records %x, want 2 parts and records 9, 6, 5", len(used), body)
	}
}

// TestMergeIsExactAfterFailedFetches guards against an answer that lacks a record of a part that it
// names: the records of one part are fetched down to the k-th record, and that record falls because
// the fetch from another part fails.
func TestMergeIsExactAfterFailedFetches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := rapid.IntRange(1, 8).Draw(t, "k")
		shards, parts := drawThinnedParts(t, k)
		used, body, _ := mergeTopK(t.Context(), k, parts)
		var whole [][]byte
		named := make(map[int]bool)
		for _, part := range used {
			named[part.Shard] = true
			whole = append(whole, shards[part.Shard].whole)
		}
		if want := records.Greatest(k, whole); !bytes.Equal(body, want) {
			t.Fatalf("got records %x, want the greatest of the %d parts, %x", body, len(used), want)
		}
		for index, shard := range shards {
			if named[index] == shard.failed {
				t.Fatalf("part %d: got it named %v, want %v, since a fetch of its records failed: %v", index, named[index], !shard.failed, shard.failed)
			}
		}
	})
}
