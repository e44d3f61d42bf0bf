package forward

import (
	"bytes"
	"testing"

	"github.com/micaplank/micaplank/internal/records"
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
	parts, body := greatestOf(2, []scatter.ShardPart[Part]{whole, thinned})
	if len(parts) != 2 || !bytes.Equal(body, recordsOf(9, 7)) {
		t.Errorf("two of two: %d parts, %x", len(parts), body)
	}
	parts, body = greatestOf(3, []scatter.ShardPart[Part]{whole, thinned})
	if len(parts) != 1 || parts[0].Shard != 1 || !bytes.Equal(body, recordsOf(9, 2, 1)) {
		t.Errorf("three, the third of which may be missing: %d parts, %x", len(parts), body)
	}
}
