package operator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/micaplank/micaplank/internal/selfhosted/api"
	"github.com/micaplank/micaplank/internal/selfhosted/language"
)

// Query runs one query on a service and writes its rows, snapshot and coverage. It generates
// the id of the request if it is empty.
func (s *Session) Query(ctx context.Context, service string, request api.QueryRequest) error {
	statement, err := language.ParseStatement(request.Statement)
	if err != nil {
		return err
	}
	switch statement.(type) {
	case *language.Select, *language.Insert:
	default:
		return usageErrorf("operators' statements are run by \"micactl exec\"")
	}
	if request.RequestID == "" {
		request.RequestID = NewToken()
	}
	response, err := s.Client.Query(ctx, service, request)
	if err != nil {
		return explainQueryError(statement, err)
	}
	if s.Format == FormatJSON {
		return s.writeJSON(response)
	}
	if len(response.Columns) > 0 {
		writeRows(s.Output, response.Columns, response.Rows)
	}
	s.printf("%s\n", describeQueryResponse(response))
	return nil
}

// explainQueryError adds the retry delay to a problem, and to a lost response of an insert
// that the insert may have run.
func explainQueryError(statement language.Statement, err error) error {
	var problem *api.Problem
	if errors.As(err, &problem) && problem.RetryAfterMilliseconds > 0 {
		retryAfter := time.Duration(problem.RetryAfterMilliseconds) * time.Millisecond
		return fmt.Errorf("%w\nask again:  after %s", err, retryAfter)
	}
	var unreachable *UnreachableError
	if _, isInsert := statement.(*language.Insert); isInsert && errors.As(err, &unreachable) && unreachable.Sent {
		return fmt.Errorf("the insert may or may not have run: %w", err)
	}
	return err
}

// describeQueryResponse summarizes outcome, snapshot and coverage in one line.
func describeQueryResponse(response *api.QueryResponse) string {
	coverage := response.Coverage
	text := fmt.Sprintf("%s: %s, snapshot version %d of epoch %d, %d of %d shards",
		response.Outcome, pluralize(len(response.Rows), "row"), response.Snapshot.Version, response.Snapshot.Epoch,
		coverage.Answered, coverage.Total)
	if len(coverage.Missing) > 0 {
		text += ", missing " + formatShardRanges(coverage.Missing)
	}
	if response.Reason != "" {
		text += fmt.Sprintf(" (%s)", response.Reason)
	}
	return text
}
