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

// Node is a node process of a deployment.
type Node struct {
	*Process
	Zone     string
	settings settings.Settings
}

// startNodes starts the nodes one after the other, because each uses the earlier ones as its seeds.
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

// StartNode starts a node. If a node of that name exists, the new process takes over its slot and
// replaces it in Nodes.
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
	if c.plan.ProfileDirectory != "" {
		arguments = append(arguments, "--cpu-profile", filepath.Join(c.plan.ProfileDirectory, name+".pprof"))
	}
	process, err := startProcess(ctx, name, c.programPath(nodeProgram), arguments...)
	if err != nil {
		return nil, err
	}
	node.Process = process
	c.addOrReplaceNode(node)
	return node, nil
}

// buildNodeSettings returns the settings of a node, with all current nodes as its seeds.
func (c *Cluster) buildNodeSettings(name, zone string) settings.Settings {
	config := settings.Defaults()
	config.Name = name
	config.Zone = zone
	config.Listen.HTTP = anyPort
	config.Listen.Peer = anyPort
	config.Store.Endpoints = []netip.AddrPort{c.Store.HTTP}
	config.Machines.Address = c.Machines.HTTP
	config.Log.Format = "json"
	// All processes run on the same machine and share its clock, so a small clock skew suffices.
	config.Once.Skew = settings.Duration(time.Second)
	for _, node := range c.Nodes {
		config.Peers.Seeds = append(config.Peers.Seeds, node.Peer)
	}
	if c.plan.ModifySettings != nil {
		c.plan.ModifySettings(&config)
	}
	return config
}

// addOrReplaceNode replaces the node of the same name in Nodes, or appends the node.
func (c *Cluster) addOrReplaceNode(node *Node) {
	for i, existing := range c.Nodes {
		if existing.Name == node.Name {
			c.Nodes[i] = node
			return
		}
	}
	c.Nodes = append(c.Nodes, node)
}
