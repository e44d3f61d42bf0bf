package promises

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/micaplank/micaplank/internal/rehearsal/cluster"
	"github.com/micaplank/micaplank/internal/rehearsal/history"
	"github.com/micaplank/micaplank/internal/rehearsal/leaf"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
	"github.com/micaplank/micaplank/internal/settings"
)

// Every deployment has 3 nodes and 8 leaves, 2 for each of 4 shards.
const (
	service  = "filing-vault"
	shards   = 4
	replicas = 2
	leaves   = 8
	nodes    = 3
	slots    = 4
)

// The service has these classes of queries.
const (
	classSweep = "sweep"
	// classPlain does not use hedging.
	classPlain = "plain"
	// classInsert executes a request at most once.
	classInsert = "file-quote"
)

const (
	// queryDeadline is the deadline of selects. Inserts have half of it.
	queryDeadline = 2 * time.Second
	// replyTimeout is when a caller gives up waiting for a reply. It leaves time for a frozen
	// node, which replies as soon as it thaws.
	replyTimeout = 12 * time.Second
	// callerInterval is the time between two requests of one caller.
	callerInterval = 10 * time.Millisecond
	// settleTime is longer than any attempt can still be on its way to a leaf.
	settleTime = queryDeadline + 500*time.Millisecond
)

// seed makes the fault schedules and the choices of the callers the same in each run.
const seed = 20261202

// deployment is a running cluster with the recorded history of its responses.
type deployment struct {
	*cluster.Cluster
	t        *testing.T
	ctx      context.Context
	recorder history.Recorder

	mutex sync.Mutex
	nodes []*cluster.Node
	// started lists the processes of all nodes, including those that were replaced.
	started []*cluster.Node
}

// shortenFreshness shortens the freshness window, so that the replacement of an owner accepts ids
// sooner and a node that is cut off notices it sooner.
func shortenFreshness(configured *settings.Settings) {
	configured.Freshness.Window = settings.Duration(1500 * time.Millisecond)
	configured.Freshness.ExchangeInterval = settings.Duration(200 * time.Millisecond)
	configured.Once.Skew = settings.Duration(100 * time.Millisecond)
}

