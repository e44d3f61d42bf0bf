package hollow

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTables writes the results for people: a line for each phase, and a line
// for each role of each phase.
func WriteTables(w io.Writer, results []Result) error {
	if err := writePhases(w, results); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(w); err != nil {
		return err
	}
	return writeLoads(w, results)
}

func writePhases(w io.Writer, results []Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "nodes\tleaves\tformed s\tstore calls\theap KB/node\tscenario\tcore %/node\tchanges\tin force median s\tmax s\tsuspicions\tgone\tagreed s\tstore calls/s\t")
	for _, result := range results {
		for _, phase := range result.Phases {
			fmt.Fprintf(table, "%d\t%d\t%.1f\t%d\t%.0f\t%s\t%.3f\t%d of %d\t%.2f\t%.2f\t%d\t%d\t%.1f\t%.1f\t\n",
				result.Config.Nodes, result.Config.Leaves, result.FormedSeconds, result.FormStoreCalls, result.HeapBytesPerNode/kilobyte,
				phase.Scenario, percent*phase.ProcessorShare,
				phase.Changes.InForce.Count, phase.Changes.Proposed,
				phase.Changes.InForce.Median, phase.Changes.InForce.Max,
				phase.Members.Suspicions, phase.Members.Gone, phase.Members.AgreedSeconds, phase.StoreCallsPerSecond)
		}
	}
	return table.Flush()
}

func writeLoads(w io.Writer, results []Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "nodes\tscenario\trole\tcount\tsent B/s\treceived B/s\tpackets/s\twire B/s\tmost wire B/s\tmost in 1 s\tmembership B/s\tbusy %\tmost busy %\t")
	for _, result := range results {
		for _, phase := range result.Phases {
			for _, load := range phase.Loads {
				fmt.Fprintf(table, "%d\t%s\t%s\t%d\t%.0f\t%.0f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%.3f\t%.3f\t\n",
					result.Config.Nodes, phase.Scenario, load.Role, load.Nodes,
					load.SentBytes, load.ReceivedBytes, load.SentPackets, load.WireBytes, load.WireBytesMaximum,
					load.SecondBytesMaximum, load.MembershipBytes, percent*load.BusyShare, percent*load.BusyShareMaximum)
			}
		}
	}
	return table.Flush()
}

const (
	percent  = 100
	kilobyte = 1000
)
