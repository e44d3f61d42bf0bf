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
func (c *Core) holdsSlot() bool {
	_, ok := c.log.catalog.Voters[c.self.Name]
	return ok
}

// votes says whether this node's revision may be counted by others.
func (c *Core) votes() bool {
	if !c.holdsSlot() || c.takeover.superseded {
		return false
	}
	return c.takeover.recovered || c.omit.recovery
}

// resetTakeover makes a node that is no voter any more start over if it
// becomes one again.
func (c *Core) resetTakeover() {
	if c.holdsSlot() || (!c.takeover.complete && !c.takeover.recovered) {
		return
	}
	c.takeover.complete, c.takeover.recovered = false, false
	clear(c.takeover.registered)
}

// recover lets the node vote once its slot is registered and it has been
// confirmed since.
func (c *Core) recover(now Time) {
	t := &c.takeover
	if t.recovered || t.superseded || !c.holdsSlot() {
		return
	}
	if !t.complete && c.registrations() >= c.registrationQuorum() {
		t.complete, t.completedAt = true, now
	}
	if t.complete && c.confirmed && c.confirmedAt >= t.completedAt {
		t.recovered = true
	}
}

func (c *Core) registrations() int {
	count := 0
	for name := range c.slots {
		if c.takeover.registered[name] {
			count++
		}
	}
	return count
}

// registrationQuorum is a majority of the voters, not counting this one; of two
// voters it is the other one.
func (c *Core) registrationQuorum() int {
	if c.omit.registration {
		return 0
	}
	voters := len(c.log.catalog.Voters)
	return min(majority(voters), voters-1)
}

// known returns the incarnation that holds a voter's slot as far as is known;
// zero if none is.
func (c *Core) known(voter string) uint64 {
	if voter == c.self.Name {
		return c.self.Incarnation
	}
	return c.claims[voter]
}

// knownClaims returns a hash of what is known of the voters' slots.
func (c *Core) knownClaims() uint64 {
	if c.knownHash == 0 {
		var digest xxhash.Digest
		digest.Reset()
		for _, name := range c.voters {
			_, _ = digest.WriteString(name)
			_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, c.known(name)))
		}
		c.knownHash = digest.Sum64()
	}
	return c.knownHash
}

// claimsFor lists what a requester may not know of the voters' slots, if this
// node is a voter, and in any case a claim that supersedes the requester.
func (c *Core) claimsFor(request *ExchangeRequest) []Claim {
	var claims []Claim
	if c.holdsSlot() && request.Known != c.knownClaims() {
		for _, name := range c.voters {
			if known := c.known(name); known != 0 && name != request.Name {
				claims = append(claims, Claim{Name: name, Incarnation: known})
			}
		}
	}
	if known := c.claims[request.Name]; known > request.Incarnation {
		claims = append(claims, Claim{Name: request.Name, Incarnation: known})
	}
	return claims
}

// maximumClaims bounds the slots remembered.
const maximumClaims = 1024

// takeClaim notes an incarnation of a voter's slot.
func (c *Core) takeClaim(now Time, claim Claim) {
	known, ok := c.claims[claim.Name]
	if claim.Name == c.self.Name {
		c.meetClaim(now, claim)
		return
	}
	if claim.Incarnation <= known || (!ok && len(c.claims) >= maximumClaims) {
		return
	}
	c.claims[claim.Name] = claim.Incarnation
	c.knownHash = 0
	// What the predecessor registered says nothing of its successor.
	delete(c.takeover.registered, claim.Name)
}

// meetClaim handles a claim on this node's own name. A process that has just
// started has met its predecessor's, which had a higher number because a clock
// was ahead, and takes a higher one. Any other has been replaced.
func (c *Core) meetClaim(now Time, claim Claim) {
	if claim.Incarnation <= c.self.Incarnation || c.omit.supersession {
		return
	}
	if !c.takeover.recovered && now-c.startedAt < c.config.Window {
		c.self.Incarnation = claim.Incarnation + 1 + c.random.Uint64N(incarnationSpread)
		c.knownHash = 0
		c.takeover.complete = false
		clear(c.takeover.registered)
		return
	}
	c.takeover.superseded = true
}

// incarnationSpread keeps two processes that raise their incarnation at once
// from choosing the same one.
const incarnationSpread = 1 << 32

// Incarnation returns this node's incarnation, which is raised if that of the
// predecessor was higher.
func (c *Core) Incarnation() uint64 { return c.self.Incarnation }
