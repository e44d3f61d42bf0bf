package rollout

import (
	"fmt"
	"math"
	"time"
)

const (
	// minFailureIncrease and minSlowIncrease are the minimum increases of the failure rate and of
	// the rate of slow attempts that count as a regression. A smaller increase does not justify a
	// rollback.
	minFailureIncrease = 0.01
	minSlowIncrease    = 0.1
	// minOvertakenIncrease is the same for first attempts that a later attempt overtook, which are
	// answered nevertheless. In simulations of 100 rollouts a limit of 0.15 rolled back 2 versions
	// that take 1.3 times as long, and 98 to 100 that take four times as long for three in ten
	// attempts; a limit of 0.1 rolled back up to 12 of those that take 1.3 times as long, and a
	// limit of 0.25 only 67 to 69 of those that take four times as long.
	minOvertakenIncrease = 0.15
	// slowQuantile, slowFactor and slowMargin define a slow attempt: it takes longer than this
	// quantile of the control multiplied by the factor, and exceeds the quantile by the margin,
	// which is the round trip to another zone.
	slowQuantile = 0.9
	slowFactor   = 1.5
	slowMargin   = 10 * time.Millisecond
	// priorBad and priorGood are the parameters of the Beta prior of a rate: one bad attempt in
	// ten, with the weight of five attempts, which a few observed attempts outweigh.
	priorBad  = 0.5
	priorGood = 4.5
)

// thresholds is the evidence that is required against a target, as a Bayes factor. For a version
// that is as good as the control, the probability of ever reaching a factor is below the inverse of
// that factor (Ville's inequality).
type thresholds struct {
	// all applies to all attempts, and rest to the attempts without the worst zone or leaf.
	all, rest float64
}

var (
	// rollbackThresholds rolls a version back at any time.
	rollbackThresholds = thresholds{all: 1000, rest: 20}
	// shiftThresholds prevents a version from getting all traffic, and ends a shift. It is lower
	// because it is evaluated only a few times, and because a regression that stays undetected then
	// reaches all requests.
	shiftThresholds = thresholds{all: 20, rest: 3}
)

// rate counts attempts, and the bad ones among them.
type rate struct{ bad, attempts float64 }

func (r rate) share() float64 { return r.bad / max(r.attempts, 1) }

// isWorse reports whether the target's share of bad attempts exceeds the control's by at least
// minDifference, with a Bayes factor of at least the given factor.
func isWorse(target, control rate, minDifference, factor float64) bool {
	return target.share()-control.share() >= minDifference && logBayesFactor(target, control) >= math.Log(factor)
}

// logBayesFactor returns the logarithm of the Bayes factor of the hypothesis that the rates differ
// against the hypothesis that they are equal.
func logBayesFactor(a, b rate) float64 {
	pooled := rate{bad: a.bad + b.bad, attempts: a.attempts + b.attempts}
	return a.logMarginalLikelihood() + b.logMarginalLikelihood() - pooled.logMarginalLikelihood()
}

// logMarginalLikelihood returns the logarithm of the probability of the counts under the prior.
func (r rate) logMarginalLikelihood() float64 {
	return logBeta(priorBad+r.bad, priorGood+r.attempts-r.bad) - logBeta(priorBad, priorGood)
}

// logBeta returns the logarithm of the Beta function.
func logBeta(a, b float64) float64 {
	logGammaA, _ := math.Lgamma(a)
	logGammaB, _ := math.Lgamma(b)
	logGammaSum, _ := math.Lgamma(a + b)
	return logGammaA + logGammaB - logGammaSum
}

// sample holds the counts of one route of a service.
type sample struct {
	control Counts
	// controlByLeaf holds the counts of the control by leaf.
	controlByLeaf map[leafKey]*Counts
	// targetByLeaf holds the counts of the target by leaf.
	targetByLeaf map[leafKey]*Counts
	// stale holds the part of targetByLeaf that was counted before a leaf was last out of use. Its
	// good attempts are no longer evidence for the version (see evaluation.markStale).
	stale map[leafKey]*Counts
}

// leafKey identifies a leaf and its zone.
type leafKey struct{ zone, leaf string }

func newSample() *sample {
	return &sample{controlByLeaf: make(map[leafKey]*Counts), targetByLeaf: make(map[leafKey]*Counts), stale: make(map[leafKey]*Counts)}
}

