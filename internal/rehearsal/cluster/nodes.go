package cluster

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/samber/oops"

	"github.com/micaplank/micaplank/internal/settings"
)

// Node is one node process of a deployment.
type Node struct {
	*Process
	Zone     string
	settings settings.Settings
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
	node := &Node{Zone: zone, settings: c.buildNodeSettings(name, zone)}
	file := filepath.Join(c.directory, name+".toml")
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
	process, err := startProcess(ctx, name, c.programPath(nodeProgram), arguments...)
	if err != nil {
		return nil, err
	}
	node.Process = process
	c.addOrReplaceNode(node)
	return node, nil
}

func (c *Cluster) buildNodeSettings(name, zone string) settings.Settings {
	config := settings.Defaults()
	config.Name = name
	config.Zone = zone
	config.Listen.HTTP = anyPort
	config.Listen.Peer = anyPort
	config.Store.Endpoints = []netip.AddrPort{c.Store.HTTP}
	config.Machines.Address = c.Machines.HTTP
	config.Log.Format = "json"
	// All clocks of the deployment are those of one machine.
	config.Once.Skew = settings.Duration(time.Second)
	for _, node := range c.Nodes {
		config.Peers.Seeds = append(config.Peers.Seeds, node.Peer)
	}
	if c.plan.Tune != nil {
		c.plan.Tune(&config)
	}
	return config
}

func (c *Cluster) addOrReplaceNode(node *Node) {
	for i, existing := range c.Nodes {
		if existing.Name == node.Name {
			c.Nodes[i] = node
			return
		}
	}
	c.Nodes = append(c.Nodes, node)
}
