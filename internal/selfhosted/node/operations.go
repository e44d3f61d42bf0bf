package node

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
	"github.com/micaplank/micaplank/internal/selfhosted/dissemination"
	"github.com/micaplank/micaplank/internal/selfhosted/language"
	"github.com/micaplank/micaplank/internal/selfhosted/query"
)

// operations implements the operators' commands on this node.
type operations struct {
	node *Node
}

// Statement runs one statement. For a change, it returns when the change is in force on all members
// or when ctx ends; the response then holds the state known at that time.
func (o *operations) Statement(ctx context.Context, request api.StatementRequest) (*api.StatementResponse, error) {
	statement, err := language.ParseStatement(request.Statement)
	if err != nil {
		return nil, query.SyntaxProblem(err)
	}
	switch statement := statement.(type) {
	case *language.ChangeStatement:
		return o.propose(ctx, statement, request)
	case *language.ShowStatement:
		return o.show(statement)
	}
	return nil, api.NewProblem(api.ProblemInvalidRequest, "Queries must be sent to the path of their service.")
}

// propose proposes a change and returns its fate, or the problem if the change was refused.
func (o *operations) propose(ctx context.Context, statement *language.ChangeStatement, request api.StatementRequest) (*api.StatementResponse, error) {
	result, err := o.node.dissemination.Propose(ctx, statement.Command, dissemination.ProposeOptions{
		IfRevision: statement.IfRevision,
		Operator:   request.Operator,
		ChangeID:   request.ChangeID,
		DryRun:     request.DryRun,
	})
	if err != nil {
		return nil, newChangeProblem(err)
	}
	if result.Refusal != nil {
		return nil, newRefusalProblem(result.Refusal, statement.Command)
	}
	return newChangeResponse(result), nil
}

// Change returns the fate of an earlier change, which is identified by its id or by its token.
func (o *operations) Change(ctx context.Context, id string) (*api.StatementResponse, error) {
	id, problem := resolveChangeID(o.node.dissemination.Current(), id)
	if problem != nil {
		return nil, problem
	}
	result, err := o.node.dissemination.Fate(ctx, id)
	if err != nil {
		return nil, newChangeProblem(err)
	}
	if result.Refusal != nil {
		return nil, api.NewProblem(api.ProblemUnknownChange, result.Refusal.Error())
	}
	return newChangeResponse(result), nil
}

// resolveChangeID returns the change id for an id or a token. A token is looked up among the recent
// changes of the catalog.
func resolveChangeID(current *catalog.Catalog, idOrToken string) (string, *api.Problem) {
	if !catalog.ValidChangeID(idOrToken) {
		return "", api.NewProblem(api.ProblemUnknownChange, fmt.Sprintf("%q is not a change id.", idOrToken))
	}
	if _, _, err := dissemination.ParseChangeID(idOrToken); err == nil {
		return idOrToken, nil
	}
	for _, applied := range slices.Backward(current.Recent) {
		if _, token, err := dissemination.ParseChangeID(applied.ID); err == nil && token == idOrToken {
			return applied.ID, nil
		}
	}
	return "", api.NewProblem(api.ProblemUnknownChange, fmt.Sprintf(
		"No change with the token %s has taken effect up to revision %d; a change in progress may still take effect.", idOrToken, current.Revision))
}

func newChangeResponse(result dissemination.Result) *api.StatementResponse {
	return &api.StatementResponse{
		Kind:      api.KindChange,
		ChangeID:  result.ChangeID,
		Outcome:   api.ChangeOutcome(result.Fate),
		Revision:  result.Revision,
		InForceOn: result.InForceOn,
		Members:   result.Members,
		Missing:   result.Missing,
		Detail:    result.Detail,
	}
}

// newRefusalProblem returns the problem for a change that is invalid for the current catalog.
// Repeating the same change cannot succeed, so the problem never has a type that asks for a retry.
func newRefusalProblem(refusal error, command catalog.Command) *api.Problem {
	var code catalog.Code
	var conflict *dissemination.ConflictError
	switch {
	case errors.As(refusal, &code):
		return api.NewProblem(selectProblemType(code), refusal.Error())
	case errors.As(refusal, &conflict):
		return api.NewProblem(api.ProblemConflict, refusal.Error())
	case command.AddVoter != nil:
		return api.NewProblem(api.ProblemUnknownNode, refusal.Error())
	}
	return api.NewProblem(api.ProblemInvalidChange, refusal.Error())
}

// newChangeProblem returns the problem for a change that could not be proposed.
func newChangeProblem(err error) *api.Problem {
	var problem *api.Problem
	if errors.As(err, &problem) {
		return problem
	}
	return api.NewProblem(api.ProblemUnavailable, err.Error())
}

// selectProblemType returns the problem type for the code of a catalog error.
func selectProblemType(code catalog.Code) api.ProblemType {
	switch code {
	case catalog.CodeUnknownService:
		return api.ProblemUnknownService
	case catalog.CodeUnknownClass:
		return api.ProblemUnknownClass
	case catalog.CodeUnknownLeaf:
		return api.ProblemUnknownLeaf
	case catalog.CodeUnknownVoter:
		return api.ProblemUnknownVoter
	case catalog.CodeRevision, catalog.CodeDuplicate, catalog.CodeInUse, catalog.CodeUnchanged:
		return api.ProblemConflict
	}
	return api.ProblemInvalidChange
}

// Catalog returns the installed catalog.
func (o *operations) Catalog() *catalog.Catalog {
	return o.node.dissemination.Current()
}

// Drain starts the planned stop of this node or, by a call to its peer address, of another node.
func (o *operations) Drain(ctx context.Context, name string) (*api.DrainResponse, error) {
	if name == o.node.settings.Name {
		o.node.beginDrain()
		return &api.DrainResponse{Node: name, State: api.NodeLeaving}, nil
	}
	member, ok := o.node.membership.Lookup(name)
	if !ok {
		return nil, api.NewProblem(api.ProblemUnknownNode, fmt.Sprintf("There is no node %q.", name))
	}
	var response drainResponse
	if err := o.node.peerClient.Call(ctx, member.Address, methodDrain, &drainRequest{Node: name}, &response); err != nil {
		return nil, api.NewProblem(api.ProblemUnavailable, err.Error())
	}
	return &api.DrainResponse{Node: name, State: api.NodeLeaving}, nil
}
