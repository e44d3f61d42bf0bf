package promises

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/rehearsal/cluster"
	"github.com/micaplank/micaplank/internal/rehearsal/store"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// fault is an injected fault that is repaired later.
type fault struct {
	name string
	// targets are the processes that the fault affects. Two faults of the same process are never
	// active at once, because a frozen process accepts no commands.
	targets []string
	inject  func() error
	repair  func() error
}

func (f fault) actsOn(target string) bool { return slices.Contains(f.targets, target) }

// runFaults injects the faults in a seeded random order, two at a time. Each pair stays active for
// hold and is then repaired; pause is the time between two pairs.
func (d *deployment) runFaults(hold, pause time.Duration, faults []fault) {
	d.t.Helper()
	random := rand.New(rand.NewPCG(seed, uint64(len(faults))))
	random.Shuffle(len(faults), func(i, j int) { faults[i], faults[j] = faults[j], faults[i] })
	for len(faults) > 0 {
		var pair []fault
		pair, faults = takeCompatiblePair(faults)
		for _, injected := range pair {
			d.runStep(injected.name, injected.inject)
		}
		d.sleep(hold)
		for _, injected := range pair {
			d.runStep(injected.name, injected.repair)
		}
		d.sleep(pause)
	}
}

// takeCompatiblePair removes the first fault, and the next one that shares no target with it.
func takeCompatiblePair(faults []fault) (pair, rest []fault) {
	first := faults[0]
	rest = slices.Clone(faults[1:])
	other := slices.IndexFunc(rest, func(f fault) bool { return !slices.ContainsFunc(f.targets, first.actsOn) })
	if other < 0 {
		return []fault{first}, rest
	}
	second := rest[other]
	return []fault{first, second}, slices.Delete(rest, other, other+1)
}

func (d *deployment) runStep(name string, step func() error) {
	d.t.Helper()
	if err := step(); err != nil {
		d.t.Errorf("%s: %v", name, err)
	}
}

// leafFaultsOff is the control request that ends every fault of a leaf except a drain.
const leafFaultsOff = `{"slow_factor":1,"delay_ms":0,"refuse":"","truncate":false,"cross":false,"lose_reply":0,"report_scale":1,"report_lag_ms":0,"report_state":"","report_fixed":null}`

// leafFault injects faults into a leaf through its control interface.
func (d *deployment) leafFault(index int, control string) fault {
	set := func(control string) func() error {
		return func() error { return d.ControlLeaf(d.ctx, d.Leaves[index], json.RawMessage(control)) }
	}
	return fault{
		name:    fmt.Sprintf("leaf %d %s", index, control),
		targets: []string{leafTarget(index)},
		inject:  set(control),
		repair:  set(leafFaultsOff),
	}
}

// freezeFault freezes a process. The process is looked up at the time of injection, since an
// earlier fault may have replaced it.
func freezeFault(name string, process func() *cluster.Process) fault {
	var frozen *cluster.Process
	return fault{
		name:    "freeze " + name,
		targets: []string{name},
		inject:  func() error { frozen = process(); return frozen.Freeze() },
		repair:  func() error { return frozen.Thaw() },
	}
}

func nodeTarget(index int) string { return fmt.Sprintf("node %d", index) }

func leafTarget(index int) string { return fmt.Sprintf("leaf %d", index) }

func (d *deployment) freezeNode(index int) fault {
	return freezeFault(nodeTarget(index), func() *cluster.Process { return d.node(index).Process })
}

func (d *deployment) freezeLeaf(index int) fault {
	return freezeFault(leafTarget(index), func() *cluster.Process { return d.Leaves[index].Process })
}

// killNode kills a node; a new process replaces it on repair.
func (d *deployment) killNode(index int) fault {
	return fault{
		name:    fmt.Sprintf("kill node %d", index),
		targets: []string{nodeTarget(index)},
		inject:  func() error { d.node(index).Kill(); return nil },
		repair:  func() error { d.replaceNode(index); return nil },
	}
}

// storeFault injects faults into the configuration store.
func (d *deployment) storeFault(faults store.Faults) fault {
	set := func(faults store.Faults) func() error {
		return func() error {
			return d.Control(d.ctx, d.Store, store.ControlPath, store.ControlRequest{Faults: &faults})
		}
	}
	return fault{name: fmt.Sprintf("store %+v", faults), inject: set(faults), repair: set(store.Faults{})}
}

// reversibleStatement runs an operator's statement, and on repair another one that reverts it.
// Either may fail because of another active fault, so a failure is only logged.
func (d *deployment) reversibleStatement(statement, undo string) fault {
	return d.reversibleStatements([]string{statement}, []string{undo})
}

func (d *deployment) reversibleStatements(statements, undo []string) fault {
	run := func(statements []string) func() error {
		return func() error {
			for _, statement := range statements {
				d.runStatement(statement)
			}
			return nil
		}
	}
	return fault{name: statements[0], inject: run(statements), repair: run(undo)}
}

const (
	// commandTimeout is how long a node waits for a change to be in force.
	commandTimeout = time.Second
	// operatorTimeout is how long an operator waits for a node before it tries the next one.
	operatorTimeout = commandTimeout + 500*time.Millisecond
)

// runStatement sends a statement to one node after another until a node reports its fate.
func (d *deployment) runStatement(statement string) {
	d.t.Helper()
	for index := range nodes {
		ctx, cancel := context.WithTimeout(d.ctx, operatorTimeout)
		response, err := d.SendStatement(ctx, d.node(index), api.StatementRequest{
			Statement: statement, TimeoutMilliseconds: commandTimeout.Milliseconds(),
		})
		cancel()
		if err == nil && response.Outcome != api.ChangeOutcomeUnknown {
			return
		}
		d.t.Logf("statement %q at node %d: error %v, response %+v", statement, index, err, response)
	}
}

// drainNode terminates a node gracefully; a new process replaces it on repair.
func (d *deployment) drainNode(index int) fault {
	return fault{
		name:    fmt.Sprintf("drain node %d", index),
		targets: []string{nodeTarget(index)},
		inject:  func() error { return d.node(index).Terminate() },
		repair:  func() error { d.replaceNode(index); return nil },
	}
}

// replaceFrozenNode freezes a node and starts a new process in its slot; on repair the old process
// thaws.
func (d *deployment) replaceFrozenNode(index int) fault {
	var old *cluster.Node
	return fault{
		name:    fmt.Sprintf("replace frozen node %d", index),
		targets: []string{nodeTarget(index)},
		inject: func() error {
			old = d.node(index)
			defer d.replaceNode(index)
			return old.Freeze()
		},
		repair: func() error { return old.Thaw() },
	}
}

// combine returns a fault that injects and repairs two faults together.
func combine(first, second fault) fault {
	return fault{
		name:    first.name + " and " + second.name,
		targets: append(slices.Clone(first.targets), second.targets...),
		inject:  func() error { return errors.Join(first.inject(), second.inject()) },
		repair:  func() error { return errors.Join(first.repair(), second.repair()) },
	}
}
