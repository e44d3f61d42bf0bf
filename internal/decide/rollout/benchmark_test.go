package rollout

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"
)

// newBenchmarkReport returns the report of a node on some orders: two routes for each order, and
// three leaves of each version with attempts.
func newBenchmarkReport(node string, orders int) Report {
	counter := NewCounter()
	report := Report{Node: node}
	for order := range orders {
		service := fmt.Sprint("shard-", order)
		report.Orders = append(report.Orders, Progress{Service: service, Order: 7, Phase: PhaseTrial, Age: 3 * time.Second})
		for _, route := range []string{"sweep", "glance"} {
			for attempt := range 200 {
				control := Subject{Service: service, Order: 7, Route: route, Zone: "zone-a", Leaf: fmt.Sprint("i-58d01b2", attempt%3)}
				counter.CountDuration(control, time.Duration(5+attempt%40)*time.Millisecond)
				counter.CountFirst(control, 0)
			}
			for leaf := range 3 {
				target := Subject{Service: service, Order: 7, Route: route, Target: true, Zone: "zone-a", Leaf: fmt.Sprint("i-7f3a91c", leaf)}
				counter.CountDuration(target, 12*time.Millisecond)
				counter.CountFirst(target, 0)
			}
		}
	}
	report.Rows = counter.ChangedRows(nil)
	return report
}

// BenchmarkReport measures the encoding of a report, and its size on a connection that has already
// carried one.
func BenchmarkReport(b *testing.B) {
	for _, orders := range []int{1, 225} {
		b.Run(fmt.Sprintf("orders=%d", orders), func(b *testing.B) {
			report := newBenchmarkReport("edge-01/01JE", orders)
			var stream bytes.Buffer
			encoder := gob.NewEncoder(&stream)
			if err := encoder.Encode(report); err != nil {
				b.Fatal(err)
			}
			stream.Reset()
			for b.Loop() {
				stream.Reset()
				if err := encoder.Encode(report); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(stream.Len()), "bytes/report")
		})
	}
}

// BenchmarkTick measures one evaluation of the reports of all nodes.
func BenchmarkTick(b *testing.B) {
	for _, size := range []struct{ nodes, orders int }{{66, 1}, {maxParticipants, 1}, {66, 225}} {
		b.Run(fmt.Sprintf("nodes=%d/orders=%d", size.nodes, size.orders), func(b *testing.B) {
			table := NewTable()
			for order := range size.orders {
				service := fmt.Sprint("shard-", order)
				table.SetOrder(0, Order{Service: service, Version: "v2", Duration: time.Hour, Written: testPosition(7)})
				table.SetRecord(Record{Service: service, Order: 7, Version: "v2", Phase: PhaseTrial, Revision: 8})
			}
			decider := NewDecider(table, "d")
			for node := range size.nodes {
				decider.Report(0, newBenchmarkReport(fmt.Sprint(node), size.orders))
			}
			supply := func(string) Supply { return Supply{Target: 6, Control: 6, Mixed: true} }
			now := time.Duration(0)
			for b.Loop() {
				// Nodes expire after reportRetention.
				now = min(now+300*time.Millisecond, reportRetention/2)
				if transitions := decider.Tick(now, time.Time{}, supply); len(transitions) > 0 {
					b.Fatalf("transition %+v, want none", transitions[0])
				}
			}
		})
	}
}
