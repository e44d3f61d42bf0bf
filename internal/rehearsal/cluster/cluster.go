package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"github.com/micaplank/micaplank/internal/selfhosted/api"
	"github.com/micaplank/micaplank/internal/settings"
)

// Names of the programs.
const (
	nodeProgram      = "micaplank"
	rehearsalProgram = "micarehearse"
)

// startsAtOnce bounds how many processes start side by side.
const startsAtOnce = 8

// anyPort lets a process pick a free port of the loopback address.
var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// Node is one node process of a deployment.
type Node struct {
	*Process
	Zone     string
	settings settings.Settings
}

// Cluster is a running deployment.
type Cluster struct {
	Store    *Process
	Machines *Process
	Leaves   []*Leaf
	Nodes    []*Node

	plan   Plan
	folder string
	client *http.Client
}

// Start starts all processes of a plan and configures the catalog. It blocks
// until every node is ready. The caller has to Close the cluster; after an
// error everything is closed already.
func Start(ctx context.Context, plan Plan) (*Cluster, error) {
	folder, err := os.MkdirTemp("", "micaplank-cluster-")
	if err != nil {
		return nil, oops.With("step", "start cluster").Wrap(err)
	}
	cluster := &Cluster{plan: plan, folder: folder, client: newClient()}
	if err := cluster.start(ctx); err != nil {
		cluster.Close()
		return nil, err
	}
	return cluster, nil
}

// connectionsPerProcess is how many idle connections are kept to one process.
const connectionsPerProcess = 64

func newClient() *http.Client {
	return &http.Client{
		Timeout:   time.Minute,
		Transport: &http.Transport{MaxIdleConnsPerHost: connectionsPerProcess},
	}
}

func (c *Cluster) start(ctx context.Context) error {
	steps := []func(context.Context) error{c.startPlatform, c.startLeaves, c.startNodes, c.configure, c.AwaitReady}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) binary(name string) string {
	return filepath.Join(c.plan.Binaries, name)
}

func (c *Cluster) startPlatform(ctx context.Context) (err error) {
	if c.Store, err = startProcess(ctx, "store", c.binary(rehearsalProgram), "store"); err != nil {
		return err
	}
	c.Machines, err = startProcess(ctx, "machines", c.binary(rehearsalProgram), "machines")
	return err
}

func (c *Cluster) startLeaves(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(startsAtOnce)
	for _, service := range c.plan.Services {
		for index := range service.Leaves {
			leaf := &Leaf{
				Service: service.Name,
				Zone:    c.plan.Zones[index%len(c.plan.Zones)],
				Shards:  service.shardsOf(index),

				executionLog: filepath.Join(c.folder, fmt.Sprintf("%s-%d.executions", service.Name, index)),
			}
			c.Leaves = append(c.Leaves, leaf)
			group.Go(func() error { return c.startLeaf(ctx, service, leaf, anyPort) })
		}
	}
	return group.Wait()
}

func (c *Cluster) startLeaf(ctx context.Context, service Service, leaf *Leaf, listen netip.AddrPort) (err error) {
	leaf.Process, err = startProcess(ctx, service.Name, c.binary(rehearsalProgram), "leaf",
		"--listen", listen.String(),
		"--service", service.Name,
		"--zone", leaf.Zone,
		"--shards", joinShards(leaf.Shards),
		"--shard-count", fmt.Sprint(service.Shards),
		"--slots", fmt.Sprint(service.Slots),
		"--execution-log", leaf.executionLog)
	return err
}

// startNodes starts the first node alone, since it is the seed of the others.
func (c *Cluster) startNodes(ctx context.Context) error {
	for index := range c.plan.Nodes {
		zone := c.plan.Zones[index%len(c.plan.Zones)]
		name := fmt.Sprintf("node-%s%d", zone, index/len(c.plan.Zones)+1)
		if _, err := c.StartNode(ctx, name, zone); err != nil {
			return err
		}
	}
	return nil
}

// StartNode starts one more node, or a replacement that takes the slot of the
// node of that name.
func (c *Cluster) StartNode(ctx context.Context, name, zone string) (*Node, error) {
	node := &Node{Zone: zone, settings: c.nodeSettings(name, zone)}
	file := filepath.Join(c.folder, name+".toml")
	var content bytes.Buffer
	if err := settings.Print(&content, node.settings); err != nil {
		return nil, err
	}
	if err := os.WriteFile(file, content.Bytes(), 0o600); err != nil {
		return nil, oops.With("step", "write settings", "peer", name).Wrap(err)
	}
	arguments := []string{"--settings", file}
	if c.plan.ProfileFolder != "" {
		arguments = append(arguments, "--cpu-profile", filepath.Join(c.plan.ProfileFolder, name+".pprof"))
	}
	process, err := startProcess(ctx, name, c.binary(nodeProgram), arguments...)
	if err != nil {
		return nil, err
	}
	node.Process = process
	c.replaceNode(node)
	return node, nil
}

