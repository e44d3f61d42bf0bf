package dissemination

import (
	"fmt"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// storedAs returns the revision at which the log has a token, or 0.
func (w *world) storedAs(token string) uint64 {
	for _, change := range w.store.changes {
		if strings.HasSuffix(change.ID, "-"+token) {
			return change.Revision
		}
	}
	return 0
}

// checkEnd checks what must hold once everything is healed: all nodes serve the
// whole log, every fate was true, and what was unknown can be settled.
func (w *world) checkEnd() {
	if len(w.violations) > 0 {
		return
	}
	w.checkNodes()
	w.checkHistory()
	count := len(w.operations)
	var settling []*operation
	for _, op := range w.operations {
		if op.done && op.result.Fate == FateUnknown && !op.request.Settle {
			settling = append(settling, w.propose(w.newest(nodeName(w.random.IntN(nodeCount))),
				Proposal{ChangeID: op.result.ChangeID, Settle: true}, 10*time.Second))
		}
	}
	w.run(w.now + 12*time.Second)
	for _, op := range w.operations[:count] {
		w.checkFate(op)
	}
	for _, op := range settling {
		w.checkSettled(op)
	}
}

func (w *world) checkNodes() {
	head := uint64(len(w.store.changes))
	digests := map[uint64]string{}
	for index := range nodeCount {
		p := w.newest(nodeName(index))
		if p.core.Superseded() || !p.core.Fresh(p.local()) || p.core.Revision() != head {
			w.violate("healed, but %s: superseded %t, fresh for %v, revision %d of %d",
				p.member.Name, p.core.Superseded(), p.core.FreshFor(p.local()), p.core.Revision(), head)
		}
		digest := fmt.Sprint(p.core.Catalog().Digest())
		if known, ok := digests[p.core.Revision()]; ok && known != digest {
			w.violate("%s holds another catalog at revision %d", p.member.Name, p.core.Revision())
		}
		digests[p.core.Revision()] = digest
	}
}

func (w *world) checkFate(op *operation) {
	if !op.done || op.request.Settle || op.request.DryRun {
		return
	}
	stored := w.storedAs(op.request.ChangeID)
	switch fate := op.result.Fate; {
	case fate == FateNotAccepted && stored != 0:
		w.violate("change %s was reported as not accepted and is in the log at %d: %s", op.request.ChangeID, stored, op.result.Detail)
	case (fate == FateInForce || fate == FateAccepted || op.result.Stored) && stored != op.result.Revision:
		w.violate("change %s was reported as %s at %d and is in the log at %d", op.request.ChangeID, fate, op.result.Revision, stored)
	}
}

func (w *world) checkSettled(op *operation) {
	revision, token, _ := ParseChangeID(op.request.ChangeID)
	want := FateNotAccepted
	switch stored := w.storedAs(token); {
	case stored == revision:
		want = FateInForce
	case revision > uint64(len(w.store.changes)):
		want = FateUnknown
	}
	if !op.done || op.result.Fate != want {
		w.violate("change %s is settled as %q (%s), want %s", op.request.ChangeID, op.result.Fate, op.result.Detail, want)
	}
}

// checkHistory checks that the proposals make up a history of a sequential log
// to which changes are appended one by one.
func (w *world) checkHistory() {
	log := porcupine.NondeterministicModel{
		Init: func() []any { return []any{uint64(0)} },
		Step: func(state, _, output any) []any {
			held, result := state.(uint64), output.(Result)
			switch {
			case result.Stored && result.Revision == held+1:
				return []any{held + 1}
			case result.Stored:
				return nil
			case result.Fate == FateUnknown:
				return []any{held, held + 1}
			}
			return []any{held}
		},
	}
	var history []porcupine.Operation
	for _, op := range w.operations {
		if op.request.Settle || op.request.DryRun || (op.done && op.result.Fate == FateNotAccepted) {
			continue
		}
		end := int64(1 << 60)
		if !op.done {
			op.result.Fate = FateUnknown // its process died
		} else if op.result.Stored {
			end = int64(op.end)
		}
		history = append(history, porcupine.Operation{ClientId: op.client, Call: int64(op.call), Return: end, Output: op.result})
	}
	if porcupine.CheckOperationsTimeout(log.ToModel(), history, 2*time.Second) == porcupine.Illegal {
		w.violate("the proposals are no history of one log")
	}
}
