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

const twoNodeLog = `
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

func newTestReport(t *testing.T, since time.Time) Report {
	t.Helper()
	lines, err := explain.ReadLog(strings.NewReader(twoNodeLog))
	if err != nil {
		t.Fatal(err)
	}
	return NewReport(lines, since)
}

func TestReportFormats(t *testing.T) {
	var text, document bytes.Buffer
	report := newTestReport(t, time.Time{})
	if err := WriteText(&text, report); err != nil {
		t.Fatal(err)
	}
	if err := WriteJSON(&document, report); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "report.text", text.Bytes())
	goldie.New(t).Assert(t, "report.json", document.Bytes())
}

// TestGroupsAddUpToTotalLoss checks that the groups of each dimension add up to the total loss.
func TestGroupsAddUpToTotalLoss(t *testing.T) {
	report := newTestReport(t, time.Time{})
	for _, groups := range [][]Group{report.ByCause, report.ByRoute, report.BySecond, report.ByNode} {
		sum := 0.0
		for _, group := range groups {
			sum += group.Lost
		}
		if fmt.Sprintf("%.6f", sum) != fmt.Sprintf("%.6f", report.Lost) {
			t.Errorf("%+v: got a sum of %f, want %f", groups, sum, report.Lost)
		}
	}
}

func TestSinceDropsOlderRequests(t *testing.T) {
	if got := newTestReport(t, time.Date(2026, 12, 2, 10, 0, 2, 0, time.UTC)); got.Requests != 5 || got.DroppedLines != 7 {
		t.Errorf("got %d requests and %d dropped lines, want 5 and 7", got.Requests, got.DroppedLines)
	}
}

func TestShardCause(t *testing.T) {
	for want, attempts := range map[Cause][]event.Attempt{
		CauseHedgeUnanswered: {{End: "open"}, {End: "open"}},
		CauseSlowLeaf:        {{End: "open", Slowness: minSlowLeafRatio}},
		CauseNoBudget:        {{End: "open", Budget: minHedgeBudget - 0.1}},
		CauseNoHedge:         {{End: "open", Budget: minHedgeBudget}},
		CauseLeafUnreachable: {{End: "unsent"}},
		CauseLeafRefused:     {{End: "lost"}, {End: "refused"}},
		CauseResponseLost:    {{End: "lost"}},
		CauseLeafFailed:      {{End: "failed"}},
		CauseUnknown:         {{End: "new"}},
	} {
		if got := shardCause(attempts); got != want {
			t.Errorf("%+v: got cause %q, want %q", attempts, got, want)
		}
	}
}