// deploy starts a deployment that is stopped at the end of the test. A nil configure leaves the
// default settings.
func deploy(t *testing.T, configure func(*settings.Settings)) *deployment {
	t.Helper()
	t.Parallel()
	deploymentSlots <- struct{}{}
	t.Cleanup(func() { <-deploymentSlots })
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	t.Cleanup(cancel)
	running, err := cluster.Start(ctx, cluster.Plan{
		ProgramDirectory: binaryDir,
		Zones:            []string{"a", "b", "c"},
		Nodes:            nodes,
		ModifySettings:   configure,
		Services: []cluster.Service{{
			Name: service, Shards: shards, Replicas: replicas, KeyColumn: "quote", Leaves: leaves, Slots: slots,
			Classes: []string{
				"class sweep on filing-vault priority 1 deadline 2s coverage 1.0 hedge after p95 extra 10% repeatable",
				"class plain on filing-vault priority 1 deadline 2s coverage 1.0 repeatable",
				"class file-quote on filing-vault priority 1 deadline 1s once",
			},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(running.Close)
	return &deployment{Cluster: running, t: t, ctx: ctx, nodes: slices.Clone(running.Nodes), started: slices.Clone(running.Nodes)}
}

// node returns the process that currently fills a node slot.
func (d *deployment) node(index int) *cluster.Node {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.nodes[index%len(d.nodes)]
}

// replaceNode starts a new process in the slot of a node that is stopped or frozen.
func (d *deployment) replaceNode(index int) {
	d.t.Helper()
	old := d.node(index)
	d.t.Cleanup(old.Kill) // the cluster no longer tracks a process that was replaced
	started, err := d.StartNode(d.ctx, old.Name, old.Zone)
	if err != nil {
		d.t.Error(err)
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.nodes[index%len(d.nodes)] = started
	d.started = append(d.started, started)
}

// startedNodes returns the processes of all nodes, including those that were replaced.
func (d *deployment) startedNodes() []*cluster.Node {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.Clone(d.started)
}

// addNode starts a node in addition to those of the plan. The node is not a voter.
func (d *deployment) addNode(name, zone string) {
	d.t.Helper()
	started, err := d.StartNode(d.ctx, name, zone)
	d.requireNoError(err)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.nodes = append(d.nodes, started)
	d.started = append(d.started, started)
}

// submit sends a request to a node and records the response.
func (d *deployment) submit(to *cluster.Node, submission history.Submission) history.Submission {
	return d.submitWithin(d.ctx, to, submission)
}

func (d *deployment) submitWithin(ctx context.Context, to *cluster.Node, submission history.Submission) history.Submission {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	submission.Node = to.Name
	submission.Service = service
	submission.Called = time.Now()
	submission.RecordResult(d.Query(ctx, to, service, submission.Request))
	d.recorder.RecordSubmission(submission)
	return submission
}

// newSelect returns a select with a random filter and a new request id.
func newSelect(random *rand.Rand, caller int, class string) history.Submission {
	lanes := []string{"OTR-SPK", "SPK-OTR", "HKD-SPK", "SPK-KUH", "KUH-OBH", "OBH-ASA", "ASA-WKN", "MRN-HKD"}
	filter := &history.Filter{Lane: lanes[random.IntN(len(lanes))], Weight: float64(50 + 50*random.IntN(11))}
	return history.Submission{
		Caller: caller,
		Filter: filter,
		Request: api.QueryRequest{
			RequestID: ulid.Make().String(),
			Class:     class,
			Statement: filter.Statement(service),
		},
	}
}

// newInsert returns an insert that must run at most once, with a new request id.
func newInsert(caller int) history.Submission {
	id := ulid.Make().String()
	return history.Submission{
		Caller: caller,
		Request: api.QueryRequest{
			RequestID: id,
			Class:     classInsert,
			Statement: fmt.Sprintf("insert into %s (quote, lane, price) values ('%s', 'OTR-SPK', 4100)", service, id),
		},
	}
}

// startLoad runs concurrent callers, each in a loop, until stop is called. stop blocks until the
// last caller has its reply.
func (d *deployment) startLoad(callers int, step func(random *rand.Rand, caller int)) (stop func()) {
	ctx, cancel := context.WithCancel(d.ctx)
	var running sync.WaitGroup
	for caller := range callers {
		random := rand.New(rand.NewPCG(seed, uint64(caller)))
		running.Go(func() {
			for ctx.Err() == nil {
				step(random, caller)
				time.Sleep(callerInterval)
			}
		})
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// awaitInserts blocks until an insert has succeeded through every node. Until then the owners
// refuse ids that a predecessor may have executed.
func (d *deployment) awaitInserts() {
	d.t.Helper()
	for index := range nodes {
		for d.submit(d.node(index), newInsert(0)).Answer == nil {
			if d.ctx.Err() != nil {
				d.t.Fatalf("no insert succeeded through node %d: %v", index, d.ctx.Err())
			}
			d.sleep(100 * time.Millisecond)
		}
	}
}

// sleep waits for a duration or until the context of the test ends.
func (d *deployment) sleep(duration time.Duration) {
	select {
	case <-d.ctx.Done():
	case <-time.After(duration):
	}
}

// executions returns the execution logs of all leaves, including those that are down.
func (d *deployment) executions() []leaf.Execution {
	d.t.Helper()
	var all []leaf.Execution
	for _, clusterLeaf := range d.Leaves {
		executions, err := d.ReadLeafExecutions(clusterLeaf)
		if err != nil {
			d.t.Fatal(err)
		}
		all = append(all, executions...)
	}
	return all
}

// maxViolationsShown bounds the violations that one check prints.
const maxViolationsShown = 10

// requireNoViolations fails the test if a check found violations.
func (d *deployment) requireNoViolations(violations []history.Violation) {
	d.t.Helper()
	defer d.logTraces(violations)
	for index, violation := range violations {
		if index == maxViolationsShown {
			d.t.Errorf("and %d more violations", len(violations)-maxViolationsShown)
			return
		}
		d.t.Error(violation)
	}
}

// requireFates logs how many requests ended with each fate. It fails the test if an expected fate
// is missing, since the schedule then did not exercise it.
func (d *deployment) requireFates(expected ...string) {
	d.t.Helper()
	fates := d.recorder.Fates()
	d.t.Logf("fates: %v", fates)
	for _, fate := range expected {
		if fates[fate] == 0 {
			d.t.Errorf("no request ended with fate %q; fates: %v", fate, fates)
		}
	}
}

// requireNoError stops the test if err is set.
func (d *deployment) requireNoError(err error) {
	d.t.Helper()
	if err != nil {
		d.t.Fatal(err)
	}
}
