package operator

import (
	"context"
	"errors"
	"fmt"

	"github.com/micaplank/micaplank/internal/selfhosted/api"
	"github.com/micaplank/micaplank/internal/selfhosted/language"
)

// Apply changes the catalog to the state that the statements of a text describe. It writes
// the difference first and runs only the statements that change something. With dryRun it
// runs none. Each change is bound to the revision that the plan expects, so that Apply stops
// if another operator changes the catalog meanwhile.
func (s *Session) Apply(ctx context.Context, source, text string, dryRun bool) error {
	statements, err := language.ParseFile(text)
	if err != nil {
		return fmt.Errorf("%s: %w", source, err)
	}
	current, err := s.Client.Catalog(ctx)
	if err != nil {
		return err
	}
	plan, err := NewPlan(current, statements)
	if err != nil {
		return fmt.Errorf("%s: %w", source, err)
	}
	if err := s.writePlan(plan, dryRun); err != nil || dryRun {
		return err
	}
	for applied, located := range plan.statements {
		revision := plan.Revision + uint64(applied)
		err := s.runStatement(ctx, located.Statement, ExecOptions{Source: source, IfRevision: &revision})
		if err != nil {
			return statementError(source, located, len(plan.statements)+1, explainConflict(err, applied, len(plan.statements)))
		}
	}
	return nil
}

// explainConflict adds to a conflict how many changes were made and that the plan is
// outdated. Other errors are returned unchanged.
func explainConflict(err error, applied, total int) error {
	var problem *api.Problem
	if !errors.As(err, &problem) || problem.Type != api.ProblemConflict {
		return err
	}
	return fmt.Errorf("%w\n%d of %s made; the catalog is not what the plan was made for: look at apply --dry-run again",
		err, applied, pluralize(total, "change"))
}

// writePlan writes the difference that a plan makes and a summary of it.
func (s *Session) writePlan(plan *Plan, dryRun bool) error {
	if s.Format == FormatJSON {
		return s.writeJSONLine(plan)
	}
	for _, line := range plan.Removed {
		s.printf("- %s\n", line)
	}
	for _, line := range plan.Added {
		s.printf("+ %s\n", line)
	}
	verb := "to make"
	if dryRun {
		verb = "would be made"
	}
	s.printf("%s %s on revision %d, %s so already\n", pluralize(len(plan.Changes), "change"), verb, plan.Revision, pluralize(plan.Unchanged, "statement"))
	return nil
}

// pluralize returns a count with its noun, in the plural unless the count is 1.
func pluralize(count int, noun string) string {
	if count == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", count, noun)
}
