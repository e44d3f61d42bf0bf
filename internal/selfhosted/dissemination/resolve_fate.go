package dissemination

import "fmt"

// settleByID finds the change that an id names.
func (c *Core) resolveFate(now Time, p *proposal) {
	revision, _, err := ParseChangeID(p.change.ID)
	if err != nil {
		c.refuse(p, err)
		return
	}
	if c.log.revision() < revision {
		if c.ensureRefreshed(now, p) {
			c.finish(p, FateUnknown, fmt.Sprintf("no change has taken revision %d yet", revision))
		}
		return
	}
	switch id, ok := c.log.changeIDAt(revision); {
	case !ok:
		c.finish(p, FateUnknown, fmt.Sprintf("revision %d is not remembered any more", revision))
	case id == p.change.ID:
		p.change.Revision, p.stored = revision, true
		p.beginAcceptance()
	default:
		c.finish(p, FateNotAccepted, fmt.Sprintf("revision %d is held by change %s", revision, id))
	}
}
