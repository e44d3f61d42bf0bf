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

func recordsOf(values ...byte) (body []byte) {
	for _, value := range values {
		body = append(body, bytes.Repeat([]byte{value}, records.Size)...)
	}
	return body
}

// TestPartThatLacksRecordsIsLeftOut merges a part that was thinned out for the
// sake of another one, which is not used.
func TestPartThatLacksRecordsIsLeftOut(t *testing.T) {
	whole := scatter.ShardPart[Part]{Shard: 1, Part: Part{Body: recordsOf(9, 2, 1)}}
	thinned := scatter.ShardPart[Part]{Shard: 2, Part: Part{Body: recordsOf(7), Dropped: recordsOf(6)}}
	parts, body, _ := greatestOf(t.Context(), 2, []scatter.ShardPart[Part]{whole, thinned})
	if len(parts) != 2 || !bytes.Equal(body, recordsOf(9, 7)) {
		t.Errorf("two of two: %d parts, %x", len(parts), body)
	}
	parts, body, _ = greatestOf(t.Context(), 3, []scatter.ShardPart[Part]{whole, thinned})
	if len(parts) != 1 || parts[0].Shard != 1 || !bytes.Equal(body, recordsOf(9, 2, 1)) {
		t.Errorf("three, the third of which may be missing: %d parts, %x", len(parts), body)
	}
}

// restOf returns a part without its last records, which can be fetched.
func restOf(left []byte, err error, values ...byte) Part {
	return Part{Body: recordsOf(values...), Dropped: records.Max(left), Rest: func(_ context.Context, floor []byte) ([]byte, error) {
		return records.NotBelow(left, floor), err
	}}
}

func TestRecordsThatCountAreFetched(t *testing.T) {
	parts := []scatter.ShardPart[Part]{
		{Shard: 1, Part: Part{Body: recordsOf(9, 2)}},
		{Shard: 2, Part: restOf(recordsOf(1, 7, 5), nil, 8)},
		{Shard: 3, Part: restOf(recordsOf(0), errors.New("lost"), 3)},
	}
	used, body, missed := greatestOf(t.Context(), 4, parts)
	if !missed || len(used) != 3 || !bytes.Equal(body, recordsOf(9, 8, 7, 5)) {
		t.Errorf("missed %v, %d parts, %x", missed, len(used), body)
	}
	parts[1].Part = restOf(recordsOf(7), errors.New("lost"), 8)
	used, body, _ = greatestOf(t.Context(), 3, parts)
	if len(used) != 2 || !bytes.Equal(body, recordsOf(9, 3, 2)) {
		t.Errorf("without the rest: %d parts, %x", len(used), body)
	}
}

// randomParts returns parts of random records, the first of them whole.
func randomParts(random *rand.Rand, count, whole, size int) []scatter.ShardPart[Part] {
	parts := make([]scatter.ShardPart[Part], count)
	for index := range parts {
		parts[index].Part.Body = make([]byte, size*records.Size)
		for at := range parts[index].Part.Body {
			parts[index].Part.Body[at] = byte(random.Uint32())
		}
		if index >= whole {
			parts[index].Part = restOf(recordsOf(0), nil)
		}
	}
	return parts
}

// TestFloorLeavesOutMuchAndMissesLittle learns from the parts of one zone out of
// three, and compares with the answers that follow.
func TestFloorLeavesOutMuchAndMissesLittle(t *testing.T) {
	const k, count, whole, size = 50, 30, 10, 62
	random := rand.New(rand.NewPCG(1, 2))
	learned := newLearned()
	missed, sent := 0, 0
	const answers = 400
	for number := range answers {
		parts := randomParts(random, count, count, size)
		floor := learned.floor("kind")
		if number < recordfloor.Samples && floor != nil {
			t.Fatal("a floor is told that rests on too little")
		}
		above := 0
		for _, one := range parts {
			above += len(records.NotBelow(one.Part.Body, floor)) / records.Size
		}
		if number >= recordfloor.Samples {
			sent += above
		}
		if above < k {
			missed++
		}
		for index := whole; index < count; index++ {
			parts[index].Part = restOf(recordsOf(0), nil)
		}
		learned.learnFloor("kind", k, parts, above < k)
	}
	if missed > answers/100 {
		t.Errorf("%d of %d answers missed records", missed, answers)
	}
	if mean := sent / (answers - recordfloor.Samples); mean > 4*k {
		t.Errorf("%d records for answers of %d", mean, k)
	}
}

func TestFloorIsForgottenWhenItMissed(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	learned := newLearned()
	for range recordfloor.Samples {
		learned.learnFloor("kind", 5, randomParts(random, 6, 3, 20), false)
	}
	if learned.floor("kind") == nil || learned.floor("other") != nil {
		t.Fatal("floors of the wrong kinds")
	}
	learned.learnFloor("kind", 5, randomParts(random, 6, 3, 20), true)
	if learned.floor("kind") != nil {
		t.Error("the floor is still told")
	}
	for range 2 * recordfloor.Samples {
		learned.learnFloor("far", 5, randomParts(random, 6, 0, 20), false)
	}
	if learned.floor("far") != nil {
		t.Error("a floor is told without a whole part")
	}
}