func (c *Cluster) nodeSettings(name, zone string) settings.Settings {
	configured := settings.Defaults()
	configured.Name = name
	configured.Zone = zone
	configured.Listen.HTTP = anyPort
	configured.Listen.Peer = anyPort
	configured.Store.Endpoints = []netip.AddrPort{c.Store.HTTP}
	configured.Machines.Address = c.Machines.HTTP
	configured.Log.Format = "json"
	// All clocks of the deployment are those of one machine.
	configured.Once.Skew = settings.Duration(time.Second)
	for _, node := range c.Nodes {
		configured.Peers.Seeds = append(configured.Peers.Seeds, node.Peer)
	}
	if c.plan.Tune != nil {
		c.plan.Tune(&configured)
	}
	return configured
}

func (c *Cluster) replaceNode(node *Node) {
	for i, existing := range c.Nodes {
		if existing.Name == node.Name {
			c.Nodes[i] = node
			return
		}
	}
	c.Nodes = append(c.Nodes, node)
}

// Statements returns the commands that configure the deployment.
func (c *Cluster) Statements() []string {
	var statements []string
	for _, node := range c.Nodes {
		statements = append(statements, fmt.Sprintf("add voter %s zone %s", node.Name, node.Zone))
	}
	for _, service := range c.plan.Services {
		statements = append(statements, service.statements(c.Leaves)...)
	}
	return statements
}

func (c *Cluster) configure(ctx context.Context) error {
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

// Change sends one statement of an operator to a node.
func (c *Cluster) Change(ctx context.Context, node *Node, statement string) (*api.StatementResponse, error) {
	return c.Statement(ctx, node, api.StatementRequest{Statement: statement, Operator: "cluster"})
}

// Statement sends a request of an operator to a node.
func (c *Cluster) Statement(ctx context.Context, node *Node, request api.StatementRequest) (*api.StatementResponse, error) {
	response := new(api.StatementResponse)
	err := c.post(ctx, node, api.StatementsPath, request, response)
	return response, err
}

// Query sends one query of a caller to a node. A problem document comes back
// as a *api.Problem.
func (c *Cluster) Query(ctx context.Context, node *Node, service string, request api.QueryRequest) (*api.QueryResponse, error) {
	response := new(api.QueryResponse)
	path := strings.Replace(api.QueryPath, "{service}", service, 1)
	err := c.post(ctx, node, path, request, response)
	return response, err
}

func (c *Cluster) post(ctx context.Context, node *Node, path string, body, target any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	url := "http://" + node.HTTP.String() + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return oops.With("step", "post", "peer", node.Name).Wrap(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return oops.With("step", "read response", "peer", node.Name).Wrap(err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		problem := new(api.Problem)
		if err := json.Unmarshal(content, problem); err != nil {
			return oops.With("step", "read problem", "peer", node.Name).Errorf("status %d: %s", response.StatusCode, content)
		}
		return problem
	}
	return json.Unmarshal(content, target)
}

// readyPoll is the time between two looks at a node's readiness.
const readyPoll = 20 * time.Millisecond

// AwaitReady blocks until the readiness page of every node says that it takes
// work.
func (c *Cluster) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, node := range c.Nodes {
		if err := c.awaitNodeReady(ctx, node); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) awaitNodeReady(ctx context.Context, node *Node) error {
	for !c.isReady(ctx, node) {
		select {
		case <-ctx.Done():
			return oops.With("step", "await ready", "peer", node.Name).Errorf("%s is not ready\n%s", node.Name, node.Log())
		case <-time.After(readyPoll):
		}
	}
	return nil
}

func (c *Cluster) isReady(ctx context.Context, node *Node) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.HTTP.String()+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := c.client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Close ends all processes and removes the settings files.
func (c *Cluster) Close() {
	for _, process := range c.processes() {
		process.Kill()
	}
	c.client.CloseIdleConnections()
	_ = os.RemoveAll(c.folder) // a temporary folder that stays does no harm
}

func (c *Cluster) processes() []*Process {
	var all []*Process
	for _, node := range c.Nodes {
		all = append(all, node.Process)
	}
	for _, leaf := range c.Leaves {
		all = append(all, leaf.Process)
	}
	all = append(all, c.Store, c.Machines)
	var started []*Process
	for _, process := range all {
		if process != nil {
			started = append(started, process)
		}
	}
	return started
}
