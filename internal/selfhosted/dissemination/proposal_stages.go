package dissemination

import "github.com/micaplank/micaplank/internal/catalog"

// prepare validates the change against the catalog as it is now.
func (c *Core) prepare(now Time, p *proposal) {
	if p.request.ResolveFate {
		c.resolveFate(now, p)
		return
	}
	if applied, ok := c.findAppliedToken(p.token); ok {
		p.change.ID, p.change.Revision, p.stored = applied.ID, applied.Revision, true
		p.beginAcceptance()
		return
	}
	if now < p.nextCreate {
		return
	}
	p.uncertain, p.operation = false, 0
	revision := c.log.revision()
	p.change = p.changeAt(revision + 1)
	if refusal := c.validateChange(p); refusal != nil {
		if c.ensureRefreshed(now, p) {
			c.refuse(p, refusal)
		}
		return
	}
	switch {
	case !c.ensureRecentLog(now):
		return
	case p.request.DryRun:
		if c.ensureRefreshed(now, p) {
			c.finish(p, FateDryRun, "")
		}
	case c.changesVoters(p) && !c.disabled.voterGuard:
		p.stage, p.acceptance = stageAwaitPredecessor, acceptance{revision: revision}
	default:
		p.stage = stageCreate
	}
}

// changeAt returns the change as the one with a revision.
func (p *proposal) changeAt(revision uint64) catalog.Change {
	return catalog.Change{
		Revision: revision,
		ID:       ChangeID(revision, p.token),
		Operator: p.request.Operator,
		At:       p.request.At.UTC().Round(0),
		Command:  p.request.Command,
	}
}

// guard lets a voter change be written only once a majority of the voters hold
// the log that it follows. So no two voter changes are ever under way, and the
// majorities of a set and of the next one always share a voter.
func (c *Core) awaitPredecessor(now Time, p *proposal) {
	if c.log.revision()+1 != p.change.Revision {
		p.stage = stagePrepare
		return
	}
	if c.pollAcceptance(now, &p.acceptance) {
		p.stage = stageCreate
	}
}

// create writes the change, again if its fate is not known, until the key of
// its revision is held.
func (c *Core) create(now Time, p *proposal) {
	if c.log.revision() >= p.change.Revision {
		c.compareWithLog(now, p)
		return
	}
	if p.operation != 0 || now < p.nextCreate || !c.ensureRecentLog(now) {
		return
	}
	change := p.change
	c.startOperation(pendingOperation{sentAt: now, kind: operationCreate, proposal: p.id}, StoreOperation{Create: &change})
	p.operation = c.store.lastOperationID
}

// mayWrite says whether the log is recent enough to write behind its end; if it
// is not, it sees to a read. Once changes have been deleted from the store,
// their keys are absent again, and a write under such a key would succeed. No
// more than Config.RetainedInStore changes are made in two windows, so a key
// after a log that was current one window ago is not among the deleted ones.
func (c *Core) ensureRecentLog(now Time) bool {
	if c.disabled.staleWrite || c.Fresh(now) || (c.store.current && now-c.store.currentAt < c.config.Window) {
		return true
	}
	if !c.store.hasRead || now-c.store.lastReadAt >= c.config.RetryInterval {
		c.readStore(now)
	}
	return false
}

// meetLog compares the change with the one that the log has at its revision.
func (c *Core) compareWithLog(now Time, p *proposal) {
	id, ok := c.log.changeIDAt(p.change.Revision)
	switch {
	case !ok:
		p.uncertain = true
		c.finish(p, FateUnknown, "the log has moved on too far to tell")
	case id == p.change.ID:
		c.markStored(now, p)
	default:
		c.restartAtNextRevision(now, p)
	}
}

// takeCreate processes the result of a create.
func (c *Core) handleCreate(now Time, pending pendingOperation, result StoreResult) {
	p := c.findProposal(pending.proposal, result.ID)
	if p == nil {
		return
	}
	p.operation = 0
	switch {
	case result.Err != nil:
		c.handleCreateFailure(now, p, result)
	case result.Created && now-pending.sentAt > c.config.Window && !c.disabled.staleWrite:
		// The process was frozen, and the write may have left only after it
		// resumed; a read of the log shows whether it belongs there.
		p.uncertain = true
		p.nextCreate = now + c.config.Window
		c.readStore(now)
	case result.Created || (result.Existing != nil && result.Existing.ID == p.change.ID):
		c.markStored(now, p)
	case result.Existing != nil:
		c.installFromStore(now, []catalog.Change{*result.Existing})
		c.restartAtNextRevision(now, p)
	}
}

func (c *Core) findProposal(id ProposalID, operation uint64) *proposal {
	for _, p := range c.proposals {
		if p.id == id && p.operation == operation {
			return p
		}
	}
	return nil
}

func (c *Core) handleCreateFailure(now Time, p *proposal, result StoreResult) {
	p.lastErr = result.Err
	p.failures++
	p.nextCreate = now + c.backoff(p.failures)
	if c.disabled.readBack {
		c.finish(p, FateNotAccepted, "the write failed")
		return
	}
	p.uncertain = p.uncertain || result.MaybeApplied
}

func (c *Core) backoff(failures int) Time {
	wait := c.config.RetryInterval << min(failures, 4)
	return wait/2 + Time(c.random.Int64N(int64(wait)))
}

// lose notes that another change holds the revision, so that this one never
// takes effect there, and starts over.
func (c *Core) restartAtNextRevision(now Time, p *proposal) {
	p.uncertain, p.operation = false, 0
	p.stage = stagePrepare
	p.startedAt = now
	p.nextCreate = now + Time(c.random.Int64N(int64(c.config.RetryInterval/4)))
	if c.log.revision() < p.change.Revision {
		c.readStore(now)
		p.nextCreate = now + c.config.RetryInterval
	}
}

// becomeStored installs the change here and pushes it to the others.
func (c *Core) markStored(now Time, p *proposal) {
	p.stored, p.uncertain, p.operation = true, false, 0
	changes := []catalog.Change{p.change}
	if len(c.log.append(changes)) > 0 {
		c.planCheckpoint(now)
		c.handleInstalled(now)
	}
	if len(c.members.alive) <= maxDirectPush {
		for _, member := range c.members.alive {
			c.push(member.Address, changes)
		}
	} else {
		c.pushToVoters(changes)
		c.pushToRandom(changes)
	}
	p.beginAcceptance()
}

func (p *proposal) beginAcceptance() {
	p.stage = stageAccept
	p.acceptance = acceptance{revision: p.change.Revision}
}
