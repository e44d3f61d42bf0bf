package rollout

import (
	"time"

	"github.com/micaplank/micaplank/internal/roster"
)

const (
	// trialRatio and burstRatio are the parts of the ratio of Bounds that a node spends. The
	// remaining 0.2 covers attempts that the back ends count differently. The trial is longer and
	// finds most bad versions, so its part is larger; the burst only has to find those that are bad
	// under load.
	trialRatio = 0.45
	burstRatio = 0.35
	// trialSlack and burstSlack are the parts of the slack of Bounds that all nodes divide. The
	// remaining 0.45 covers the random rounding of each node's part: 66 nodes spend about 27 of 50,
	// give or take 5. With 0.65 of the slack divided, they spent 55 once in 200 draws.
	trialSlack = 0.3
	burstSlack = 0.25
)

// Bounds limits the attempts at a target of all nodes together.
type Bounds struct {
	// Ratio is the share of the service's requests, from the order to its deadline.
	Ratio float64
	// Slack is the number of additional attempts.
	Slack float64
}

// Allowance limits the attempts at a target that one node may send: a part of the requests that the
// node sends to the service, and a part of the slack. Spending requires a grant that has not
// expired. It is not safe for concurrent use.
type Allowance struct {
	ratio  float64
	credit float64
	// reserve is kept for the burst.
	reserve      float64
	burst        bool
	grantedUntil time.Duration // expiry of the grant, on the node's clock
	closesAt     time.Duration // end of earning and spending
}

// NewAllowance returns the Allowance of one of the nodes that share the bounds, for an order with
// the given deadline on the node's clock. Part is the node's part of the slack, from 0 to 1: see
// SlackShare. Random returns a random number in [0, 1).
func NewAllowance(bounds Bounds, part float64, deadline time.Duration, random func() float64) *Allowance {
	allowance := &Allowance{ratio: bounds.Ratio, closesAt: deadline}
	allowance.credit = roundRandomly(trialSlack*bounds.Slack*part, random)
	allowance.reserve = roundRandomly(burstSlack*bounds.Slack*part, random)
	return allowance
}

// MaySpend reports whether a node may spend a part of the bounds. A node that is not a
// participant must not spend: a node that knows no other participant would take all of the slack,
// and others may do the same.
func MaySpend(self string, participants []roster.Member) bool {
	return containsNode(participants, self)
}

// SlackShare returns the part of the slack that each of one or more participants may spend for one
// order. The part is zero if the order was found at the start of the node, because the node's
// previous process may have spent it.
func SlackShare(participants int, foundAtStart bool) float64 {
	if foundAtStart {
		return 0
	}
	return 1 / float64(participants)
}

// roundRandomly rounds a number up or down at random, so that the expected value is the number.
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

// Grant allows spending until the given time.
func (a *Allowance) Grant(until time.Duration) { a.grantedUntil = until }

// Burst releases the reserve for spending.
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
