package dissemination

import (
	"fmt"
	"strings"

	"github.com/micaplank/micaplank/internal/catalog"
)

// ConflictError rejects a change whose IfRevision is not the catalog's revision.
type ConflictError struct {
	Expected uint64
	Revision uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the catalog is at revision %d, not %d", e.Revision, e.Expected)
}

// VoterError rejects a voter change that would be irreversible or unsafe.
type VoterError struct {
	Name   string
	Reason string
}

// Error implements error.
func (e *VoterError) Error() string { return fmt.Sprintf("voter %q: %s", e.Name, e.Reason) }

// minVoters is the number of voters that must remain after a removal. A smaller set does not
// survive the loss of one voter, and the registration of a replacement would then reach too few of
// the voters that an older catalog lists.
const minVoters = 3

// validateChange returns the reason why the change is invalid, or nil.
func (c *Core) validateChange(p *proposal) error {
	if expected := p.request.IfRevision; expected != nil && *expected != c.log.revision() {
		return &ConflictError{Expected: *expected, Revision: c.log.revision()}
	}
	if _, err := catalog.Apply(c.log.catalog, p.change); err != nil {
		return err
	}
	return c.validateVoterChange(p.change.Command)
}

// validateVoterChange rejects the addition of a voter that is not an alive member: such a voter
// could not confirm anything, which would prevent the addition of any further voter. It also
// rejects a removal that leaves fewer than minVoters.
func (c *Core) validateVoterChange(command catalog.Command) error {
	if add := command.AddVoter; add != nil && !c.isAlive(add.Voter.Name) {
		return &VoterError{Name: add.Voter.Name, Reason: "there is no alive member of that name"}
	}
	if remove := command.RemoveVoter; remove != nil && len(c.log.catalog.Voters) <= minVoters {
		return &VoterError{Name: remove.Name, Reason: fmt.Sprintf("at least %d voters must remain; add another voter first", minVoters)}
	}
	return nil
}

// isAlive reports whether a name belongs to this node or to an alive member.
func (c *Core) isAlive(name string) bool {
	return name == c.self.Name || c.members.byName[name].Alive
}

func (c *Core) changesVoters(p *proposal) bool {
	return p.change.Command.AddVoter != nil || p.change.Command.RemoveVoter != nil
}

// findAppliedToken returns the recent change with a given token.
func (c *Core) findAppliedToken(token string) (catalog.AppliedChange, bool) {
	recent := c.log.catalog.Recent
	for i := len(recent) - 1; i >= 0; i-- {
		if strings.HasSuffix(recent[i].ID, "-"+token) {
			return recent[i], true
		}
	}
	return catalog.AppliedChange{}, false
}
