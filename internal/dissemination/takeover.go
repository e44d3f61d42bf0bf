package dissemination

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

// resetTakeover makes a node that is no voter any more start anew if it
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
