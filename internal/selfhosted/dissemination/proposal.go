package dissemination

import (
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
)

// ProposalID identifies a proposal within one Core.
type ProposalID uint64

// Proposal asks for a change, or for the fate of one.
type Proposal struct {
	Command catalog.Command
	// IfRevision, if set, lets the change take effect only as the next one
	// after that revision.
	IfRevision *uint64
	Operator   string
	// ChangeID is the id, or only its token, under which the change is made;
	// empty lets the core choose. A second proposal with the same token returns
	// the fate of the first, as long as the catalog remembers it.
	ChangeID string
	// DryRun asks only whether the change would be valid now.
	DryRun bool
	// Settle asks for the fate of the change ChangeID; Command is ignored.
	ResolveFate bool
	// At is the time of day, for the log and the id.
	At time.Time
	// Deadline is when the proposal ends with what is known then.
	Deadline Time
}

// ProposalResult is the end of a proposal.
type ProposalResult struct {
	ID     ProposalID
	Result Result
}

type stage byte

const (
	// stagePrepare validates the change against the catalog.
	stagePrepare stage = iota
	// stageGuard waits until the voters confirm what a voter change builds on.
	stageAwaitPredecessor
	// stageCreate writes the change.
	stageCreate
	// stageConfirm waits until a majority of the voters hold the change.
	stageAccept
	// stageSpread waits until all members hold the change.
	stagePropagate
)

// refreshTimeout bounds the wait for a current view before a change is refused
// by what the catalog says.
const refreshTimeout = 2 * time.Second

// proposal is a change under way.
type proposal struct {
	id        ProposalID
	request   Proposal
	startedAt Time
	stage     stage
	token     string
	change    catalog.Change
	// operation is the create in flight, or 0; nextCreate is when the next one
	// may be sent.
	operation  uint64
	nextCreate Time
	failures   int
	// uncertain says that a create of change may have taken effect or may
	// still do so.
	uncertain       bool
	stored          bool
	lastErr         error
	acceptance      acceptance
	acceptedAt      Time
	nextPoll        Time
	nextMemberCheck Time
	result          *Result
}

// Propose begins a proposal. Its end is one of Ready's Results.
func (c *Core) Propose(now Time, request Proposal) ProposalID {
	c.lastProposal++
	p := &proposal{id: c.lastProposal, request: request, startedAt: now}
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

// driveProposals advances all proposals by what is known now. Only the oldest
// one that is not stored writes, so that a node does not race with itself.
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

// Expire ends a proposal now with what is known, as its deadline would.
func (c *Core) Expire(now Time, id ProposalID) {
	for _, p := range c.proposals {
		if p.id == id {
			p.request.Deadline = now
		}
	}
	c.advanceProposals(now)
}

// drive runs the stages until one has to wait.
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

// refreshed says whether the catalog is known to have been current at some
// time since the proposal began; if not, it sees to a read of the store. After
// refreshTimeout it says yes, since waiting on is of no use.
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

// expire ends a proposal at its deadline with what is known.
func (c *Core) finishAtDeadline(p *proposal) {
	switch {
	case p.stage == stagePropagate:
		c.finish(p, FateAccepted, "not all members have confirmed it yet")
	case p.stored:
		c.finish(p, FateUnknown, "the store has it for good, but a majority of the voters have not confirmed it yet")
	case p.uncertain || p.operation != 0:
		c.finish(p, FateUnknown, "the store has not said whether it took the change"+lastErrorSuffix(p))
	case p.request.ResolveFate:
		c.finish(p, FateUnknown, "the store could not be asked")
	default:
		c.finish(p, FateNotAccepted, "it was not written in time"+lastErrorSuffix(p))
	}
}

func lastErrorSuffix(p *proposal) string {
	if p.lastErr == nil {
		return ""
	}
	return ": " + p.lastErr.Error()
}

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

// refuse ends a proposal that the catalog does not admit.
func (c *Core) refuse(p *proposal, cause error) {
	c.finish(p, FateNotAccepted, cause.Error())
	p.result.Refusal = cause
}
