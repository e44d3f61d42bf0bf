package combine

import (
	"bytes"
	"context"
	"sync"
	"testing"

	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/edge/records"
	"github.com/micaplank/micaplank/internal/scatter"
)

func TestRemoteZonePartIsThinned(t *testing.T) {
	h := newTestHarness(t, leavesAnswering(5, 1, 4, 3))
	response, err := h.execute(newAttempt("b", newQuery()))
	if err != nil {
		t.Fatal(err)
	}
	if want := newPart(5, 4); !bytes.Equal(response.Part.Body, want.Part.Body) || response.Part.Signature != "signed" {
		t.Errorf("part %+v, want records %x and signature %q", response.Part, want.Part.Body, "signed")
	}
	if want := newPart(3); !bytes.Equal(response.Part.Dropped, want.Part.Body) {
		t.Errorf("dropped %x, want %x", response.Part.Dropped, want.Part.Body)
	}
	for name, test := range map[string]struct{ floor, want []byte }{
		"all":           {nil, newPart(3, 1).Part.Body},
		"not below two": {newPart(2).Part.Body, newPart(3).Part.Body},
	} {
		if dropped, err := response.Part.FetchDropped(t.Context(), test.floor); err != nil || !bytes.Equal(dropped, test.want) {
			t.Errorf("dropped records, %s: %x, error %v, want %x", name, dropped, err, test.want)
		}
	}
	if response.Shard != 3 || !response.Executed {
		t.Errorf("response %+v, want shard 3 and Executed", response)
	}
	sent := h.combined.attempts[0]
	if sent.BootID != "i-1" || string(sent.Payload.Head) != "GET /x HTTP/1.1\r\n" || sent.Remaining > testTimeout {
		t.Errorf("attempt at the leaf %+v, want boot id i-1, the head of the query and at most %v remaining", sent, testTimeout)
	}
	if h.direct.count() != 0 || h.combined.count() != 1 {
		t.Errorf("%d attempts sent directly, %d by the combiner, want 0 and 1", h.direct.count(), h.combined.count())
	}
}

// TestQueriesDoNotThinEachOther checks that only parts of the same query are compared with each
// other.
func TestQueriesDoNotThinEachOther(t *testing.T) {
	value := byte(8)
	h := newTestHarness(t, &fakeLeaves{run: func(context.Context, scatter.Attempt[*forward.Request]) (*scatter.Response[forward.Part], error) {
		value--
		return newPart(value, value), nil
	}})
	for range 3 {
		response, err := h.execute(newAttempt("b", newQuery()))
		if err != nil || len(response.Part.Body) != 2*records.Size || response.Part.Dropped != nil {
			t.Fatalf("response %+v, error %v, want two records and none dropped", response, err)
		}
	}
}

// TestPartsOfOneQueryThinEachOther checks that a part is thinned against earlier parts of its
// query. The first attempt blocks until the others are done, which keeps the session open.
func TestPartsOfOneQueryThinEachOther(t *testing.T) {
	hung, release := make(chan struct{}), make(chan struct{})
	var once sync.Once
	h := newTestHarness(t, &fakeLeaves{run: func(_ context.Context, attempt scatter.Attempt[*forward.Request]) (*scatter.Response[forward.Part], error) {
		first := false
		once.Do(func() { first = true })
		if first {
			close(hung)
			<-release
			return newPart(1), nil
		}
		return newPart(9, 8), nil
	}})
	query := newQuery()
	firstResponse := make(chan *scatter.Response[forward.Part])
	go func() {
		response, _ := h.execute(newAttempt("b", query))
		firstResponse <- response
	}()
	<-hung
	if response, err := h.execute(newAttempt("b", query)); err != nil || len(response.Part.Body) != 2*records.Size {
		t.Fatalf("response %+v, error %v, want two records", response, err)
	}
	close(release)
	if response := <-firstResponse; response == nil || len(response.Part.Body) != 0 || len(response.Part.Dropped) != records.Size {
		t.Errorf("first response %+v, want an empty body and one dropped record", response)
	}
}

// TestRecordsBelowFloorAreDropped checks that the combiner drops the records below the floor of the
// query, and that fetching them fails when the combiner is lost.
func TestRecordsBelowFloorAreDropped(t *testing.T) {
	h := newTestHarness(t, leavesAnswering(5, 1))
	query := newQuery()
	query.Floor = newPart(4).Part.Body
	response, err := h.execute(newAttempt("b", query))
	if err != nil || !bytes.Equal(response.Part.Body, newPart(5).Part.Body) || !bytes.Equal(response.Part.Dropped, newPart(1).Part.Body) {
		t.Fatalf("response %+v, error %v, want one record and one dropped record", response, err)
	}
	h.closeServer()
	if _, err := response.Part.FetchDropped(t.Context(), nil); err == nil {
		t.Error("fetch from a lost combiner: got no error")
	}
}