// add adds the counts of one node for a subject.
func (s *sample) add(subject Subject, counts *Counts) {
	byLeaf := s.targetByLeaf
	if !subject.Target {
		s.control.add(counts)
		byLeaf = s.controlByLeaf
	}
	key := leafKey{zone: subject.Zone, leaf: subject.Leaf}
	total, ok := byLeaf[key]
	if !ok {
		total = &Counts{}
		byLeaf[key] = total
	}
	total.add(counts)
}

// diff returns the counts since an earlier sample; all counts if earlier is nil.
func (s *sample) diff(earlier *sample) *sample {
	if earlier == nil {
		earlier = newSample()
	}
	difference := &sample{
		control:       s.control,
		controlByLeaf: subtractByLeaf(s.controlByLeaf, earlier.controlByLeaf),
		targetByLeaf:  subtractByLeaf(s.targetByLeaf, earlier.targetByLeaf),
		stale:         subtractByLeaf(s.stale, earlier.targetByLeaf),
	}
	difference.control.subtract(&earlier.control)
	return difference
}

// subtractByLeaf returns the counts by leaf since an earlier state.
func subtractByLeaf(counted, earlier map[leafKey]*Counts) map[leafKey]*Counts {
	difference := make(map[leafKey]*Counts, len(counted))
	for key, counts := range counted {
		copied := *counts
		if previous, ok := earlier[key]; ok {
			copied.subtract(previous)
		}
		difference[key] = &copied
	}
	return difference
}

// describeRegression describes why the target is worse on the route; empty if there is no evidence.
func (s *sample) describeRegression(limits thresholds) string {
	if target, control, regressed := s.failureRates().compare(minFailureIncrease, limits); regressed {
		return fmt.Sprintf("failed %.0f of %.0f attempts, the other version %.0f of %.0f", target.bad, target.attempts, control.bad, control.attempts)
	}
	if target, control, regressed := s.overtakenRates().compare(minOvertakenIncrease, limits); regressed {
		return fmt.Sprintf("was overtaken by a later attempt in %.0f of %.0f first ones, the other version in %.0f of %.0f",
			target.bad, target.attempts, control.bad, control.attempts)
	}
	bucket, ok := s.slowThresholdBucket()
	if !ok {
		return ""
	}
	slowness := s.slownessRates(func(counts *Counts) rate {
		return rate{bad: float64(counts.Took.countAbove(bucket)), attempts: float64(counts.Took.total())}
	})
	if target, control, regressed := slowness.compare(minSlowIncrease, limits); regressed {
		return fmt.Sprintf("took over %s in %.0f of %.0f attempts, the other version in %.0f of %.0f",
			bucketEnd(bucket).Round(time.Millisecond), target.bad, target.attempts, control.bad, control.attempts)
	}
	return ""
}

// failureRates returns the rates of attempts without an answer.
func (s *sample) failureRates() rateComparison {
	return s.measureRates(func(counts *Counts) rate {
		return rate{bad: float64(counts.Failed), attempts: float64(counts.attempts())}
	})
}

// overtakenRates returns the rates of first attempts that a later attempt overtook. A slow version
// shows there first, because an overtaken attempt is recorded with the time until the answer of the
// hedge.
func (s *sample) overtakenRates() rateComparison {
	return s.slownessRates(func(counts *Counts) rate {
		return rate{bad: float64(counts.Overtaken), attempts: float64(counts.First)}
	})
}

// slownessRates returns rates of slow attempts, with the control reduced by its worst leaf. A leaf
// of the control that is unresponsive or slow for a time would otherwise raise the control's rate
// and hide a slow version. With one of three leaves unresponsive, a version four times slower was
// rolled back in only 49 to 96 of 100 simulations without this reduction.
func (s *sample) slownessRates(measure func(*Counts) rate) rateComparison {
	result := s.measureRates(measure)
	byLeaf := make(map[string]rate, len(s.controlByLeaf))
	for key, counts := range s.controlByLeaf {
		byLeaf[key.leaf] = byLeaf[key.leaf].add(measure(counts))
	}
	if rest, ok := excludeWorst(byLeaf, result.control); ok {
		result.control = rest
	}
	return result
}

