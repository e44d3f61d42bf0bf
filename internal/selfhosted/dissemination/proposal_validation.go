package dissemination

import (
	"fmt"
	"strings"

	"github.com/micaplank/micaplank/internal/catalog"
)

// ConflictError refuses a change whose condition on the revision does not hold.
type ConflictError struct {
	Wanted   uint64
	Revision uint64
}

// Error names both revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the catalog is at revision %d, not %d", e.Revision, e.Wanted)
}

// VoterError refuses a change of the voters that could not be undone or would
// not be safe.
type VoterError struct {
	Name   string
	Reason string
}

// Error names the voter and the reason.
func (e *VoterError) Error() string { return fmt.Sprintf("voter %q: %s", e.Name, e.Reason) }

// smallestVoterSet is the number of voters below which none may be removed:
// fewer do not survive the loss of one, and the registration of a replacement
// then reaches too few of the voters that an older catalog has.
const minVoters = 3

// check returns why the catalog does not admit the change, or nil.
func (c *Core) validateChange(p *proposal) error {
	if expected := p.request.IfRevision; expected != nil && *expected != c.log.revision() {
		return &ConflictError{Wanted: *expected, Revision: c.log.revision()}
	}
	if _, err := catalog.Apply(c.log.catalog, p.change); err != nil {
		return err
	}
	return c.validateVoterChange(p.change.Command)
}

// checkVoters refuses a voter that is no alive member, because it could not
// confirm anything, and no other voter could be added after it.
func (c *Core) validateVoterChange(command catalog.Command) error {
	if add := command.AddVoter; add != nil && !c.isAlive(add.Voter.Name) {
		return &VoterError{Name: add.Voter.Name, Reason: "there is no alive member of that name"}
	}
	if remove := command.RemoveVoter; remove != nil && len(c.log.catalog.Voters) <= minVoters {
		return &VoterError{Name: remove.Name, Reason: fmt.Sprintf("%d voters must be left, add another one first", minVoters)}
	}
	return nil
}

func (c *Core) isAlive(name string) bool {
	return name == c.self.Name || c.members.byName[name].Alive
}

func (c *Core) changesVoters(p *proposal) bool {
	return p.change.Command.AddVoter != nil || p.change.Command.RemoveVoter != nil
}

// appliedToken finds an earlier change with the same token.
func (c *Core) findAppliedToken(token string) (catalog.AppliedChange, bool) {
	recent := c.log.catalog.Recent
	for i := len(recent) - 1; i >= 0; i-- {
		if strings.HasSuffix(recent[i].ID, "-"+token) {
			return recent[i], true
		}
	}
	return catalog.AppliedChange{}, false
}
