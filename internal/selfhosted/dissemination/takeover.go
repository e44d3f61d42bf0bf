package dissemination

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// takeover is how a process comes to vote in its slot. Machines have no disks:
// a process that holds a voter's name may be a replacement that has forgotten
// what its predecessor acknowledged, while the predecessor may even run on.
//
// First a majority of the other voters registers the incarnation, so that
// every later majority with an answer of the predecessor also has an answer
// that names the successor. Then, after that, a confirmation is needed, so that
// the process holds everything accepted with the predecessor's answer.
type takeover struct {
	registered map[string]bool // voters that know this incarnation
	// complete is set once enough voters have registered, at completedAt.
	complete    bool
	completedAt Time
	recovered   bool
	superseded  bool
}

// holdsSlot says whether the catalog has this node as a voter.
func (c *Core) isVoter() bool {
	_, ok := c.log.catalog.Voters[c.self.Name]
	return ok
}

// votes says whether this node's revision may be counted by others.
func (c *Core) canVote() bool {
	if !c.isVoter() || c.successor.superseded {
		return false
	}
	return c.successor.recovered || c.disabled.recovery
}

// resetTakeover makes a node that is no voter any more start over if it
// becomes one again.
func (c *Core) resetTakeover() {
	if c.isVoter() || (!c.successor.complete && !c.successor.recovered) {
		return
	}
	c.successor.complete, c.successor.recovered = false, false
	clear(c.successor.registered)
}

// recover lets the node vote once its slot is registered and it has been
// confirmed since.
func (c *Core) updateRecovery(now Time) {
	t := &c.successor
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

func (c *Core) countRegistrations() int {
	count := 0
	for name := range c.voterStates {
		if c.successor.registered[name] {
			count++
		}
	}
	return count
}

// registrationQuorum is a majority of the voters, not counting this one; of two
// voters it is the other one.
func (c *Core) registrationQuorum() int {
	if c.disabled.registration {
		return 0
	}
	voters := len(c.log.catalog.Voters)
	return min(majority(voters), voters-1)
}

// known returns the incarnation that holds a voter's slot as far as is known;
// zero if none is.
func (c *Core) incarnation(voter string) uint64 {
	if voter == c.self.Name {
		return c.self.Incarnation
	}
	return c.claims[voter]
}

// knownClaims returns a hash of what is known of the voters' slots.
func (c *Core) hashClaims() uint64 {
	if c.claimsHash == 0 {
		var digest xxhash.Digest
		digest.Reset()
		for _, name := range c.voters {
			_, _ = digest.WriteString(name)
			_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, c.incarnation(name)))
		}
		c.claimsHash = digest.Sum64()
	}
	return c.claimsHash
}

// claimsFor lists what a requester may not know of the voters' slots, if this
// node is a voter, and in any case a claim that supersedes the requester.
func (c *Core) claimsFor(request *ExchangeRequest) []Claim {
	var claims []Claim
	if c.isVoter() && request.Known != c.hashClaims() {
		for _, name := range c.voters {
			if incarnation := c.incarnation(name); incarnation != 0 && name != request.Name {
				claims = append(claims, Claim{Name: name, Incarnation: incarnation})
			}
		}
	}
	if incarnation := c.claims[request.Name]; incarnation > request.Incarnation {
		claims = append(claims, Claim{Name: request.Name, Incarnation: incarnation})
	}
	return claims
}

// maximumClaims bounds the slots remembered.
const maxClaims = 1024

// takeClaim notes an incarnation of a voter's slot.
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
	// What the predecessor registered says nothing of its successor.
	delete(c.successor.registered, claim.Name)
}

// meetClaim handles a claim on this node's own name. A process that has just
// started has met its predecessor's, which had a higher number because a clock
// was ahead, and takes a higher one. Any other has been replaced.
func (c *Core) handleClaimOnSelf(now Time, claim Claim) {
	if claim.Incarnation <= c.self.Incarnation || c.disabled.supersession {
		return
	}
	if !c.successor.recovered && now-c.startedAt < c.config.Window {
		c.self.Incarnation = claim.Incarnation + 1 + c.random.Uint64N(incarnationJitter)
		c.claimsHash = 0
		c.successor.complete = false
		clear(c.successor.registered)
		return
	}
	c.successor.superseded = true
}

// incarnationSpread keeps two processes that raise their incarnation at once
// from choosing the same one.
const incarnationJitter = 1 << 32

// Incarnation returns this node's incarnation, which is raised if that of the
// predecessor was higher.
func (c *Core) Incarnation() uint64 { return c.self.Incarnation }
