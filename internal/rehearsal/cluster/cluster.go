package cluster

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// Names of the programs.
const (
	nodeProgram      = "micaplank"
	rehearsalProgram = "micarehearse"
)

// maximumConcurrentStarts bounds how many leaf processes start at the same time.
const maximumConcurrentStarts = 8

// anyPort is the loopback address with a port that the process selects.
var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// Cluster is a running deployment of nodes, leaves and a simulated platform.
type Cluster struct {
	Store    *Process
	Machines *Process
	Leaves   []*Leaf
	Nodes    []*Node

	plan      Plan
	directory string
	client    *http.Client
}

// Start starts all processes of a plan, configures the catalog and blocks until every node is
// ready. The caller must Close the cluster. After an error, Start has already closed it.
func Start(ctx context.Context, plan Plan) (*Cluster, error) {
	directory, err := os.MkdirTemp("", "micaplank-cluster-")
	if err != nil {
		return nil, oops.With("step", "start cluster").Wrap(err)
	}
	cluster := &Cluster{plan: plan, directory: directory, client: newClient()}
	if err := cluster.start(ctx); err != nil {
		cluster.Close()
		return nil, err
	}
	return cluster, nil
}

func (c *Cluster) start(ctx context.Context) error {
	steps := []func(context.Context) error{c.startPlatform, c.startLeaves, c.startNodes, c.configureCatalog, c.AwaitReady}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// programPath returns the path of a program of the plan.
func (c *Cluster) programPath(name string) string {
	return filepath.Join(c.plan.ProgramDirectory, name)
}

// startPlatform starts the fakes of the platform: the store and the machine list.
func (c *Cluster) startPlatform(ctx context.Context) (err error) {
	if c.Store, err = startProcess(ctx, "store", c.programPath(rehearsalProgram), "store"); err != nil {
		return err
	}
	c.Machines, err = startProcess(ctx, "machines", c.programPath(rehearsalProgram), "machines")
	return err
}

// startLeaves starts the leaves of all services and distributes them over the zones in turn.
func (c *Cluster) startLeaves(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maximumConcurrentStarts)
	for _, service := range c.plan.Services {
		for index := range service.Leaves {
			leaf := &Leaf{
				Service: service.Name,
				Zone:    c.plan.Zones[index%len(c.plan.Zones)],
				Shards:  service.assignShards(index),

				executionLog: filepath.Join(c.directory, fmt.Sprintf("%s-%d.executions", service.Name, index)),
			}
			c.Leaves = append(c.Leaves, leaf)
			group.Go(func() error { return c.startLeaf(ctx, service, leaf, anyPort) })
		}
	}
	return group.Wait()
}

func (c *Cluster) startLeaf(ctx context.Context, service Service, leaf *Leaf, listen netip.AddrPort) (err error) {
	leaf.Process, err = startProcess(ctx, service.Name, c.programPath(rehearsalProgram), "leaf",
		"--listen", listen.String(),
		"--service", service.Name,
		"--zone", leaf.Zone,
		"--shards", formatShards(leaf.Shards),
		"--shard-count", fmt.Sprint(service.Shards),
		"--slots", fmt.Sprint(service.Slots),
		"--execution-log", leaf.executionLog)
	return err
}

// buildCatalogStatements returns the statements that configure the catalog of the plan.
func (c *Cluster) buildCatalogStatements() []string {
	var statements []string
	for _, node := range c.Nodes {
		statements = append(statements, fmt.Sprintf("add voter %s zone %s", node.Name, node.Zone))
	}
	for _, service := range c.plan.Services {
		statements = append(statements, service.buildStatements(c.Leaves)...)
	}
	return statements
}

// configureCatalog runs the statements on the first node and fails unless each of them is accepted.
func (c *Cluster) configureCatalog(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, statement := range c.buildCatalogStatements() {
		response, err := c.configure(ctx, statement)
		if err != nil {
			return oops.With("step", "configure").Wrapf(err, "%s", statement)
		}
		if response.Outcome != api.ChangeInForce && response.Outcome != api.ChangeAccepted {
			return oops.With("step", "configure").Errorf("%s: %s %s", statement, response.Outcome, response.Detail)
		}
	}
	return nil
}

// configure runs a statement on the first node. It repeats it while the node refuses it because a
// voter is not a member yet, or suspected: a node that is paused while the cluster starts becomes one
// when it goes on.
func (c *Cluster) configure(ctx context.Context, statement string) (*api.StatementResponse, error) {
	for {
		response, err := c.ExecuteStatement(ctx, c.Nodes[0], statement)
		var problem *api.Problem
		if !errors.As(err, &problem) || problem.Type != api.ProblemUnknownNode || !clock.Sleep(ctx, readyPollInterval) {
			return response, err
		}
	}
}

// Close kills all processes and removes the settings files and the execution logs.
func (c *Cluster) Close() {
	for _, process := range c.startedProcesses() {
		process.Kill()
	}
	c.client.CloseIdleConnections()
	_ = os.RemoveAll(c.directory) // a temporary directory that cannot be removed is harmless
}

// startedProcesses returns the processes that have been started, the nodes first.
func (c *Cluster) startedProcesses() []*Process {
	var processes []*Process
	for _, node := range c.Nodes {
		processes = append(processes, node.Process)
	}
	for _, leaf := range c.Leaves {
		processes = append(processes, leaf.Process)
	}
	processes = append(processes, c.Store, c.Machines)
	var started []*Process
	for _, process := range processes {
		if process != nil {
			started = append(started, process)
		}
	}
	return started
}
