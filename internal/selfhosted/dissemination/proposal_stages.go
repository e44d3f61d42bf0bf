package dissemination

import "github.com/micaplank/micaplank/internal/catalog"

// prepare validates the change against the current catalog.
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

// changeAt returns the proposed change with the given revision.
func (p *proposal) changeAt(revision uint64) catalog.Change {
	return catalog.Change{
		Revision: revision,
		ID:       ChangeID(revision, p.token),
		Operator: p.request.Operator,
		At:       p.request.At.UTC().Round(0),
		Command:  p.request.Command,
	}
}

// awaitPredecessor delays the write of a voter change until a majority of the voters hold the log
// that it follows. Therefore at most one voter change is pending at any time, and every majority of
// a voter set shares a voter with every majority of the next set.
func (c *Core) awaitPredecessor(now Time, p *proposal) {
	if c.log.revision()+1 != p.change.Revision {
		p.stage = stagePrepare
		return
	}
	if c.pollAcceptance(now, &p.acceptance) {
		p.stage = stageCreate
	}
}

// create writes the change. It repeats a write with an unknown outcome until the key of the
// change's revision exists.
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

// ensureRecentLog reports whether the log is recent enough to append a change to it, and requests a
// store read otherwise. Once changes have been deleted from the store, their keys no longer exist,
// and a write to such a key would succeed. At most Config.RetainedInStore changes are made within
// two windows, so the key after a log that was current one window ago is not among the deleted
// ones.
func (c *Core) ensureRecentLog(now Time) bool {
	if c.disabled.staleWrite || c.Fresh(now) || (c.store.current && now-c.store.currentAt < c.config.Window) {
		return true
	}
	if !c.store.hasRead || now-c.store.lastReadAt >= c.config.RetryInterval {
		c.readStore(now)
	}
	return false
}

// compareWithLog compares the change with the log's change at the same revision.
func (c *Core) compareWithLog(now Time, p *proposal) {
	id, ok := c.log.changeIDAt(p.change.Revision)
	switch {
	case !ok:
		p.uncertain = true
		c.finish(p, FateUnknown, "the revision of the change is no longer among the catalog's recent changes")
	case id == p.change.ID:
		c.markStored(now, p)
	default:
		c.restartAtNextRevision(now, p)
	}
}

// handleCreate processes the result of a create.
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
		// The process was suspended and may have sent the write only after it resumed. A read of
		// the log shows whether the write is part of the log.
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

// findProposal returns the proposal whose pending create has the given operation ID.
func (c *Core) findProposal(id ProposalID, operation uint64) *proposal {
	for _, p := range c.proposals {
		if p.id == id && p.operation == operation {
			return p
		}
	}
	return nil
}

// handleCreateFailure schedules another attempt after a failed create.
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

// backoff returns a random delay that grows with the number of failures.
func (c *Core) backoff(failures int) Time {
	wait := c.config.RetryInterval << min(failures, 4)
	return wait/2 + Time(c.random.Int64N(int64(wait)))
}

// restartAtNextRevision returns the proposal to its first stage after another change has taken its
// revision, so that this change can never take effect there.
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

// markStored installs the stored change on this node and pushes it to other members.
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

// beginAcceptance moves a stored proposal to the stage that waits for a majority of the voters.
func (p *proposal) beginAcceptance() {
	p.stage = stageAccept
	p.acceptance = acceptance{revision: p.change.Revision}
}
