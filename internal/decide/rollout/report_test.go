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
	taking := Participants(members)
	large := 0
	for _, one := range taking {
		if one.Cores == 0.8 {
			large++
		}
	}
	if len(taking) != mostNodes || large != 10 {
		t.Errorf("%d take part, %d large ones", len(taking), large)
	}
	deciding := Candidates(members)
	left := slices.DeleteFunc(slices.Clone(members), func(one roster.Member) bool { return one.Name == deciding[0].Name })
	if next := Candidates(left); next[0] != deciding[1] || deciding[0].Cores != 0.8 {
		t.Errorf("%v decides once %v is gone, want %v", next[0], deciding[0], deciding[1])
	}
	for _, test := range []struct {
		nodes int
		want  time.Duration
	}{{1, leastInterval}, {66, 330 * time.Millisecond}, {mostNodes, 640 * time.Millisecond}} {
		if got := Interval(test.nodes); got != test.want {
			t.Errorf("%d nodes report each %s, want %s", test.nodes, got, test.want)
		}
	}
}

// TestCountsAreToldOnce: what a decider has answered to is reported again only once it
// has changed, and stays with a decider that does not know the order yet.
func TestCountsAreToldOnce(t *testing.T) {
	counter, reported := NewCounter(), make(map[Subject]Counts)
	subject := Subject{Service: playService, Order: 1, Route: playRoute, Target: true, Leaf: "a", Zone: "z"}
	counter.Failed(subject)
	rows := counter.Changed(reported)
	if len(rows) != 1 {
		t.Fatalf("%d rows", len(rows))
	}
	reported[subject] = rows[0].Counts
	if again := counter.Changed(reported); len(again) != 0 {
		t.Errorf("reported again: %+v", again)
	}
	table := NewTable()
	decider := NewDecider(table, "d")
	decider.Report(0, Report{Node: "n", Rows: rows})
	decider.Tick(0, time.Time{}, nil)
	table.SetOrder(0, Order{Service: playService, Version: "v2", Duration: time.Second, Revision: 1})
	if counted := amountOf(decider.collect()[playService]); counted.target != 1 {
		t.Errorf("%+v is known", counted)
	}
	counter.Retain(map[string]uint64{playService: 2})
	if left := counter.Changed(nil); len(left) != 0 {
		t.Errorf("of a former order: %+v", left)
	}
}
