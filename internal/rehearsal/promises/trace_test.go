package promises

import (
	"strings"

	"github.com/micaplank/micaplank/internal/rehearsal/history"
)

// maxTraces bounds the violations of one check for which logTraces prints the trace.
const maxTraces = 3

// logTraces prints what the nodes logged and the leaves recorded about the subjects of the first
// violations, so that the node or leaf that lost a request can be identified.
func (d *deployment) logTraces(violations []history.Violation) {
	d.t.Helper()
	for _, violation := range violations[:min(len(violations), maxTraces)] {
		if violation.Subject == "" {
			continue
		}
		for _, node := range d.startedNodes() {
			d.logMatchingLines(node.Name, node.Log(), violation.Subject)
		}
		d.logExecutions(violation.Subject)
	}
}

func (d *deployment) logMatchingLines(process, log, subject string) {
	d.t.Helper()
	for line := range strings.Lines(log) {
		if strings.Contains(line, subject) {
			d.t.Logf("log of %s: %s", process, strings.TrimSpace(line))
		}
	}
}

// logExecutions prints the entries of a request in the execution logs of all leaves.
func (d *deployment) logExecutions(requestID string) {
	d.t.Helper()
	for _, clusterLeaf := range d.Leaves {
		executions, err := d.ReadLeafExecutions(clusterLeaf)
		if err != nil {
			d.t.Log(err)
			continue
		}
		for _, execution := range executions {
			if execution.RequestID == requestID {
				d.t.Logf("execution log of %s: %+v", clusterLeaf.Name, execution)
			}
		}
	}
}
