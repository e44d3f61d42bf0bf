package operator

import (
	"context"
	"fmt"

	"github.com/micaplank/micaplank/internal/language"
)

// Apply brings the catalog to what the changes of a text say. It shows the
// difference first and runs only the statements that change something; with
// dryRun it runs none.
func (s *Session) Apply(ctx context.Context, source, text string, dryRun bool) error {
	statements, err := language.ParseFile(text)
	if err != nil {
		return fmt.Errorf("%s: %w", source, err)
	}
	current, err := s.Client.Catalog(ctx)
	if err != nil {
		return err
	}
	plan, err := MakePlan(current, statements)
	if err != nil {
		return fmt.Errorf("%s: %w", source, err)
	}
	if err := s.writePlan(plan, dryRun); err != nil || dryRun {
		return err
	}
	for _, located := range plan.located {
		if err := s.run(ctx, located.Statement, ExecOptions{Source: source}); err != nil {
			return statementError(source, located, len(plan.located)+1, err)
		}
	}
	return nil
}

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
	s.printf("%s %s on revision %d, %s so already\n", count(len(plan.Changes), "change"), verb, plan.Revision, count(plan.Unchanged, "statement"))
	return nil
}

func count(number int, what string) string {
	if number == 1 {
		return "1 " + what
	}
	return fmt.Sprintf("%d %ss", number, what)
}
