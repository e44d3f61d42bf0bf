package operator

import (
	"context"
	"errors"
	"fmt"

	"github.com/micaplank/micaplank/internal/selfhosted/api"
	"github.com/micaplank/micaplank/internal/selfhosted/language"
)

// StatementResult is the JSON output for one statement.
type StatementResult struct {
	Statement string                 `json:"statement"`
	Response  *api.StatementResponse `json:"response,omitempty"`
	Error     string                 `json:"error,omitempty"`
	Problem   *api.Problem           `json:"problem,omitempty"`
}

// ExecOptions are the options of Exec.
type ExecOptions struct {
	// Source names the text in errors.
	Source string
	// DryRun makes the node only validate each change.
	DryRun bool
	// ChangeID is the id or token of the change, if the text has a single statement. If it
	// is empty, a token is generated for each change.
	ChangeID string
	// IfRevision, if set, is the revision that the catalog must have for a change.
	IfRevision *uint64
}

// Exec runs the statements of a text in order and stops at the first failure. The whole text
// is parsed first, so that nothing runs if it has a syntax error.
func (s *Session) Exec(ctx context.Context, text string, options ExecOptions) error {
	statements, err := language.ParseFile(text)
	if err != nil {
		return fmt.Errorf("%s: %w", options.Source, err)
	}
	if len(statements) == 0 {
		return usageErrorf("%s: there is no statement", options.Source)
	}
	if options.ChangeID != "" && len(statements) != 1 {
		return usageErrorf("--change-id goes with one statement, not with %d", len(statements))
	}
	for _, located := range statements {
		switch located.Statement.(type) {
		case *language.Select, *language.Insert:
			return usageErrorf("%s: line %d: queries are run by \"micactl query\"", options.Source, located.Line)
		}
	}
	for _, located := range statements {
		if err := s.runStatement(ctx, located.Statement, options); err != nil {
			return statementError(options.Source, located, len(statements), err)
		}
	}
	return nil
}

// statementError adds the line and the statement to an error if the text has more than one
// statement.
func statementError(source string, located language.LocatedStatement, count int, err error) error {
	if count == 1 {
		return err
	}
	return fmt.Errorf("%s: line %d: %s: %w", source, located.Line, located.Statement, err)
}

// runStatement runs one statement and writes its result.
func (s *Session) runStatement(ctx context.Context, statement language.Statement, options ExecOptions) error {
	_, isChange := statement.(*language.ChangeStatement)
	token := options.ChangeID
	if isChange && token == "" {
		token = NewToken()
	}
	response, err := s.Client.Statement(ctx, bindToRevision(statement, options.IfRevision), token, options.DryRun)
	if err != nil {
		return s.writeResult(statement, nil, wrapLostResponse(err, isChange && !options.DryRun, token))
	}
	return s.writeResult(statement, response, checkOutcome(response))
}

// bindToRevision returns the text of a statement. A change gets the condition that the
// catalog is at the given revision.
func bindToRevision(statement language.Statement, revision *uint64) string {
	change, isChange := statement.(*language.ChangeStatement)
	if !isChange || revision == nil {
		return statement.String()
	}
	bound := language.ChangeStatement{Command: change.Command, IfRevision: revision}
	return bound.String()
}

// wrapLostResponse returns a LostResponseError for a change that may have reached a node
// without a response. Other errors are returned unchanged.
func wrapLostResponse(err error, isChange bool, token string) error {
	var unreachable *UnreachableError
	if isChange && errors.As(err, &unreachable) && unreachable.Sent {
		return &LostResponseError{Token: token, Cause: err}
	}
	return err
}

// checkOutcome returns a ChangeOutcomeError for a change that is not known to be accepted.
func checkOutcome(response *api.StatementResponse) error {
	if response.Kind != api.KindChange {
		return nil
	}
	switch response.Outcome {
	case api.ChangeInForce, api.ChangeAccepted, api.ChangeDryRun:
		return nil
	default:
		return &ChangeOutcomeError{Outcome: response.Outcome, ChangeID: response.ChangeID, Detail: response.Detail}
	}
}

// writeResult writes the result of one statement and returns its error. In text format the
// caller prints the error.
func (s *Session) writeResult(statement language.Statement, response *api.StatementResponse, err error) error {
	if s.Format == FormatJSON {
		result := StatementResult{Statement: statement.String(), Response: response}
		if err != nil {
			result.Error = err.Error()
			errors.As(err, &result.Problem)
			s.errorWritten = true
		}
		if writeErr := s.writeJSONLine(result); writeErr != nil {
			return writeErr
		}
		return err
	}
	if err != nil {
		return err
	}
	s.writeResponse(statement.String(), response)
	return nil
}

// writeResponse writes a successful result as text.
func (s *Session) writeResponse(statement string, response *api.StatementResponse) {
	if response.Kind == api.KindShow {
		if response.Table != nil {
			writeRows(s.Output, response.Table.Columns, response.Table.Rows)
		}
		return
	}
	if statement != "" {
		s.printf("%s\n  ", statement)
	}
	s.printf("%s\n", describeOutcome(response))
	if response.Detail != "" {
		s.printf("  %s\n", response.Detail)
	}
	for _, member := range response.Missing {
		s.printf("  not yet confirmed by %s\n", member)
	}
}

// describeOutcome describes the fate of a change in one line.
func describeOutcome(response *api.StatementResponse) string {
	switch response.Outcome {
	case api.ChangeInForce:
		return fmt.Sprintf("in force on %d of %d members, revision %d, change %s",
			response.InForceOn, response.Members, response.Revision, response.ChangeID)
	case api.ChangeAccepted:
		return fmt.Sprintf("accepted, in force on %d of %d members so far, revision %d, change %s",
			response.InForceOn, response.Members, response.Revision, response.ChangeID)
	case api.ChangeDryRun:
		return fmt.Sprintf("valid at revision %d; nothing was changed", response.Revision)
	default:
		return fmt.Sprintf("%s, change %s", response.Outcome, response.ChangeID)
	}
}

// Change writes the fate of an earlier change.
func (s *Session) Change(ctx context.Context, id string) error {
	response, err := s.Client.Change(ctx, id)
	if err != nil {
		return err
	}
	if s.Format == FormatJSON {
		if err := s.writeJSON(response); err != nil {
			return err
		}
		return checkOutcome(response)
	}
	if err := checkOutcome(response); err != nil {
		return err
	}
	s.writeResponse("", response)
	return nil
}
