package promises

import (
	"context"
	"fmt"
	"math/rand/v2"
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

// The deployment: 3 nodes and 8 leaves, 2 for each of 4 shards.
const (
	service  = "filing-vault"
	shards   = 4
	replicas = 2
	leaves   = 8
	nodes    = 3
	slots    = 4
)

// The classes of the service.
const (
	classSweep = "sweep"
	// classPlain has no hedging.
	classPlain = "plain"
	// classFile runs a request at most once.
	classInsert = "file-quote"
)

const (
	// queryDeadline is that of selects. Inserts have half of it.
	queryDeadline = 2 * time.Second
	// replyTimeout is when a caller takes a reply for lost. A frozen node
	// answers as soon as it wakes.
	replyTimeout = 12 * time.Second
	// callerPause is the time between two requests of one caller.
	callerInterval = 10 * time.Millisecond
	// quietTime is longer than any attempt still on its way to a leaf.
	settleTime = queryDeadline + 500*time.Millisecond
)

// A fault schedule and the callers' choices are the same in each run.
const seed = 20261202

// deployment is a cluster with the history of what was seen of it.
type deployment struct {
	*cluster.Cluster
	t        *testing.T
	ctx      context.Context
	recorder history.Recorder

	mutex sync.Mutex
	nodes []*cluster.Node
}

// shortFreshness makes a replaced owner take ids soon, and a node that is cut
// off notice soon.
func shortenFreshness(configured *settings.Settings) {
	configured.Freshness.Window = settings.Duration(1500 * time.Millisecond)
	configured.Freshness.ExchangeInterval = settings.Duration(200 * time.Millisecond)
	configured.Once.Skew = settings.Duration(100 * time.Millisecond)
}

// deploy starts a deployment; nil leaves the default settings. It ends with the
// test.
func deploy(t *testing.T, configure func(*settings.Settings)) *deployment {
	t.Helper()
	t.Parallel()
	deploymentSlots <- struct{}{}
	t.Cleanup(func() { <-deploymentSlots })
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	t.Cleanup(cancel)
	running, err := cluster.Start(ctx, cluster.Plan{
		Binaries: binaryDir,
		Zones:    []string{"a", "b", "c"},
		Nodes:    nodes,
		Tune:     configure,
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
	return &deployment{Cluster: running, t: t, ctx: ctx, nodes: append([]*cluster.Node(nil), running.Nodes...)}
}

// node returns the process that now has a slot.
func (d *deployment) node(index int) *cluster.Node {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.nodes[index%len(d.nodes)]
}

// replace starts a new process in the slot of a node that is gone or cut off.
func (d *deployment) replaceNode(index int) {
	d.t.Helper()
	old := d.node(index)
	d.t.Cleanup(old.Kill) // the cluster forgets a process whose slot is taken over
	started, err := d.StartNode(d.ctx, old.Name, old.Zone)
	if err != nil {
		d.t.Error(err)
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.nodes[index%len(d.nodes)] = started
}

// addNode starts a node beyond those of the plan. It is no voter.
func (d *deployment) addNode(name, zone string) {
	d.t.Helper()
	started, err := d.StartNode(d.ctx, name, zone)
	d.requireNoError(err)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.nodes = append(d.nodes, started)
}

// submit sends a request to a node and records what comes back.
func (d *deployment) submit(to *cluster.Node, submission history.Submission) history.Submission {
	return d.submitWithin(d.ctx, to, submission)
}

func (d *deployment) submitWithin(ctx context.Context, to *cluster.Node, submission history.Submission) history.Submission {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	submission.Node = to.Name
	submission.Service = service
	submission.Called = time.Now()
	submission.End(d.Query(ctx, to, service, submission.Request))
	d.recorder.Submitted(submission)
	return submission
}

// sweep makes a select of a random part of the tariffs, under a new id.
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

// filing makes an insert that must run at most once, under a new id.
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

// load runs callers side by side, each in a loop, until stop is called; stop
// blocks until the last reply.
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

// awaitFilings blocks until every node has an insert run: until then the owners
// refuse ids that a predecessor may have let through.
func (d *deployment) awaitInserts() {
	d.t.Helper()
	for index := range nodes {
		for d.submit(d.node(index), newInsert(0)).Answer == nil {
			if d.ctx.Err() != nil {
				d.t.Fatal("no insert runs")
			}
			d.sleep(100 * time.Millisecond)
		}
	}
}

// wait lets the deployment run for a while.
func (d *deployment) sleep(duration time.Duration) {
	select {
	case <-d.ctx.Done():
	case <-time.After(duration):
	}
}

// attempts returns the logs of all leaves, also of those that are gone.
func (d *deployment) executions() []leaf.Execution {
	d.t.Helper()
	var all []leaf.Execution
	for _, clusterLeaf := range d.Leaves {
		executions, err := d.LeafExecutions(clusterLeaf)
		if err != nil {
			d.t.Fatal(err)
		}
		all = append(all, executions...)
	}
	return all
}

// maximumShown bounds the violations printed of one check.
const maxViolationsShown = 10

// require fails the test with the violations found.
func (d *deployment) requireNoViolations(violations []history.Violation) {
	d.t.Helper()
	for index, violation := range violations {
		if index == maxViolationsShown {
			d.t.Errorf("and %d more", len(violations)-maxViolationsShown)
			return
		}
		d.t.Error(violation)
	}
}

// report logs what the callers were told, and fails the test if a fate that the
// schedule must bring about did not come about.
func (d *deployment) requireFates(expected ...string) {
	d.t.Helper()
	fates := d.recorder.Fates()
	d.t.Logf("fates: %v", fates)
	for _, fate := range expected {
		if fates[fate] == 0 {
			d.t.Errorf("no request ended as %q: %v", fate, fates)
		}
	}
}

// must fails the test at once on an error.
func (d *deployment) requireNoError(err error) {
	d.t.Helper()
	if err != nil {
		d.t.Fatal(err)
	}
}
