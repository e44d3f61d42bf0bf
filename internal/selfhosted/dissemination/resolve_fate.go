package dissemination

import "fmt"

// resolveFate determines the fate of the change with the ID of p.
func (c *Core) resolveFate(now Time, p *proposal) {
	revision, _, err := ParseChangeID(p.change.ID)
	if err != nil {
		c.refuse(p, err)
		return
	}
	if c.log.revision() < revision {
		if c.ensureRefreshed(now, p) {
			c.finish(p, FateUnknown, fmt.Sprintf("no change has revision %d yet", revision))
		}
		return
	}
	switch id, ok := c.log.changeIDAt(revision); {
	case !ok:
		c.finish(p, FateUnknown, fmt.Sprintf("the change at revision %d is no longer among the catalog's recent changes", revision))
	case id == p.change.ID:
		p.change.Revision, p.stored = revision, true
		p.beginAcceptance()
	default:
		c.finish(p, FateNotAccepted, fmt.Sprintf("revision %d is held by change %s", revision, id))
	}
}
