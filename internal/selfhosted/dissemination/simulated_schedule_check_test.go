package dissemination

import (
	"fmt"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// revisionOfToken returns the revision of the change with a token, or 0.
func (sim *simulation) revisionOfToken(token string) uint64 {
	for _, change := range sim.store.changes {
		if strings.HasSuffix(change.ID, "-"+token) {
			return change.Revision
		}
	}
	return 0
}

// checkEnd checks the state after all faults have ended: all nodes must serve the complete log,
// every reported fate must be correct, and every unknown fate must be resolvable.
func (sim *simulation) checkEnd() {
	if len(sim.violations) > 0 {
		return
	}
	sim.checkNodes()
	sim.checkHistory()
	count := len(sim.operations)
	var resolving []*operation
	for _, op := range sim.operations {
		if op.done && op.result.Fate == FateUnknown && !op.request.ResolveFate {
			resolving = append(resolving, sim.propose(sim.newestProcess(nodeName(sim.random.IntN(nodeCount))),
				Proposal{ChangeID: op.result.ChangeID, ResolveFate: true}, 10*time.Second))
		}
	}
	sim.run(sim.now + 12*time.Second)
	for _, op := range sim.operations[:count] {
		sim.checkFate(op)
	}
	for _, op := range resolving {
		sim.checkResolvedFate(op)
	}
}

// checkNodes checks that every node is fresh at the last revision and that equal revisions have
// equal catalogs.
func (sim *simulation) checkNodes() {
	head := uint64(len(sim.store.changes))
	digests := map[uint64]string{}
	for index := range nodeCount {
		p := sim.newestProcess(nodeName(index))
		if p.core.Superseded() || !p.core.Fresh(p.localTime()) || p.core.Revision() != head {
			sim.addViolation("after all faults have ended, %s: got superseded %t, fresh for %v, revision %d, want not superseded, fresh, revision %d",
				p.member.Name, p.core.Superseded(), p.core.FreshFor(p.localTime()), p.core.Revision(), head)
		}
		digest := fmt.Sprint(p.core.Catalog().Digest())
		if previous, ok := digests[p.core.Revision()]; ok && previous != digest {
			sim.addViolation("%s: got a catalog at revision %d that differs from that of another node, want equal catalogs", p.member.Name, p.core.Revision())
		}
		digests[p.core.Revision()] = digest
	}
}

// checkFate checks the reported fate of a change against the log.
func (sim *simulation) checkFate(op *operation) {
	if !op.done || op.request.ResolveFate || op.request.DryRun {
		return
	}
	stored := sim.revisionOfToken(op.request.ChangeID)
	switch fate := op.result.Fate; {
	case fate == FateNotAccepted && stored != 0:
		sim.addViolation("change %s: got fate not accepted, but the log has it at revision %d: %s", op.request.ChangeID, stored, op.result.Detail)
	case (fate == FateInForce || fate == FateAccepted || op.result.Stored) && stored != op.result.Revision:
		sim.addViolation("change %s: got fate %s at revision %d, but the log has it at revision %d", op.request.ChangeID, fate, op.result.Revision, stored)
	}
}

// checkResolvedFate checks the fate that a query by change ID returned against the log.
func (sim *simulation) checkResolvedFate(op *operation) {
	revision, token, _ := ParseChangeID(op.request.ChangeID)
	want := FateNotAccepted
	switch stored := sim.revisionOfToken(token); {
	case stored == revision:
		want = FateInForce
	case revision > uint64(len(sim.store.changes)):
		want = FateUnknown
	}
	if !op.done || op.result.Fate != want {
		sim.addViolation("resolved fate of change %s: got %q (%s), want %s", op.request.ChangeID, op.result.Fate, op.result.Detail, want)
	}
}

// checkHistory checks that the proposals form a linearizable history of a log to which changes are
// appended one at a time.
func (sim *simulation) checkHistory() {
	log := porcupine.NondeterministicModel{
		Init: func() []any { return []any{uint64(0)} },
		Step: func(state, _, output any) []any {
			lastRevision, result := state.(uint64), output.(Result)
			switch {
			case result.Stored && result.Revision == lastRevision+1:
				return []any{lastRevision + 1}
			case result.Stored:
				return nil
			case result.Fate == FateUnknown:
				return []any{lastRevision, lastRevision + 1}
			}
			return []any{lastRevision}
		},
	}
	var history []porcupine.Operation
	for _, op := range sim.operations {
		if op.request.ResolveFate || op.request.DryRun || (op.done && op.result.Fate == FateNotAccepted) {
			continue
		}
		end := int64(1 << 60)
		if !op.done {
			op.result.Fate = FateUnknown // its process died
		} else if op.result.Stored {
			end = int64(op.endedAt)
		}
		history = append(history, porcupine.Operation{ClientId: op.client, Call: int64(op.calledAt), Return: end, Output: op.result})
	}
	if porcupine.CheckOperationsTimeout(log.ToModel(), history, 2*time.Second) == porcupine.Illegal {
		sim.addViolation("history of the proposals is not linearizable")
	}
}
