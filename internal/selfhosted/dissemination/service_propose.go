package dissemination

import (
	"context"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
)

// ProposeOptions are the conditions of a change.
type ProposeOptions struct {
	// IfRevision, if set, refuses the change unless the catalog is at that
	// revision.
	IfRevision *uint64
	Operator   string
	// ChangeID is the id, or only its token, under which the change is made;
	// empty lets the node choose. Proposing the same token again returns the
	// fate of the first change instead of making another.
	ChangeID string
	// DryRun asks only whether the change would be valid now.
	DryRun bool
}

// Propose makes a change and waits until it is in force, is known not to take
// effect, or ctx ends; it then returns what is known. A change that is refused
// is a Result with FateNotAccepted and Refusal, not an error. The error is
// ErrClosed.
func (s *Service) Propose(ctx context.Context, command catalog.Command, options ProposeOptions) (Result, error) {
	return s.runProposal(ctx, Proposal{
		Command:    command,
		IfRevision: options.IfRevision,
		Operator:   options.Operator,
		ChangeID:   options.ChangeID,
		DryRun:     options.DryRun,
	})
}

// Fate finds out what became of a change. It waits, as Propose does, while the
// change is stored but not yet in force.
func (s *Service) Fate(ctx context.Context, changeID string) (Result, error) {
	return s.runProposal(ctx, Proposal{ChangeID: changeID, ResolveFate: true})
}

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
	// Only the core knows whether the change may take effect.
	s.runStep(func(now Time) { s.core.Expire(now, id) })
	return <-results, nil
}
