package replica

// ScoreConfig tunes the scores.
type ScoreConfig struct {
	// OthersWeight is the weight of the estimated attempts of other nodes,
	// from 0 to 1: they are known late, and from what the leaf says. Own
	// attempts have the weight 1.
	OthersWeight float64
	// Crowding is the price of a leaf whose slots are all in use, over that of
	// an empty one, in mean attempts; it spreads work before queues form.
	Crowding float64
	// Noise is the slowness up to which a leaf counts as ordinary.
	Noise float64
	// LossPrice is the price of a lost attempt, over the time of one that is
	// answered: it takes of the budget, and a shard has few.
	LossPrice float64
	// Tie is the relative difference up to which two scores count as equal,
	// so that the zone decides.
	Tie float64
}

// DefaultScoreConfig returns the defaults. The figures are the 99th percentile of short
// queries over that of an oracle, simulated without faults at 60 % load for three services
// (one simulation each, 4 seeds): 1.113, 1.061 and 1.074 with full weights, no noise and
// no price of crowding.
func DefaultScoreConfig() ScoreConfig {
	return ScoreConfig{
		// 1.052, 1.061 and 1.039 with 0.5 and the noise below, 1.055, 1.099 and 1.008 with 0;
		// 1.032, 1.031 and 1.003 with 0.3 and the price of crowding.
		OthersWeight: 0.3,
		// As before; other prices were not compared there.
		Crowding: 0.3,
		// 1.098, 1.054 and 1.075 with 1.4 alone. Other values were not compared.
		Noise: 1.4,
		// No price by default; nodes whose leaves are lossy set one.
		LossPrice: 0,
		// Not measured in the simulation: chosen so that only scores which differ by less
		// than their error count as equal.
		Tie: 0.03,
	}
}

// completion is Expected with the prices of crowding and of losses.
func (s *ScoreConfig) score(c *Candidate, work Work) float64 {
	attempts := float64(c.InFlight) + s.OthersWeight*c.Others
	crowding := s.Crowding * attempts / float64(max(c.Slots, 1))
	expected := s.Expected(c, work) + s.Significant(c.Slowness)*work.Mean*crowding
	return expected * (1 + s.LossPrice*c.Loss)
}

// Expected is Completion with the estimates weighted by their worth.
func (s *ScoreConfig) Expected(c *Candidate, work Work) float64 {
	weighted := *c
	weighted.Others *= s.OthersWeight
	weighted.Slowness = s.Significant(c.Slowness)
	return ExpectedCompletion(&weighted, work)
}

// Significant returns the part of a slowness that is not noise, at least 1.
func (s *ScoreConfig) Significant(slowness float64) float64 {
	return max(slowness/s.Noise, 1)
}

// Completion returns the expected time until the leaf has done the incoming
// work, in seconds: the wait for a slot, and the work at the leaf's speed.
func ExpectedCompletion(c *Candidate, work Work) float64 {
	return c.Slowness * (work.Base + work.Mean*ExpectedWait(c, work.Ahead))
}

// Wait returns the expected wait for a slot of the leaf, in mean attempts at
// the leaf's speed. A leaf whose limit is reached is waited for in the node,
// behind the attempts ahead.
func ExpectedWait(c *Candidate, ahead int) float64 {
	if c.Full() {
		return float64(ahead+1) / float64(max(c.Limit, 1))
	}
	return Queue(float64(c.InFlight)+c.Others, c.Slots)
}

// Queue returns the expected wait for a slot, in mean attempts, on a leaf with
// the given number of attempts. The number is an estimate, so the wait rises
// smoothly from zero before the slots are used up.
func Queue(attempts float64, slots int) float64 {
	size := float64(slots)
	excess := attempts + 1 - size
	if excess >= 1 {
		return excess / size
	}
	if excess <= -1 {
		return 0
	}
	// The parabola that meets both lines with their slopes.
	return (excess + 1) * (excess + 1) / 4 / size
}
