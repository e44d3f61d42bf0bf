package promises

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/rehearsal/cluster"
	"github.com/micaplank/micaplank/internal/rehearsal/history"
	"github.com/micaplank/micaplank/internal/rehearsal/store"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

const (
	// inForceBound is the freshness window, 5 s by default, with a margin for the time between the
	// acceptance and the caller's clock reading.
	inForceBound = 5*time.Second + 250*time.Millisecond
	// statusPollInterval is the time between two status requests to a node.
	statusPollInterval = 30 * time.Millisecond
	// statusTimeout bounds a status request, since the node may be frozen.
	statusTimeout = time.Second
	// fateTimeout bounds the time until the fate of a change is known.
	fateTimeout = 20 * time.Second
)

// TestAcceptedChangesAreDurableAndOrdered guards against accepted changes that are lost, reordered
// or ignored. Operators send concurrent commands to all nodes while the store loses replies and
// fails right after writes, and nodes are frozen, killed and replaced. The log must be an order of
// the commands, no node may go back to an older revision, and no node that accepts work may lag
// behind after inForceBound. At the end the service is stopped while a node is frozen beyond that
// bound.
func TestAcceptedChangesAreDurableAndOrdered(t *testing.T) {
	d := deploy(t, nil)
	base, err := d.FetchCatalog(d.ctx, d.node(0))
	d.requireNoError(err)
	stopPolling := d.startStatusPolling()
	stopOperators := d.startLoad(4, d.sendRandomCommand)
	d.runFaults(1200*time.Millisecond, 600*time.Millisecond, []fault{
		d.storeFault(store.Faults{LoseReplies: 1}), d.storeFault(store.Faults{LoseReplies: 4}), d.storeFault(store.Faults{Outage: store.OutageHang}),
		d.outageAfterWrite(), d.killNode(1), d.freezeNode(0), d.replaceFrozenNode(2), d.replaceNodeDuringOutage(2),
	})
	stopOperators()
	stopped, until := d.stopServiceWithFrozenNode()
	stopPolling()
	d.resolveUnknownChanges()
	log, err := d.FetchCatalog(d.ctx, d.node(0))
	d.requireNoError(err)
	changes := d.recorder.Changes()
	d.requireNoViolations(history.CheckLog(changes, base.Revision, log.Recent))
	d.requireNoViolations(history.CheckObservations(d.recorder.Observations(), changes, inForceBound))
	d.requireNoViolations(history.CheckStopped(d.recorder.Submissions(), stopped, until, inForceBound))
	d.requireChangeFates(changes)
	d.requireFates("answered", "not-run-stopped")
}

// sendRandomCommand sends an operator's command to a random node. One in four is conditional on
// the revision that the operator saw last.
func (d *deployment) sendRandomCommand(random *rand.Rand, operator int) {
	node := d.node(random.IntN(nodes))
	statement := fmt.Sprintf("limit %s concurrency %d", service, 1000+random.IntN(1_000_000))
	if random.IntN(4) == 0 {
		if status, err := d.fetchStatus(node); err == nil {
			statement += fmt.Sprintf(" if revision %d", status.Revision)
		}
	}
	d.sendCommand(node, operator, statement)
	d.sleep(time.Duration(random.IntN(100)) * time.Millisecond)
}

// sendCommand sends a command and records the response.
func (d *deployment) sendCommand(node *cluster.Node, operator int, statement string) history.Change {
	ctx, cancel := context.WithTimeout(d.ctx, replyTimeout)
	defer cancel()
	change := history.Change{Operator: operator, Node: node.Name, Statement: statement, Called: time.Now()}
	change.RecordResult(d.SendStatement(ctx, node, api.StatementRequest{Statement: statement, TimeoutMilliseconds: commandTimeout.Milliseconds()}))
	d.recorder.RecordChange(change)
	return change
}

func (d *deployment) fetchStatus(node *cluster.Node) (*api.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(d.ctx, statusTimeout)
	defer cancel()
	return d.FetchStatus(ctx, node)
}

// startStatusPolling polls the status of every node until the returned function is called.
func (d *deployment) startStatusPolling() (stop func()) {
	ctx, cancel := context.WithCancel(d.ctx)
	var polling sync.WaitGroup
	for index := range nodes {
		polling.Go(func() {
			for ctx.Err() == nil {
				d.recordStatus(d.node(index))
				time.Sleep(statusPollInterval)
			}
		})
	}
	return func() {
		cancel()
		polling.Wait()
	}
}

func (d *deployment) recordStatus(node *cluster.Node) {
	called := time.Now()
	status, err := d.fetchStatus(node)
	if err != nil {
		return // the node is frozen or down
	}
	d.recorder.RecordObservation(history.StatusObservation{
		Process: fmt.Sprintf("%s/%s", node.Name, node.HTTP),
		Called:  called, Returned: time.Now(),
		Revision: status.Revision, Fresh: status.Fresh,
	})
}