// slowThresholdBucket returns the bucket above which an attempt is slow; false while the control
// has too few attempts.
func (s *sample) slowThresholdBucket() (int, bool) {
	bucket, ok := s.controlQuantileBucket()
	if !ok {
		return 0, false
	}
	quantileTime := bucketEnd(bucket)
	return min(bucketIndex(max(time.Duration(slowFactor*float64(quantileTime)), quantileTime+slowMargin)), bucketCount-2), true
}

// controlQuantileBucket returns the bucket of slowQuantile of the control's durations, without the
// leaf that raises it the most: an unresponsive leaf would otherwise raise the limit so far that no
// attempt is slow. It returns false while the control has too few attempts.
func (s *sample) controlQuantileBucket() (int, bool) {
	lowest, ok := s.control.Took.quantile(slowQuantile)
	for _, counts := range s.controlByLeaf {
		rest := s.control
		rest.subtract(counts)
		if bucket, enough := rest.Took.quantile(slowQuantile); enough && bucket < lowest {
			lowest = bucket
		}
	}
	return lowest, ok
}

// quantile returns the bucket of a quantile; false if the histogram has too few attempts.
func (h *Histogram) quantile(fraction float64) (int, bool) {
	total := h.total()
	if total < minAttemptsForQuantile {
		return 0, false
	}
	bucket := 0
	for float64(total-h.countAbove(bucket)) < fraction*float64(total) {
		bucket++
	}
	return bucket, true
}

// minAttemptsForQuantile is the minimum number of attempts for a quantile. Of fewer attempts, the
// 0.9 quantile is the slowest one.
const minAttemptsForQuantile = 10

// rateComparison holds the rates of one kind of bad attempt on a route.
type rateComparison struct {
	control      rate
	targetByLeaf map[leafKey]rate
}

// measureRates applies measure to the counts of the control and of each leaf of the target. It
// excludes the good attempts that are stale.
func (s *sample) measureRates(measure func(*Counts) rate) rateComparison {
	result := rateComparison{control: measure(&s.control), targetByLeaf: make(map[leafKey]rate, len(s.targetByLeaf))}
	for key, counts := range s.targetByLeaf {
		measured := measure(counts)
		if stale, ok := s.stale[key]; ok {
			excluded := measure(stale)
			measured.attempts -= excluded.attempts - excluded.bad
		}
		result.targetByLeaf[key] = measured
	}
	return result
}

// compare reports whether the target is worse. The target must also be worse without the zone of
// its leaves that has the most bad attempts, or without the worst leaf if all leaves are in one
// zone, because trouble of a single zone or leaf is not caused by the version.
func (r rateComparison) compare(minDifference float64, limits thresholds) (target, control rate, regressed bool) {
	target, rest, separable := r.sumTarget()
	if !isWorse(target, r.control, minDifference, limits.all) {
		return target, r.control, false
	}
	return target, r.control, !separable || isWorse(rest, r.control, minDifference, limits.rest)
}

// sumTarget returns the rate of the target, and its rate without the worst zone or leaf. The result
// separable is false if all attempts are of one leaf.
func (r rateComparison) sumTarget() (whole, rest rate, separable bool) {
	byZone, byLeaf := make(map[string]rate), make(map[string]rate)
	for key, measured := range r.targetByLeaf {
		whole = whole.add(measured)
		byZone[key.zone] = byZone[key.zone].add(measured)
		byLeaf[key.leaf] = byLeaf[key.leaf].add(measured)
	}
	if rest, separable = excludeWorst(byZone, whole); !separable {
		rest, separable = excludeWorst(byLeaf, whole)
	}
	return whole, rest, separable
}

func (r rate) add(other rate) rate {
	return rate{bad: r.bad + other.bad, attempts: r.attempts + other.attempts}
}

// excludeWorst subtracts the part with the most bad attempts from a whole; false if all attempts
// are of one part.
func excludeWorst(parts map[string]rate, whole rate) (rate, bool) {
	worst := rate{bad: -1}
	withAttempts := 0
	for _, part := range parts {
		if part.attempts == 0 {
			continue
		}
		withAttempts++
		if part.bad > worst.bad || part.bad == worst.bad && part.attempts < worst.attempts {
			worst = part
		}
	}
	return rate{bad: whole.bad - worst.bad, attempts: whole.attempts - worst.attempts}, withAttempts > 1
}
