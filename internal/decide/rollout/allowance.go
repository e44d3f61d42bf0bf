package rollout

import (
	"time"

	"github.com/micaplank/micaplank/internal/roster"
)

const (
	// trialRatio and burstRatio are the parts of the ratio of Bounds that a node spends;
	// the other 0.2 is for attempts that the back ends count differently. Not measured:
	// chosen because the trial, which is the longer part, finds most bad versions, and the
	// burst has to show those that are bad only under load.
	trialRatio = 0.45
	burstRatio = 0.35
	// trialSlack and burstSlack are the parts of the slack of Bounds that all nodes
	// divide. More is left of it, since parts below one attempt are spent by chance: 66
	// nodes spend 27 of 50 so, 5 more or fewer as a rule; with 0.65 planned they spent 55
	// once in 200 draws.
	trialSlack = 0.3
	burstSlack = 0.25
)

// Bounds is what all nodes together may expose to a target.
type Bounds struct {
	// Ratio is the share of a service's requests, from the order to its deadline.
	Ratio float64
	// Slack is how many attempts come on top.
	Slack float64
}

// Allowance is how many attempts at a target one node may send: a part of the
// requests that it sends to the service, and of a slack. It spends only under a
// grant that ends by itself. It is not safe for concurrent use.
type Allowance struct {
	ratio  float64
	credit float64
	// reserve is kept for the burst.
	reserve      float64
	burst        bool
	grantedUntil time.Duration // the grant ends then, on the node's clock
	closesAt     time.Duration // nothing is earned or spent from then on
}

// NewAllowance returns the Allowance of one of some nodes that share the bounds, for an
// order whose deadline is given, on the node's clock. Part is the node's part of the
// slack, from 0 to 1: see PartOfSlack. Chance returns a number from 0 to 1.
func NewAllowance(bounds Bounds, part float64, deadline time.Duration, random func() float64) *Allowance {
	allowance := &Allowance{ratio: bounds.Ratio, closesAt: deadline}
	allowance.credit = roundRandomly(trialSlack*bounds.Slack*part, random)
	allowance.reserve = roundRandomly(burstSlack*bounds.Slack*part, random)
	return allowance
}

// HasAllowance reports whether a node spends a part of the bounds. A node that knows of no
// other must not: it would take all of the slack, and others may do the same.
func HasAllowance(self string, participants []roster.Member) bool {
	return containsNode(participants, self)
}

// PartOfSlack returns the part of the slack that each of some participants, one or more,
// may spend for one order. For an order that the node found when it started it is zero:
// the process before it may have spent that part.
func PartOfSlack(participants int, foundAtStart bool) float64 {
	if foundAtStart {
		return 0
	}
	return 1 / float64(participants)
}

// round rounds a number up or down by chance, so that its mean stays.
func roundRandomly(number float64, random func() float64) float64 {
	whole := float64(int(number))
	if random() < number-whole {
		whole++
	}
	return whole
}

// Earn counts a request that was sent to the service.
func (a *Allowance) Earn(now time.Duration) {
	if now >= a.closesAt {
		return
	}
	a.credit += trialRatio * a.ratio
	if a.burst {
		a.credit += burstRatio * a.ratio
		return
	}
	a.reserve += burstRatio * a.ratio
}

// Grant lets the allowance be spent until a time.
func (a *Allowance) Grant(until time.Duration) { a.grantedUntil = until }

// Burst lets what was kept back be spent, too.
func (a *Allowance) Burst() {
	a.burst = true
	a.credit += a.reserve
	a.reserve = 0
}

// Allows reports whether an attempt at the target may be sent now.
func (a *Allowance) Allows(now time.Duration) bool {
	return now < a.grantedUntil && now < a.closesAt && a.credit >= 1
}

// Spend counts an attempt at the target.
func (a *Allowance) Spend() { a.credit-- }
