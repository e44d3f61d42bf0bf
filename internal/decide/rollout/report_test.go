package rollout

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/roster"
)

func TestParticipantsAndCandidates(t *testing.T) {
	var members []roster.Member
	for index := range 300 {
		cores := 0.2
		if index%30 == 0 {
			cores = 0.8
		}
		members = append(members, roster.Member{Name: fmt.Sprint("node-", index), Cores: cores})
	}
	participants := Participants(members)
	large := 0
	for _, member := range participants {
		if member.Cores == 0.8 {
			large++
		}
	}
	if len(participants) != maxParticipants || large != 10 {
		t.Errorf("%d participants, %d of them large, want %d and 10", len(participants), large, maxParticipants)
	}
	deciders := Candidates(members)
	remaining := slices.DeleteFunc(slices.Clone(members), func(member roster.Member) bool { return member.Name == deciders[0].Name })
	if next := Candidates(remaining); next[0] != deciders[1] || deciders[0].Cores != 0.8 {
		t.Errorf("%v decides without %v, want %v after a node of 0.8 cores", next[0], deciders[0], deciders[1])
	}
	for _, test := range []struct {
		nodes int
		want  time.Duration
	}{{1, minReportInterval}, {66, 330 * time.Millisecond}, {maxParticipants, 640 * time.Millisecond}} {
		if got := Interval(test.nodes); got != test.want {
			t.Errorf("%d nodes: report interval %s, want %s", test.nodes, got, test.want)
		}
	}
}

// TestUnchangedCountsAreReportedOnce checks that counts that a decider has acknowledged are
// reported again only after they changed, and that a decider keeps counts of an order that it does
// not know yet.
func TestUnchangedCountsAreReportedOnce(t *testing.T) {
	counter, reported := NewCounter(), make(map[Subject]Counts)
	subject := Subject{Service: testService, Order: 1, Route: testRoute, Target: true, Leaf: "a", Zone: "z"}
	counter.CountFailure(subject)
	rows := counter.ChangedRows(reported)
	if len(rows) != 1 {
		t.Fatalf("%d changed rows, want 1", len(rows))
	}
	reported[subject] = rows[0].Counts
	if again := counter.ChangedRows(reported); len(again) != 0 {
		t.Errorf("unchanged rows %+v reported again, want none", again)
	}
	table := NewTable()
	decider := NewDecider(table, "d")
	decider.Report(0, Report{Node: "n", Rows: rows})
	decider.Tick(0, time.Time{}, nil)
	table.SetOrder(0, Order{Service: testService, Version: "v2", Duration: time.Second, Written: testPosition(1)})
	if totals := sumAttempts(decider.aggregateCounts()[testService]); totals.target != 1 {
		t.Errorf("attempts %+v, want 1 at the target", totals)
	}
	counter.Retain(map[string]Order{testService: {Service: testService, Written: testPosition(2)}})
	if left := counter.ChangedRows(nil); len(left) != 0 {
		t.Errorf("rows %+v of a former order, want none", left)
	}
}
