package dissemination

import (
	"context"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
)

// ProposeOptions are the conditions and attributes of a change.
type ProposeOptions struct {
	// IfRevision, if set, is the revision that the catalog must have for the change to be valid.
	IfRevision *uint64
	Operator   string
	// ChangeID is the ID of the change, or only its token. If it is empty, the node generates a
	// token. A repeated proposal with the same token returns the fate of the first change instead
	// of making another one.
	ChangeID string
	// DryRun only checks whether the change would be valid now.
	DryRun bool
}

// Propose makes a change and waits until the change is in force, until it is certain that the
// change will not take effect, or until ctx ends; it then returns the known outcome. A rejected
// change is a Result with FateNotAccepted and Refusal, not an error. The only error is ErrClosed.
func (s *Service) Propose(ctx context.Context, command catalog.Command, options ProposeOptions) (Result, error) {
	return s.runProposal(ctx, Proposal{
		Command:    command,
		IfRevision: options.IfRevision,
		Operator:   options.Operator,
		ChangeID:   options.ChangeID,
		DryRun:     options.DryRun,
	})
}

// Fate determines the outcome of an earlier change. Like Propose, it waits while the change is
// stored but not yet in force.
func (s *Service) Fate(ctx context.Context, changeID string) (Result, error) {
	return s.runProposal(ctx, Proposal{ChangeID: changeID, ResolveFate: true})
}

// runProposal passes a proposal to the core and waits for its result.
func (s *Service) runProposal(ctx context.Context, proposal Proposal) (Result, error) {
	proposal.At = time.Now()
	timeout := defaultProposalTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	results := make(chan Result, 1)
	var id ProposalID
	started := false
	s.runStep(func(now Time) {
		proposal.Deadline = now + timeout
		id = s.core.Propose(now, proposal)
		s.pendingResults[id] = results
		started = true
	})
	if !started {
		return Result{Fate: FateNotAccepted, Detail: ErrClosed.Error()}, ErrClosed
	}
	select {
	case result := <-results:
		return result, nil
	case <-ctx.Done():
	}
	// The core decides the outcome, because only it knows whether the change may still take effect.
	s.runStep(func(now Time) { s.core.Expire(now, id) })
	return <-results, nil
}
