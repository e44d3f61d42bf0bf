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
	// forceBound is the freshness window, 5 s by default, with a margin for
	// the time between the acceptance and the caller's clock reading.
	inForceBound = 5*time.Second + 250*time.Millisecond
	// sightingPause is the time between two looks at one node.
	statusPollInterval = 30 * time.Millisecond
	// sightingTimeout bounds a look at a node that may be frozen.
	statusTimeout = time.Second
	// settleTimeout bounds the time until the fate of a change is known.
	fateTimeout = 20 * time.Second
)

// TestAcceptedChangesStayInForce has operators race at all nodes while the
// store loses replies and goes down right after writes, and nodes are frozen,
// killed and replaced. The log is an order of the commands, no node goes back,
// and no node that takes work is behind after the bound. At the end the service
// is stopped while a node sleeps until after the bound.
func TestAcceptedChangesAreDurableAndOrdered(t *testing.T) {
	d := deploy(t, nil)
	base, err := d.Catalog(d.ctx, d.node(0))
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
	log, err := d.Catalog(d.ctx, d.node(0))
	d.requireNoError(err)
	changes := d.recorder.Changes()
	d.requireNoViolations(history.CheckLog(changes, base.Revision, log.Recent))
	d.requireNoViolations(history.CheckSightings(d.recorder.Sightings(), changes, inForceBound))
	d.requireNoViolations(history.CheckStopped(d.recorder.Submissions(), stopped, until, inForceBound))
	d.requireChangeFates(changes)
	d.requireFates("answered", "not-run-stopped")
}

// operate sends one command of an operator to a random node. One in four is
// made only at the revision that the operator last saw.
func (d *deployment) sendRandomCommand(random *rand.Rand, operator int) {
	node := d.node(random.IntN(nodes))
	statement := fmt.Sprintf("limit %s concurrency %d", service, 1000+random.IntN(1_000_000))
	if random.IntN(4) == 0 {
		if seen, err := d.fetchStatus(node); err == nil {
			statement += fmt.Sprintf(" if revision %d", seen.Revision)
		}
	}
	d.sendCommand(node, operator, statement)
	d.sleep(time.Duration(random.IntN(100)) * time.Millisecond)
}

// change sends a command and records what comes back.
func (d *deployment) sendCommand(node *cluster.Node, operator int, statement string) history.Change {
	ctx, cancel := context.WithTimeout(d.ctx, replyTimeout)
	defer cancel()
	change := history.Change{Operator: operator, Node: node.Name, Statement: statement, Called: time.Now()}
	change.End(d.Statement(ctx, node, api.StatementRequest{Statement: statement, TimeoutMilliseconds: commandTimeout.Milliseconds()}))
	d.recorder.Changed(change)
	return change
}

func (d *deployment) fetchStatus(node *cluster.Node) (*api.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(d.ctx, statusTimeout)
	defer cancel()
	return d.Status(ctx, node)
}

// look looks at every node again and again until the function that it returns
// is called.
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
		return // the node is frozen or gone
	}
	d.recorder.Saw(history.Sighting{
		Process: fmt.Sprintf("%s/%s", node.Name, node.HTTP),
		Called:  called, Returned: time.Now(),
		Revision: status.Revision, Fresh: status.Fresh,
	})
}

// outageAfterWrite lets one write take effect with its reply lost and the
// store down right after.
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

// replaceInOutage kills a node and starts its replacement while the store is
// down: that one has to learn the catalog from the others.
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

// stopWhileOneSleeps stops the service while a node is frozen, and wakes the
// node after the bound. Callers ask all nodes, so that requests wait for the
// node when it wakes; it returns the accepted command and the time until which
// the service stays stopped.
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

// settle asks for the fate of every change that is unknown until it is known.
func (d *deployment) resolveUnknownChanges() {
	d.t.Helper()
	deadline := time.Now().Add(fateTimeout)
	for _, change := range d.recorder.Changes() {
		for change.Unsettled() {
			fate, err := d.Fate(d.ctx, d.node(0), change.Response.ChangeID)
			if err == nil && fate.Fate != api.FateUnknown {
				settled := history.Change{Statement: change.Statement, Called: change.Called, Returned: time.Now(), Response: fate}
				d.requireFateMatchesLog(settled)
				break
			}
			if time.Now().After(deadline) {
				d.t.Fatalf("%s stays unknown: %+v %v", change.Response.ChangeID, fate, err)
			}
			d.sleep(200 * time.Millisecond)
		}
	}
}

// requireTrueFate compares the fate told later with the log.
func (d *deployment) requireFateMatchesLog(change history.Change) {
	d.t.Helper()
	log, err := d.Catalog(d.ctx, d.node(0))
	d.requireNoError(err)
	applied, inLog := log.Lookup(change.Response.ChangeID)
	if change.Accepted() != inLog || inLog && applied.Revision != change.Response.Revision {
		d.t.Errorf("%s is told to be %s at revision %d, the log has %+v", change.Response.ChangeID, change.Response.Fate, change.Response.Revision, applied)
	}
}

// reportChanges logs what operators were told.
func (d *deployment) requireChangeFates(changes []history.Change) {
	d.t.Helper()
	fates := make(map[string]int)
	for _, change := range changes {
		switch {
		case change.Response != nil:
			fates[string(change.Response.Fate)]++
		case change.Problem != nil:
			fates[string(change.Problem.Type)]++
		default:
			fates["no reply"]++
		}
	}
	d.t.Logf("changes: %v; %d looks at nodes", fates, len(d.recorder.Sightings()))
	if fates[string(api.FateInForce)]+fates[string(api.FateAccepted)] == 0 || fates[string(api.FateUnknown)] == 0 {
		d.t.Errorf("changes accepted and unknown are needed: %v", fates)
	}
}
