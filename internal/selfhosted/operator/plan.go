package operator

import (
	"errors"
	"fmt"
	"slices"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/selfhosted/language"
)

// Plan describes how a file of changes would modify a catalog.
type Plan struct {
	// Revision is the revision of the catalog that the plan starts from.
	Revision uint64 `json:"revision"`
	// Changes are the statements that change something, in order.
	Changes []string `json:"changes"`
	// Unchanged is the number of statements that would change nothing.
	Unchanged int `json:"unchanged"`
	// Removed and Added are the lines of the difference: the statements that describe the
	// catalog only before or only after the changes.
	Removed []string `json:"removed"`
	Added   []string `json:"added"`

	// statements are the parsed statements of Changes, in the same order.
	statements []language.LocatedStatement
}

// NewPlan returns the plan of applying the statements to the catalog, which it does not
// modify. It omits statements that would change nothing, and returns an error for a
// statement that the catalog would reject.
func NewPlan(current *catalog.Catalog, statements []language.LocatedStatement) (*Plan, error) {
	plan := &Plan{Revision: current.Revision}
	next := current
	for _, located := range statements {
		change, isChange := located.Statement.(*language.ChangeStatement)
		if !isChange {
			return nil, fmt.Errorf("line %d: %s: only changes can be applied", located.Line, located.Statement)
		}
		applied, err := applyStatement(next, change)
		if errors.Is(err, catalog.CodeUnchanged) {
			plan.Unchanged++
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("line %d: %s: %w", located.Line, change, err)
		}
		next = applied
		plan.Changes = append(plan.Changes, change.String())
		plan.statements = append(plan.statements, located)
	}
	before, after := describeCatalog(current), describeCatalog(next)
	plan.Removed = excludeLines(before, after)
	plan.Added = excludeLines(after, before)
	return plan, nil
}

// applyStatement returns the catalog after a change.
func applyStatement(current *catalog.Catalog, statement *language.ChangeStatement) (*catalog.Catalog, error) {
	if required := statement.IfRevision; required != nil && *required != current.Revision {
		return nil, fmt.Errorf("the catalog would be at revision %d, not %d", current.Revision, *required)
	}
	change := catalog.Change{
		Revision: current.Revision + 1,
		ID:       fmt.Sprintf("%d-plan", current.Revision+1),
		Command:  statement.Command,
	}
	return catalog.Apply(current, change)
}

// describeCatalog returns the statements that describe the catalog, in a fixed order.
func describeCatalog(current *catalog.Catalog) []string {
	var lines []string
	add := func(command catalog.Command) { lines = append(lines, command.String()) }
	for _, name := range current.VoterNames() {
		add(catalog.Command{AddVoter: &catalog.AddVoter{Voter: current.Voters[name]}})
	}
	for _, name := range current.ServiceNames() {
		service := current.Services[name]
		newest := service.NewestPartition()
		create := &catalog.CreateService{Name: name, Shards: newest.Shards, Replicas: service.Replicas, KeyColumn: service.KeyColumn}
		lines = append(lines, fmt.Sprintf("%s -- epoch %d", catalog.Command{CreateService: create}, newest.Epoch))
		if service.Concurrency > 0 {
			add(catalog.Command{LimitService: &catalog.LimitService{Service: name, Concurrency: service.Concurrency}})
		}
		if service.Stopped {
			add(catalog.Command{StopService: &catalog.StopService{Name: name}})
		}
		for _, class := range service.ClassNames() {
			add(catalog.Command{DefineClass: &catalog.DefineClass{Class: service.Classes[class]}})
		}
		lines = append(lines, describeLeaves(service)...)
	}
	return lines
}

// describeLeaves returns the statements that describe the leaves of a service.
func describeLeaves(service catalog.Service) []string {
	var lines []string
	for _, leaf := range service.SortedLeaves() {
		add := &catalog.AddLeaf{Service: service.Name, Address: leaf.Address, Zone: leaf.Zone, Shards: leaf.Shards}
		line := catalog.Command{AddLeaf: add}.String()
		if leaf.Retiring {
			line += " -- retiring"
		}
		lines = append(lines, line)
	}
	return lines
}

// excludeLines returns the lines that are not in others, in their order.
func excludeLines(lines, others []string) []string {
	excluded := make(map[string]bool, len(others))
	for _, line := range others {
		excluded[line] = true
	}
	return slices.DeleteFunc(slices.Clone(lines), func(line string) bool { return excluded[line] })
}
