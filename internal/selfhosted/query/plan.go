package query

import (
	"errors"
	"fmt"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/decide/once"
	"github.com/micaplank/micaplank/internal/rows"
	"github.com/micaplank/micaplank/internal/scatter"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
	"github.com/micaplank/micaplank/internal/selfhosted/language"
	"github.com/micaplank/micaplank/internal/selfhosted/merge"
)

// maxRequestIDBytes is the maximum length of a request id.
const maxRequestIDBytes = 128

// queryPlan is a validated query: the statement that each shard runs, and how the
// tables of the shards are merged.
type queryPlan struct {
	service catalog.Service
	class   catalog.Class
	request api.QueryRequest
	timeout time.Duration
	// minimumCoverage is the fraction of the shards, from 0 to 1, that must answer.
	minimumCoverage float64
	shardStatement  string
	key             rows.Value
	hasKey          bool
	// mergePlan is nil for an insert.
	mergePlan *merge.Plan
}

// newPlan validates a request against the catalog. The error is a *api.Problem, and
// no part of the request has run when newPlan returns it.
func newPlan(cache *statementCache, current *catalog.Catalog, serviceName string, request api.QueryRequest) (*queryPlan, error) {
	service, ok := current.Services[serviceName]
	if !ok {
		return nil, newRequestProblem(request, api.ProblemUnknownService, fmt.Sprintf("There is no service %q.", serviceName))
	}
	class, ok := service.Classes[request.Class]
	if !ok {
		return nil, newRequestProblem(request, api.ProblemUnknownClass, fmt.Sprintf("Service %s has no class %q.", serviceName, request.Class))
	}
	plan := &queryPlan{service: service, class: class, request: request}
	steps := []func() error{plan.resolveRequestID, plan.resolveTimeout, plan.resolveCoverage}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	if err := plan.planStatement(cache); err != nil {
		return nil, err
	}
	return plan, nil
}

// newRequestProblem returns a problem with the id of the request.
func newRequestProblem(request api.QueryRequest, problemType api.ProblemType, detail string) *api.Problem {
	problem := api.NewProblem(problemType, detail)
	problem.RequestID = request.RequestID
	return problem
}

// newProblem returns a problem with the id of the planned request.
func (p *queryPlan) newProblem(problemType api.ProblemType, detail string) *api.Problem {
	return newRequestProblem(p.request, problemType, detail)
}

// resolveRequestID checks the request id and generates a missing one. At-most-once
// classes require an id from the caller, since a retry must carry the same id.
func (p *queryPlan) resolveRequestID() error {
	if len(p.request.RequestID) > maxRequestIDBytes {
		return p.newProblem(api.ProblemInvalidRequest, fmt.Sprintf("request_id is longer than %d bytes.", maxRequestIDBytes))
	}
	if p.request.RequestID != "" {
		return nil
	}
	if !p.class.Repeatable {
		return p.newProblem(api.ProblemInvalidRequest, fmt.Sprintf("Class %s runs a request at most once: request_id must be a ULID made by the caller.", p.class.Name))
	}
	p.request.RequestID = ulid.Make().String()
	return nil
}

// resolveTimeout sets the timeout to the deadline of the request, or of the class if
// the request has none.
func (p *queryPlan) resolveTimeout() error {
	requested := p.request.DeadlineMilliseconds
	if requested == 0 {
		p.timeout = p.class.Deadline
		return nil
	}
	// Compare milliseconds: converting a large value to a time.Duration would overflow.
	if limit := p.class.Deadline.Milliseconds(); requested < 0 || requested > limit {
		return p.newProblem(api.ProblemInvalidDeadline, fmt.Sprintf("deadline_ms must be between 1 and %d for class %s.", limit, p.class.Name))
	}
	p.timeout = time.Duration(requested) * time.Millisecond
	return nil
}

// resolveCoverage sets the minimum coverage to that of the request, or of the class if
// the request has none.
func (p *queryPlan) resolveCoverage() error {
	p.minimumCoverage = p.class.Coverage
	if p.request.MinimumCoverage == nil {
		return nil
	}
	p.minimumCoverage = *p.request.MinimumCoverage
	if !(p.minimumCoverage >= 0 && p.minimumCoverage <= 1) {
		return p.newProblem(api.ProblemInvalidRequest, "minimum_coverage must be between 0 and 1.")
	}
	return nil
}

