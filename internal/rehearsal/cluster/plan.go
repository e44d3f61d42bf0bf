package cluster

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/micaplank/micaplank/internal/settings"
)

// Service describes one service of a deployment and its leaves.
type Service struct {
	Name      string
	Shards    int
	Replicas  int
	KeyColumn string
	// Leaves is the number of leaves; leaf i holds Shards*Replicas/Leaves
	// shards, so that each shard has Replicas leaves.
	Leaves int
	Slots  int
	// Classes are statements that define the classes.
	Classes []string
}

// Plan describes a deployment.
type Plan struct {
	// Binaries is the folder of the programs.
	Binaries string
	Zones    []string
	// Nodes is the number of nodes; node i is in zone i modulo the zones.
	Nodes    int
	Services []Service
	// Tune changes the settings of every node before it starts; nil changes
	// nothing.
	Tune func(*settings.Settings)
	// ProfileFolder, if set, takes a processor profile of each node.
	ProfileFolder string
}

// shardsOf returns the shards that leaf number index of a service holds.
func (s Service) assignShards(index int) []int {
	perLeaf := s.Shards * s.Replicas / s.Leaves
	shards := make([]int, perLeaf)
	for i := range shards {
		shards[i] = (index*perLeaf + i) % s.Shards
	}
	return shards
}

func formatShards(shards []int) string {
	texts := make([]string, len(shards))
	for i, shard := range shards {
		texts[i] = fmt.Sprint(shard)
	}
	return strings.Join(texts, ",")
}

// statements returns the commands that describe a service with its leaves.
func (s Service) buildStatements(leaves []*Leaf) []string {
	create := fmt.Sprintf("create service %s shards %d replicas %d", s.Name, s.Shards, s.Replicas)
	if s.KeyColumn != "" {
		create += " key " + s.KeyColumn
	}
	statements := append([]string{create}, s.Classes...)
	for _, leaf := range leaves {
		if leaf.Service == s.Name {
			statements = append(statements, leaf.buildAddStatement())
		}
	}
	return statements
}

// Leaf is one leaf process of a deployment.
type Leaf struct {
	*Process
	Service string
	Zone    string
	Shards  []int
	// executionLog is the file that the leaf logs its executions to.
	executionLog string
}

// Address is where the leaf serves.
func (l *Leaf) Address() netip.AddrPort {
	return l.HTTP
}

func (l *Leaf) buildAddStatement() string {
	return fmt.Sprintf("add leaf %s to %s zone %s shards %s", l.HTTP, l.Service, l.Zone, formatShards(l.Shards))
}

// Holds reports whether the leaf holds a shard.
func (l *Leaf) Holds(shard int) bool {
	for _, held := range l.Shards {
		if held == shard {
			return true
		}
	}
	return false
}
