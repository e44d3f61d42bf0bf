package losses

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/micaplank/micaplank/internal/event"
	"github.com/micaplank/micaplank/internal/explain"
)

const logOfTwoNodes = `
{"time":"2026-12-02T10:00:00.1Z","node":"a","msg":"started"}
{"time":"2026-12-02T10:00:01.1Z","node":"a","msg":"request","request_id":"whole","route":"sweep","fate":"merged","answered":4,"total":4,"from":"a"}
{"time":"2026-12-02T10:00:01.2Z","node":"b","msg":"request","request_id":"lacks","route":"sweep","fate":"merged","reason":"deadline","answered":2,"total":4,"from":"a","attempts":[{"shard":1,"end":"open","slowness":5},{"shard":2,"end":"unsent"},{"shard":3,"end":"open"},{"shard":3,"end":"answered"}]}
{"time":"2026-12-02T10:00:01.3Z","node":"a","msg":"request","request_id":"lacks","route":"sweep","fate":"merged","answered":2,"total":4,"from":"a","executor":"b"}
{"time":"2026-12-02T10:00:02.1Z","node":"a","msg":"request","request_id":"gone","route":"sweep","fate":"failed","from":"a","executor":"b"}
{"time":"2026-12-02T10:00:02.2Z","node":"b","msg":"request","request_id":"early","route":"","fate":"not_run","reason":"no_snapshot","from":"b","dropped_before":7}
{"time":"2026-12-02T10:00:02.3Z","node":"b","msg":"request","request_id":"none","route":"","fate":"no_route","from":"b"}
{"time":"2026-12-02T10:00:02.4Z","node":"b","msg":"request","request_id":"ill","route":"lookup","fate":"answered","status":500,"from":"b"}
{"time":"2026-12-02T10:00:02.5Z","node":"b","msg":"request","request_id":"late","route":"lookup","fate":"late","reason":"deadline","from":"b","attempts":[{"shard":9,"end":"open","budget":0.5}]}
`

func report(t *testing.T, since time.Time) Report {
	t.Helper()
	lines, err := explain.Read(strings.NewReader(logOfTwoNodes))
	if err != nil {
		t.Fatal(err)
	}
	return Add(lines, since)
}

func TestReport(t *testing.T) {
	var text, document bytes.Buffer
	all := report(t, time.Time{})
	if err := WriteText(&text, all); err != nil {
		t.Fatal(err)
	}
	if err := WriteJSON(&document, all); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "report.text", text.Bytes())
	goldie.New(t).Assert(t, "report.json", document.Bytes())
}

// TestLossesAddUpAlike by cause, route, second and node.
func TestLossesAddUpAlike(t *testing.T) {
	all := report(t, time.Time{})
	for _, parts := range [][]Part{all.ByCause, all.ByRoute, all.BySecond, all.ByNode} {
		sum := 0.0
		for _, part := range parts {
			sum += part.Lost
		}
		if fmt.Sprintf("%.6f", sum) != fmt.Sprintf("%.6f", all.Lost) {
			t.Errorf("%+v adds up to %f of %f", parts, sum, all.Lost)
		}
	}
}

func TestSince(t *testing.T) {
	if got := report(t, time.Date(2026, 12, 2, 10, 0, 2, 0, time.UTC)); got.Requests != 5 || got.Dropped != 7 {
		t.Errorf("%d requests, %d lines dropped", got.Requests, got.Dropped)
	}
}

func TestCauseOfAShard(t *testing.T) {
	for want, attempts := range map[Cause][]event.Attempt{
		CauseBothSilent:  {{End: "open"}, {End: "open"}},
		CauseSlowLeaf:    {{End: "open", Slowness: slowLeaf}},
		CauseNoBudget:    {{End: "open", Budget: hedgePrice - 0.1}},
		CauseNoHedge:     {{End: "open", Budget: hedgePrice}},
		CauseNotReached:  {{End: "unsent"}},
		CauseLeafRefused: {{End: "lost"}, {End: "refused"}},
		CauseAnswerLost:  {{End: "lost"}},
		CauseLeafFailed:  {{End: "failed"}},
		CauseUnknown:     {{End: "new"}},
	} {
		if got := causeOf(attempts); got != want {
			t.Errorf("%+v: %s, want %s", attempts, got, want)
		}
	}
}