// planStatement parses the statement and plans it as a select or an insert.
func (p *queryPlan) planStatement(cache *statementCache) error {
	parsed, statement, err := cache.parse(p.request.Statement)
	if err != nil {
		return p.newStatementProblem(err)
	}
	if parsed != nil {
		return p.planSelect(parsed)
	}
	if insert, ok := statement.(*language.Insert); ok {
		return p.planInsert(insert)
	}
	return p.newProblem(api.ProblemInvalidRequest, "A query is a select or an insert.")
}

// newStatementProblem returns the problem for a statement that could not be parsed or
// planned.
func (p *queryPlan) newStatementProblem(err error) error {
	var syntax *language.SyntaxError
	if errors.As(err, &syntax) {
		return p.newSyntaxProblem(err)
	}
	return p.newProblem(api.ProblemInvalidRequest, err.Error())
}

func (p *queryPlan) newSyntaxProblem(err error) error {
	problem := SyntaxProblem(err)
	problem.RequestID = p.request.RequestID
	return problem
}

// SyntaxProblem converts an error of package language into a problem with the position
// of the syntax error.
func SyntaxProblem(err error) *api.Problem {
	problem := api.NewProblem(api.ProblemSyntax, err.Error())
	var syntax *language.SyntaxError
	if errors.As(err, &syntax) {
		problem.Line = syntax.Line
		problem.Column = syntax.Column
		problem.Expected = syntax.Expected
	}
	return problem
}

// checkServiceName checks that the statement names the same service as the URL path.
func (p *queryPlan) checkServiceName(name string) error {
	if name == p.service.Name {
		return nil
	}
	return p.newProblem(api.ProblemInvalidRequest, fmt.Sprintf("The statement names service %s, the path names %s.", name, p.service.Name))
}

// planSelect sets the shard statement and the merge plan of a select, and the key if the where
// clause requires the key column to equal one value.
func (p *queryPlan) planSelect(parsed *parsedSelect) error {
	statement := parsed.statement
	if err := p.checkServiceName(statement.Service); err != nil {
		return err
	}
	p.mergePlan = parsed.mergePlan
	p.shardStatement = parsed.mergePlan.ShardStatement()
	if p.service.KeyColumn != "" {
		p.key, p.hasKey = statement.KeyEquality(p.service.KeyColumn)
	}
	if !p.class.Repeatable && !p.hasKey {
		return p.newProblem(api.ProblemInvalidRequest, fmt.Sprintf("Class %s runs a request at most once: the statement must name one key.", p.class.Name))
	}
	return nil
}

// planInsert sets the shard statement and the key of an insert.
func (p *queryPlan) planInsert(statement *language.Insert) error {
	if err := p.checkServiceName(statement.Service); err != nil {
		return err
	}
	if p.class.Repeatable {
		return p.newProblem(api.ProblemInvalidRequest, fmt.Sprintf("Class %s may repeat requests: an insert needs a class declared \"once\".", p.class.Name))
	}
	if p.service.KeyColumn == "" {
		return p.newProblem(api.ProblemInvalidRequest, fmt.Sprintf("Service %s has no key column: an insert has no shard.", p.service.Name))
	}
	p.key, p.hasKey = statement.Value(p.service.KeyColumn)
	if !p.hasKey {
		return p.newProblem(api.ProblemInvalidRequest, fmt.Sprintf("An insert into %s must give the column %s.", p.service.Name, p.service.KeyColumn))
	}
	p.shardStatement = statement.String()
	return nil
}

// newScatterRequest returns the request that scatters the shard statement. A plan with a key
// goes to one shard.
func (p *queryPlan) newScatterRequest() scatter.Request[string] {
	request := scatter.Request[string]{
		RequestID:       p.request.RequestID,
		Class:           p.class,
		Payload:         p.shardStatement,
		HasKey:          p.hasKey,
		Timeout:         p.timeout,
		MinimumCoverage: p.minimumCoverage,
	}
	if p.hasKey {
		request.KeyHash = rows.KeyHash(p.key)
	}
	if !p.class.Repeatable {
		request.OutcomeWait = once.OutcomeWait
	}
	return request
}

// mergeTables merges the tables of the shards of a select. An insert runs on one shard,
// whose table is returned unchanged.
func (p *queryPlan) mergeTables(tables []scatter.ShardPart[rows.Table]) (rows.Table, error) {
	if p.mergePlan == nil {
		return firstTable(tables), nil
	}
	merger := p.mergePlan.NewMerger()
	for _, table := range tables {
		if err := merger.Add(table.Shard, table.Part); err != nil {
			return rows.Table{}, err
		}
	}
	return merger.Result()
}

func firstTable(tables []scatter.ShardPart[rows.Table]) rows.Table {
	if len(tables) == 0 {
		return rows.Table{}
	}
	return tables[0].Part
}
