package cluster

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// Names of the programs.
const (
	nodeProgram      = "micaplank"
	rehearsalProgram = "micarehearse"
)

// startsAtOnce bounds how many processes start side by side.
const maximumConcurrentStarts = 8

// anyPort lets a process pick a free port of the loopback address.
var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// Cluster is a running deployment.
type Cluster struct {
	Store    *Process
	Machines *Process
	Leaves   []*Leaf
	Nodes    []*Node

	plan      Plan
	directory string
	client    *http.Client
}

// Start starts all processes of a plan and configures the catalog. It blocks
// until every node is ready. The caller has to Close the cluster; after an
// error everything is closed already.
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

func (c *Cluster) programPath(name string) string {
	return filepath.Join(c.plan.Binaries, name)
}

func (c *Cluster) startPlatform(ctx context.Context) (err error) {
	if c.Store, err = startProcess(ctx, "store", c.programPath(rehearsalProgram), "store"); err != nil {
		return err
	}
	c.Machines, err = startProcess(ctx, "machines", c.programPath(rehearsalProgram), "machines")
	return err
}

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

// Statements returns the commands that configure the deployment.
func (c *Cluster) Statements() []string {
	var statements []string
	for _, node := range c.Nodes {
		statements = append(statements, fmt.Sprintf("add voter %s zone %s", node.Name, node.Zone))
	}
	for _, service := range c.plan.Services {
		statements = append(statements, service.buildStatements(c.Leaves)...)
	}
	return statements
}

func (c *Cluster) configureCatalog(ctx context.Context) error {
	for _, statement := range c.Statements() {
		response, err := c.Change(ctx, c.Nodes[0], statement)
		if err != nil {
			return oops.With("step", "configure").Wrapf(err, "%s", statement)
		}
		if response.Fate != api.FateInForce && response.Fate != api.FateAccepted {
			return oops.With("step", "configure").Errorf("%s: %s %s", statement, response.Fate, response.Detail)
		}
	}
	return nil
}

// Close ends all processes and removes the settings files.
func (c *Cluster) Close() {
	for _, process := range c.startedProcesses() {
		process.Kill()
	}
	c.client.CloseIdleConnections()
	_ = os.RemoveAll(c.directory) // a temporary folder that stays does no harm
}

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