// outageAfterWrite loses the reply of one write that takes effect, and makes the store unavailable
// right after it.
func (d *deployment) outageAfterWrite() fault {
	replyLost := d.storeFault(store.Faults{LoseReplies: 1})
	storeDown := d.storeFault(store.Faults{Outage: store.OutageUnavailable})
	return fault{
		name: "outage right after a write",
		inject: func() error {
			err := replyLost.inject()
			d.sleep(50 * time.Millisecond)
			return errors.Join(err, storeDown.inject())
		},
		repair: storeDown.repair,
	}
}

// replaceNodeDuringOutage kills a node and starts its replacement while the store is down. The
// replacement has to receive the catalog from the other nodes.
func (d *deployment) replaceNodeDuringOutage(index int) fault {
	storeDown := d.storeFault(store.Faults{Outage: store.OutageClose})
	return fault{
		name:    fmt.Sprintf("replace node %d in an outage", index),
		targets: []string{nodeTarget(index)},
		inject: func() error {
			err := storeDown.inject()
			d.node(index).Kill()
			d.replaceNode(index)
			return err
		},
		repair: storeDown.repair,
	}
}

// stopServiceWithFrozenNode stops the service while a node is frozen, and thaws the node after
// inForceBound. Callers send to all nodes, so that requests are queued at the frozen node when it
// thaws. It returns the accepted command and the time until which the service stays stopped.
func (d *deployment) stopServiceWithFrozenNode() (stopped history.Change, until time.Time) {
	d.t.Helper()
	stop := d.startLoad(12, func(random *rand.Rand, caller int) {
		ctx, cancel := context.WithTimeout(d.ctx, statusTimeout)
		defer cancel()
		d.submitWithin(ctx, d.node(caller), newSelect(random, caller, classPlain))
	})
	d.sleep(500 * time.Millisecond)
	frozen := d.node(2)
	d.requireNoError(frozen.Freeze())
	for !stopped.Accepted() && d.ctx.Err() == nil {
		stopped = d.sendCommand(d.node(0), 0, "stop service "+service)
	}
	d.sleep(time.Until(stopped.Returned.Add(inForceBound + statusTimeout/2)))
	d.requireNoError(frozen.Thaw())
	d.sleep(2 * time.Second)
	stop()
	return stopped, time.Now()
}

// resolveUnknownChanges queries the fate of every change with an unknown fate until it is known.
func (d *deployment) resolveUnknownChanges() {
	d.t.Helper()
	deadline := time.Now().Add(fateTimeout)
	for _, change := range d.recorder.Changes() {
		for change.Undecided() {
			fate, err := d.FetchChange(d.ctx, d.node(0), change.Response.ChangeID)
			if err == nil && fate.Outcome != api.ChangeOutcomeUnknown {
				resolved := history.Change{Statement: change.Statement, Called: change.Called, Returned: time.Now(), Response: fate}
				d.requireFateMatchesLog(resolved)
				break
			}
			if time.Now().After(deadline) {
				d.t.Fatalf("fate of change %s is still unknown after %s: %+v, error %v", change.Response.ChangeID, fateTimeout, fate, err)
			}
			d.sleep(200 * time.Millisecond)
		}
	}
}

// requireFateMatchesLog compares a fate that was reported later with the log.
func (d *deployment) requireFateMatchesLog(change history.Change) {
	d.t.Helper()
	log, err := d.FetchCatalog(d.ctx, d.node(0))
	d.requireNoError(err)
	applied, inLog := log.Lookup(change.Response.ChangeID)
	if change.Accepted() != inLog || inLog && applied.Revision != change.Response.Revision {
		d.t.Errorf("change %s: reported as %s at revision %d, but the log has %+v", change.Response.ChangeID, change.Response.Outcome, change.Response.Revision, applied)
	}
}

// requireChangeFates logs the fates that operators were told. It fails the test unless some
// changes were accepted and some had an unknown fate, since the checks need both.
func (d *deployment) requireChangeFates(changes []history.Change) {
	d.t.Helper()
	fates := make(map[string]int)
	for _, change := range changes {
		switch {
		case change.Response != nil:
			fates[string(change.Response.Outcome)]++
		case change.Problem != nil:
			fates[string(change.Problem.Type)]++
		default:
			fates["no reply"]++
		}
	}
	d.t.Logf("changes: %v; %d status responses", fates, len(d.recorder.Observations()))
	if fates[string(api.ChangeInForce)]+fates[string(api.ChangeAccepted)] == 0 || fates[string(api.ChangeOutcomeUnknown)] == 0 {
		d.t.Errorf("fates of changes = %v, want accepted and unknown ones", fates)
	}
}
