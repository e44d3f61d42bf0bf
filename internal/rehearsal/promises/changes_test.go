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
	forceBound = 5*time.Second + 250*time.Millisecond
	// sightingPause is the time between two looks at one node.
	sightingPause = 30 * time.Millisecond
	// sightingTimeout bounds a look at a node that may be frozen.
	sightingTimeout = time.Second
	// settleTimeout bounds the time until the fate of a change is known.
	settleTimeout = 20 * time.Second
)

// TestAcceptedChangesStayInForce has operators race at all nodes while the
// store loses replies and goes down right after writes, and nodes are frozen,
// killed and replaced. The log is an order of the commands, no node goes back,
// and no node that takes work is behind after the bound. At the end the service
// is stopped while a node sleeps until after the bound.
func TestAcceptedChangesStayInForce(t *testing.T) {
	d := deploy(t, nil)
	base, err := d.Catalog(d.ctx, d.node(0))
	d.must(err)
	stopLooking := d.look()
	stopOperators := d.load(4, d.operate)
	d.schedule(1200*time.Millisecond, 600*time.Millisecond, []fault{
		d.storeFault(store.Faults{LoseReplies: 1}), d.storeFault(store.Faults{LoseReplies: 4}), d.storeFault(store.Faults{Outage: store.OutageHang}),
		d.outageAfterWrite(), d.killNode(1), d.freezeNode(0), d.overtakeNode(2), d.replaceInOutage(2),
	})
	stopOperators()
	stopped, until := d.stopWhileOneSleeps()
	stopLooking()
	d.settle()
	log, err := d.Catalog(d.ctx, d.node(0))
	d.must(err)
	changes := d.recorder.Changes()
	d.require(history.CheckLog(changes, base.Revision, log.Recent))
	d.require(history.CheckSightings(d.recorder.Sightings(), changes, forceBound))
	d.require(history.CheckStopped(d.recorder.Submissions(), stopped, until, forceBound))
	d.reportChanges(changes)
	d.report("answered", "not-run-stopped")
}

// operate sends one command of an operator to a random node. One in four is
// made only at the revision that the operator last saw.
func (d *deployment) operate(random *rand.Rand, operator int) {
	node := d.node(random.IntN(nodes))
	statement := fmt.Sprintf("limit %s concurrency %d", service, 1000+random.IntN(1_000_000))
	if random.IntN(4) == 0 {
		if seen, err := d.statusOf(node); err == nil {
			statement += fmt.Sprintf(" if revision %d", seen.Revision)
		}
	}
	d.change(node, operator, statement)
	d.wait(time.Duration(random.IntN(100)) * time.Millisecond)
}

// change sends a command and records what comes back.
func (d *deployment) change(node *cluster.Node, operator int, statement string) history.Change {
	ctx, cancel := context.WithTimeout(d.ctx, replyTimeout)
	defer cancel()
	change := history.Change{Operator: operator, Node: node.Name, Statement: statement, Called: time.Now()}
	change.End(d.Statement(ctx, node, api.StatementRequest{Statement: statement, TimeoutMilliseconds: commandTimeout.Milliseconds()}))
	d.recorder.Changed(change)
	return change
}

func (d *deployment) statusOf(node *cluster.Node) (*api.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(d.ctx, sightingTimeout)
	defer cancel()
	return d.Status(ctx, node)
}

// look looks at every node again and again until the function that it returns
// is called.
func (d *deployment) look() (stop func()) {
	ctx, cancel := context.WithCancel(d.ctx)
	var looking sync.WaitGroup
	for index := range nodes {
		looking.Go(func() {
			for ctx.Err() == nil {
				d.lookAt(d.node(index))
				time.Sleep(sightingPause)
			}
		})
	}
	return func() {
		cancel()
		looking.Wait()
	}
}

func (d *deployment) lookAt(node *cluster.Node) {
	called := time.Now()
	status, err := d.statusOf(node)
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
	lost := d.storeFault(store.Faults{LoseReplies: 1})
	down := d.storeFault(store.Faults{Outage: store.OutageUnavailable})
	return fault{
		name: "outage right after a write",
		inject: func() error {
			err := lost.inject()
			d.wait(50 * time.Millisecond)
			return errors.Join(err, down.inject())
		},
		repair: down.repair,
	}
}

// replaceInOutage kills a node and starts its replacement while the store is
// down: that one has to learn the catalog from the others.
func (d *deployment) replaceInOutage(index int) fault {
	down := d.storeFault(store.Faults{Outage: store.OutageClose})
	return fault{
		name:    fmt.Sprintf("replace node %d in an outage", index),
		targets: []string{nodeTarget(index)},
		inject: func() error {
			err := down.inject()
			d.node(index).Kill()
			d.replace(index)
			return err
		},
		repair: down.repair,
	}
}

// stopWhileOneSleeps stops the service while a node is frozen, and wakes the
// node after the bound. Callers ask all nodes, so that requests wait for the
// node when it wakes; it returns the accepted command and the time until which
// the service stays stopped.
func (d *deployment) stopWhileOneSleeps() (stopped history.Change, until time.Time) {
	d.t.Helper()
	stop := d.load(12, func(random *rand.Rand, caller int) {
		ctx, cancel := context.WithTimeout(d.ctx, sightingTimeout)
		defer cancel()
		d.submitWithin(ctx, d.node(caller), sweep(random, caller, classPlain))
	})
	d.wait(500 * time.Millisecond)
	sleeper := d.node(2)
	d.must(sleeper.Freeze())
	for !stopped.Accepted() && d.ctx.Err() == nil {
		stopped = d.change(d.node(0), 0, "stop service "+service)
	}
	d.wait(time.Until(stopped.Returned.Add(forceBound + sightingTimeout/2)))
	d.must(sleeper.Thaw())
	d.wait(2 * time.Second)
	stop()
	return stopped, time.Now()
}

// settle asks for the fate of every change that is unknown until it is known.
func (d *deployment) settle() {
	d.t.Helper()
	deadline := time.Now().Add(settleTimeout)
	for _, change := range d.recorder.Changes() {
		for change.Unsettled() {
			fate, err := d.Fate(d.ctx, d.node(0), change.Response.ChangeID)
			if err == nil && fate.Fate != api.FateUnknown {
				settled := history.Change{Statement: change.Statement, Called: change.Called, Returned: time.Now(), Response: fate}
				d.requireTrueFate(settled)
				break
			}
			if time.Now().After(deadline) {
				d.t.Fatalf("%s stays unknown: %+v %v", change.Response.ChangeID, fate, err)
			}
			d.wait(200 * time.Millisecond)
		}
	}
}

// requireTrueFate compares the fate told later with the log.
func (d *deployment) requireTrueFate(change history.Change) {
	d.t.Helper()
	log, err := d.Catalog(d.ctx, d.node(0))
	d.must(err)
	applied, found := log.Lookup(change.Response.ChangeID)
	if change.Accepted() != found || found && applied.Revision != change.Response.Revision {
		d.t.Errorf("%s is told to be %s at revision %d, the log has %+v", change.Response.ChangeID, change.Response.Fate, change.Response.Revision, applied)
	}
}

// reportChanges logs what operators were told.
func (d *deployment) reportChanges(changes []history.Change) {
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
