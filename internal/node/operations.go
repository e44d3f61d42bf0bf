package node

import (
	"context"
	"errors"
	"fmt"

	"github.com/micaplank/micaplank/internal/api"
	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/dissemination"
	"github.com/micaplank/micaplank/internal/executor"
	"github.com/micaplank/micaplank/internal/language"
)

// operations carries out operators' commands on this node.
type operations struct {
	node *Node
}

// Statement runs one statement. A change is answered when it is in force, or
// when ctx ends, with what is known by then.
func (o *operations) Statement(ctx context.Context, request api.StatementRequest) (*api.StatementResponse, error) {
	statement, err := language.ParseOne(request.Statement)
	if err != nil {
		return nil, executor.SyntaxProblem(err)
	}
	switch statement := statement.(type) {
	case *language.ChangeStatement:
		return o.propose(ctx, statement, request)
	case *language.ShowStatement:
		return o.show(statement)
	}
	return nil, api.NewProblem(api.ProblemInvalidRequest, "A query goes to the path of its service.")
}

func (o *operations) propose(ctx context.Context, statement *language.ChangeStatement, request api.StatementRequest) (*api.StatementResponse, error) {
	result, err := o.node.dissemination.Propose(ctx, statement.Command, dissemination.ProposeOptions{
		IfRevision: statement.IfRevision,
		Operator:   request.Operator,
		ChangeID:   request.ChangeID,
		DryRun:     request.DryRun,
	})
	if err != nil {
		return nil, changeProblem(err)
	}
	if result.Refusal != nil {
		return nil, changeProblem(result.Refusal)
	}
	return changeResponse(result), nil
}

// Change tells the fate of an earlier change.
func (o *operations) Change(ctx context.Context, id string) (*api.StatementResponse, error) {
	if !catalog.ValidChangeID(id) {
		return nil, api.NewProblem(api.ProblemUnknownChange, fmt.Sprintf("%q is no change id.", id))
	}
	result, err := o.node.dissemination.Fate(ctx, id)
	if err != nil {
		return nil, changeProblem(err)
	}
	return changeResponse(result), nil
}

func changeResponse(result dissemination.Result) *api.StatementResponse {
	return &api.StatementResponse{
		Kind:      api.KindChange,
		ChangeID:  result.ChangeID,
		Fate:      api.Fate(result.Fate),
		Revision:  result.Revision,
		InForceOn: result.InForceOn,
		Members:   result.Members,
		Missing:   result.Missing,
		Detail:    result.Detail,
	}
}

// changeProblem names the problem of a change that was refused.
func changeProblem(err error) *api.Problem {
	var problem *api.Problem
	if errors.As(err, &problem) {
		return problem
	}
	var code catalog.Code
	if errors.As(err, &code) {
		return api.NewProblem(changeProblemType(code), err.Error())
	}
	return api.NewProblem(api.ProblemUnavailable, err.Error())
}

func changeProblemType(code catalog.Code) api.ProblemType {
	switch code {
	case catalog.CodeUnknownService:
		return api.ProblemUnknownService
	case catalog.CodeUnknownClass:
		return api.ProblemUnknownClass
	case catalog.CodeUnknownLeaf:
		return api.ProblemUnknownLeaf
	case catalog.CodeUnknownVoter:
		return api.ProblemUnknownVoter
	case catalog.CodeRevision, catalog.CodeDuplicate, catalog.CodeInUse:
		return api.ProblemConflict
	}
	return api.ProblemInvalidChange
}

// Catalog returns the installed catalog.
func (o *operations) Catalog() *catalog.Catalog {
	return o.node.dissemination.Current()
}

// Drain starts the planned stop of a node, here or on the node of that name.
func (o *operations) Drain(ctx context.Context, name string) (*api.DrainResponse, error) {
	if name == o.node.settings.Name {
		o.node.beginDrain()
		return &api.DrainResponse{Node: name, State: api.NodeLeaving}, nil
	}
	member, known := o.node.membership.Lookup(name)
	if !known {
		return nil, api.NewProblem(api.ProblemUnknownNode, fmt.Sprintf("There is no node %q.", name))
	}
	var reply drainReply
	if err := o.node.calls.Call(ctx, member.Address, methodDrain, &drainCall{Node: name}, &reply); err != nil {
		return nil, api.NewProblem(api.ProblemUnavailable, err.Error())
	}
	return &api.DrainResponse{Node: name, State: api.NodeLeaving}, nil
}
