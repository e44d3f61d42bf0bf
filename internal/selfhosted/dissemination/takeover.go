package dissemination

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// takeover tracks how a process becomes a voter in its slot. Machines have no disks: a process with
// a voter's name may be a replacement that has lost the acknowledgements of its predecessor, and
// the predecessor may still be running.
//
// First, a majority of the other voters registers the incarnation, so that every later majority
// that contains a response of the predecessor also contains a response that names the successor.
// After that, the process needs a confirmation, which proves that it holds every revision that was
// accepted with a response of the predecessor.
type takeover struct {
	registered map[string]bool // voters that have registered this incarnation
	// complete is set at completedAt, when enough voters have registered the incarnation.
	complete    bool
	completedAt Time
	recovered   bool
	superseded  bool
}

// isVoter reports whether the catalog lists this node as a voter.
func (c *Core) isVoter() bool {
	_, ok := c.log.catalog.Voters[c.self.Name]
	return ok
}

// canVote reports whether this node's revision counts toward a quorum.
func (c *Core) canVote() bool {
	if !c.isVoter() || c.takeover.superseded {
		return false
	}
	return c.takeover.recovered || c.disabled.recovery
}

// resetTakeover resets the takeover of a node that is no longer a voter, so that it starts again if
// the node becomes a voter later.
func (c *Core) resetTakeover() {
	if c.isVoter() || (!c.takeover.complete && !c.takeover.recovered) {
		return
	}
	c.takeover.complete, c.takeover.recovered = false, false
	clear(c.takeover.registered)
}

// updateRecovery marks a voter as recovered once its incarnation is registered and a later
// confirmation exists.
func (c *Core) updateRecovery(now Time) {
	t := &c.takeover
	if t.recovered || t.superseded || !c.isVoter() {
		return
	}
	if !t.complete && c.countRegistrations() >= c.registrationQuorum() {
		t.complete, t.completedAt = true, now
	}
	if t.complete && c.confirmed && c.confirmedAt >= t.completedAt {
		t.recovered = true
	}
}

// countRegistrations returns the number of other voters that have registered this incarnation.
func (c *Core) countRegistrations() int {
	count := 0
	for name := range c.voterStates {
		if c.takeover.registered[name] {
			count++
		}
	}
	return count
}

// registrationQuorum returns a majority of all voters, which the other voters must provide. With
// two voters, the registration of the other one is sufficient.
func (c *Core) registrationQuorum() int {
	if c.disabled.registration {
		return 0
	}
	voters := len(c.log.catalog.Voters)
	return min(majority(voters), voters-1)
}

// highestIncarnation returns the highest known incarnation of a voter, which for this node is its
// own, or zero.
func (c *Core) highestIncarnation(voter string) uint64 {
	if voter == c.self.Name {
		return c.self.Incarnation
	}
	return c.claims[voter]
}

// hashClaims returns a hash of the known voter incarnations.
func (c *Core) hashClaims() uint64 {
	if c.claimsHash == 0 {
		var digest xxhash.Digest
		digest.Reset()
		for _, name := range c.voters {
			_, _ = digest.WriteString(name)
			_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, c.highestIncarnation(name)))
		}
		c.claimsHash = digest.Sum64()
	}
	return c.claimsHash
}

// claimsFor returns the claims for the response to a request. If this node is a voter, it returns
// all known incarnations when the requester's differ. In any case it includes a claim that
// supersedes the requester.
func (c *Core) claimsFor(request *ExchangeRequest) []Claim {
	var claims []Claim
	if c.isVoter() && request.Known != c.hashClaims() {
		for _, name := range c.voters {
			if incarnation := c.highestIncarnation(name); incarnation != 0 && name != request.Name {
				claims = append(claims, Claim{Name: name, Incarnation: incarnation})
			}
		}
	}
	if incarnation := c.claims[request.Name]; incarnation > request.Incarnation {
		claims = append(claims, Claim{Name: request.Name, Incarnation: incarnation})
	}
	return claims
}

// maxClaims is the maximum number of voters whose incarnations are kept.
const maxClaims = 1024

// recordClaim stores a higher incarnation of a voter.
func (c *Core) recordClaim(now Time, claim Claim) {
	highest, ok := c.claims[claim.Name]
	if claim.Name == c.self.Name {
		c.handleClaimOnSelf(now, claim)
		return
	}
	if claim.Incarnation <= highest || (!ok && len(c.claims) >= maxClaims) {
		return
	}
	c.claims[claim.Name] = claim.Incarnation
	c.claimsHash = 0
	// A registration with the predecessor does not apply to its successor.
	delete(c.takeover.registered, claim.Name)
}

// handleClaimOnSelf processes a claim on this node's own name. A process that has just started may
// receive the claim of its predecessor, whose incarnation is higher because a clock was ahead; the
// process then selects a higher incarnation. Any other process with a lower incarnation has been
// superseded.
func (c *Core) handleClaimOnSelf(now Time, claim Claim) {
	if claim.Incarnation <= c.self.Incarnation || c.disabled.supersession {
		return
	}
	if !c.takeover.recovered && now-c.startedAt < c.config.Window {
		c.self.Incarnation = claim.Incarnation + 1 + c.random.Uint64N(incarnationJitter)
		c.claimsHash = 0
		c.takeover.complete = false
		clear(c.takeover.registered)
		return
	}
	c.takeover.superseded = true
}

// incarnationJitter is the range of the random increment that prevents two processes from selecting
// the same incarnation when they raise theirs at the same time.
const incarnationJitter = 1 << 32

// Incarnation returns this node's incarnation, which may have been raised above the initial one.
func (c *Core) Incarnation() uint64 { return c.self.Incarnation }
