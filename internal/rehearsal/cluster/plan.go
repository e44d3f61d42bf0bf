package cluster

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/micaplank/micaplank/internal/settings"
)

// Service describes a service of a deployment and its leaves.
type Service struct {
	Name      string
	Shards    int
	Replicas  int
	KeyColumn string
	// Leaves is the number of leaves. Each leaf holds Shards*Replicas/Leaves shards, so that each
	// shard is on Replicas leaves.
	Leaves int
	Slots  int
	// Classes are the statements that define the query classes.
	Classes []string
}

// Plan describes a deployment.
type Plan struct {
	// ProgramDirectory is the directory of the built programs.
	ProgramDirectory string
	Zones            []string
	// Nodes is the number of nodes. They are distributed over the zones in turn.
	Nodes    int
	Services []Service
	// ModifySettings modifies the settings of each node before it starts, unless it is nil.
	ModifySettings func(*settings.Settings)
	// ProfileDirectory, if set, is the directory for the CPU profiles of the nodes.
	ProfileDirectory string
}

// assignShards returns the shards of the leaf with the given index.
func (s Service) assignShards(index int) []int {
	perLeaf := s.Shards * s.Replicas / s.Leaves
	shards := make([]int, perLeaf)
	for i := range shards {
		shards[i] = (index*perLeaf + i) % s.Shards
	}
	return shards
}

// formatShards joins shard numbers by commas.
func formatShards(shards []int) string {
	texts := make([]string, len(shards))
	for i, shard := range shards {
		texts[i] = fmt.Sprint(shard)
	}
	return strings.Join(texts, ",")
}

// buildStatements returns the statements that create a service, its classes and its leaves.
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

// Leaf is a leaf process of a deployment.
type Leaf struct {
	*Process
	Service string
	Zone    string
	Shards  []int
	// executionLog is the path of the leaf's execution log.
	executionLog string
}

// Address returns the address of the leaf protocol, which a leaf process announces as its HTTP
// address.
func (l *Leaf) Address() netip.AddrPort {
	return l.HTTP
}

// buildAddStatement returns the statement that adds the leaf to its service.
func (l *Leaf) buildAddStatement() string {
	return fmt.Sprintf("add leaf %s to %s zone %s shards %s", l.HTTP, l.Service, l.Zone, formatShards(l.Shards))
}

// HoldsShard reports whether the leaf holds a shard.
func (l *Leaf) HoldsShard(shard int) bool {
	for _, held := range l.Shards {
		if held == shard {
			return true
		}
	}
	return false
}
