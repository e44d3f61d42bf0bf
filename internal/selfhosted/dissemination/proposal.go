package dissemination

import (
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
)

// ProposalID identifies a proposal within one Core.
type ProposalID uint64

// Proposal requests a change, or the fate of an earlier one.
type Proposal struct {
	Command catalog.Command
	// IfRevision, if set, is the revision that the change must directly follow to take effect.
	IfRevision *uint64
	Operator   string
	// ChangeID is the ID of the change, or only its token. If it is empty, the core generates a
	// token. A later proposal with the same token returns the fate of the first one while the
	// change is among the catalog's recent changes.
	ChangeID string
	// DryRun only checks whether the change would be valid now.
	DryRun bool
	// ResolveFate requests the fate of the change ChangeID; Command is ignored.
	ResolveFate bool
	// At is the wall-clock time recorded in the log and in the change ID.
	At time.Time
	// Deadline is the time at which the proposal ends with the outcome known by then.
	Deadline Time
}

// ProposalResult is the outcome of one proposal.
type ProposalResult struct {
	ID     ProposalID
	Result Result
}

// stage is the current step of a proposal.
type stage byte

const (
	// stagePrepare validates the change against the catalog.
	stagePrepare stage = iota
	// stageAwaitPredecessor waits until a majority of the voters hold the log that a voter change
	// follows.
	stageAwaitPredecessor
	// stageCreate writes the change to the store.
	stageCreate
	// stageAccept waits until a majority of the voters hold the change.
	stageAccept
	// stagePropagate waits until all members hold the change.
	stagePropagate
)

// refreshTimeout limits the wait for a current catalog before a change is rejected on the basis of
// the catalog at hand.
const refreshTimeout = 2 * time.Second

// proposal is the state of a pending proposal.
type proposal struct {
	id        ProposalID
	request   Proposal
	startedAt Time
	stage     stage
	token     string
	change    catalog.Change
	// operation is the ID of the pending create, or 0. nextCreate is the earliest time for the next
	// create.
	operation  uint64
	nextCreate Time
	failures   int
	// uncertain reports that an earlier create of the change may have taken effect or may still do
	// so.
	uncertain       bool
	stored          bool
	lastErr         error
	acceptance      acceptance
	acceptedAt      Time
	nextPoll        Time
	nextMemberCheck Time
	result          *Result
}

// Propose starts a proposal. Its outcome is one of the Results that Ready returns.
func (c *Core) Propose(now Time, request Proposal) ProposalID {
	c.lastProposalID++
	p := &proposal{id: c.lastProposalID, request: request, startedAt: now}
	c.proposals = append(c.proposals, p)
	if request.ResolveFate {
		p.change.ID = request.ChangeID
	} else {
		p.token = tokenFromID(request.ChangeID)
		if p.token == "" {
			p.token = c.newToken(request.At)
		}
	}
	c.advanceProposals(now)
	return p.id
}

// advanceProposals advances all proposals as far as possible. Only the oldest proposal that is not
// stored may write, so that a node does not compete with itself for revisions.
func (c *Core) advanceProposals(now Time) {
	if len(c.proposals) == 0 {
		return
	}
	writing := false
	for _, p := range c.proposals {
		blocked := writing && !p.stored && !p.request.ResolveFate
		writing = writing || (!p.stored && !p.request.ResolveFate)
		if !blocked {
			c.advanceProposal(now, p)
		}
		if p.result == nil && now >= p.request.Deadline {
			c.finishAtDeadline(p)
		}
		if p.result != nil {
			c.ready.Results = append(c.ready.Results, ProposalResult{ID: p.id, Result: *p.result})
		}
	}
	c.proposals = slices.DeleteFunc(c.proposals, func(p *proposal) bool { return p.result != nil })
}

// Expire ends a proposal now with the known outcome, as its deadline would.
func (c *Core) Expire(now Time, id ProposalID) {
	for _, p := range c.proposals {
		if p.id == id {
			p.request.Deadline = now
		}
	}
	c.advanceProposals(now)
}

// advanceProposal runs the stages of a proposal until one has to wait.
func (c *Core) advanceProposal(now Time, p *proposal) {
	for before := stage(0xff); p.result == nil && before != p.stage; {
		before = p.stage
		switch p.stage {
		case stagePrepare:
			c.prepare(now, p)
		case stageAwaitPredecessor:
			c.awaitPredecessor(now, p)
		case stageCreate:
			c.create(now, p)
		case stageAccept:
			if c.pollAcceptance(now, &p.acceptance) {
				p.stage, p.acceptedAt = stagePropagate, now
			}
		case stagePropagate:
			c.awaitPropagation(now, p)
		}
	}
}

// ensureRefreshed reports whether the catalog was current at some time since the proposal started.
// If it was not, ensureRefreshed requests a store read. After refreshTimeout it returns true,
// because a longer wait is unlikely to help.
func (c *Core) ensureRefreshed(now Time, p *proposal) bool {
	at, confirmed := c.ConfirmedAt()
	if (confirmed && at >= p.startedAt) || (c.store.current && c.store.currentAt >= p.startedAt) {
		return true
	}
	if now-p.startedAt >= refreshTimeout || now >= p.request.Deadline {
		return true
	}
	if !c.store.hasRead || now-c.store.lastReadAt >= c.config.RetryInterval {
		c.readStore(now)
	}
	return false
}

// finishAtDeadline ends a proposal at its deadline with the known outcome.
func (c *Core) finishAtDeadline(p *proposal) {
	switch {
	case p.stage == stagePropagate:
		c.finish(p, FateAccepted, "not all members have confirmed it yet")
	case p.stored:
		c.finish(p, FateUnknown, "the change is stored permanently, but a majority of the voters has not confirmed it yet")
	case p.uncertain || p.operation != 0:
		c.finish(p, FateUnknown, "the store has not said whether it took the change"+lastErrorSuffix(p))
	case p.request.ResolveFate:
		c.finish(p, FateUnknown, "the store could not be read")
	default:
		c.finish(p, FateNotAccepted, "the change was not written before the deadline"+lastErrorSuffix(p))
	}
}

// lastErrorSuffix returns the last error of a create as the end of a message, or an empty string.
func lastErrorSuffix(p *proposal) string {
	if p.lastErr == nil {
		return ""
	}
	return ": " + p.lastErr.Error()
}

// finish sets the result of a proposal.
func (c *Core) finish(p *proposal, fate Fate, detail string) {
	result := Result{Fate: fate, ChangeID: p.change.ID, Revision: c.log.revision(), Stored: p.stored, Detail: detail}
	if p.stored {
		result.Revision = p.change.Revision
		var missing []Member
		result.InForceOn, missing = c.membersHolding(p.change.Revision)
		result.Members = len(c.members.alive) + 1
		for _, member := range missing {
			result.Missing = append(result.Missing, member.Name)
		}
	}
	p.result = &result
}

// refuse ends a proposal whose change is invalid.
func (c *Core) refuse(p *proposal, cause error) {
	c.finish(p, FateNotAccepted, cause.Error())
	p.result.Refusal = cause
}
