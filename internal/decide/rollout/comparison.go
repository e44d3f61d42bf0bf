package rollout

import (
	"fmt"
	"math"
	"time"
)

const (
	// leastFailing and leastSlowing are how much higher the rates of a bad version are at
	// least. Not measured: chosen because what is less is not worth taking a version back
	// for.
	minFailureIncrease = 0.01
	minSlowIncrease    = 0.1
	// leastOvertaken is the same of first attempts that a later one overtook, which are
	// answered all the same. With 0.1, a version 1.3 times slower was taken back in up to
	// 12 of 100 plays, with 0.15 in 2; one that is four times slower for three in ten in
	// 98 to 100, and with 0.25 in 67 to 69.
	minOvertakenIncrease = 0.15
	// slowQuantile, slowFactor and slowFloor say what is slow: longer than the quantile of
	// the control times the factor, and longer by the floor, which is the way to another
	// zone and back. Not measured by themselves: see the plays of the package comment.
	slowQuantile = 0.9
	slowFactor   = 1.5
	slowMargin   = 10 * time.Millisecond
	// priorBad and priorGood are the parameters of the Beta distribution of a rate before
	// anything was counted: one in ten, with the weight of five attempts. Not measured:
	// chosen because few attempts then outweigh it.
	priorBad  = 0.5
	priorGood = 4.5
)

// certainty is how strong the evidence must be that a target is bad, as a Bayes factor. A
// version that is as good as the control reaches a factor at any time with a probability
// below its inverse (the inequality of Ville).
type thresholds struct {
	// all is of all attempts, and rest of those without the worst zone or leaf.
	all, rest float64
}

var (
	// certain takes a version back at any time.
	rollbackThresholds = thresholds{all: 1000, rest: 20}
	// doubtful keeps a version from getting all traffic, and ends that. It is looked at
	// a few times only; what is not seen then costs full exposure.
	shiftThresholds = thresholds{all: 20, rest: 3}
)

// rate is how many of some attempts were bad.
type rate struct{ bad, attempts float64 }

func (r rate) share() float64 { return r.bad / max(r.attempts, 1) }

// worse reports whether a rate is higher than another by at least some share, and
// not by chance.
func isWorse(target, control rate, minDifference, factor float64) bool {
	return target.share()-control.share() >= minDifference && logBayesFactor(target, control) >= math.Log(factor)
}

// logFactor returns the logarithm of the Bayes factor of "each has a rate of its
// own" against "both have the same".
func logBayesFactor(a, b rate) float64 {
	pooled := rate{bad: a.bad + b.bad, attempts: a.attempts + b.attempts}
	return a.logMarginalLikelihood() + b.logMarginalLikelihood() - pooled.logMarginalLikelihood()
}

// evidence is the logarithm of the probability of the counts under the prior.
func (r rate) logMarginalLikelihood() float64 {
	return logBeta(priorBad+r.bad, priorGood+r.attempts-r.bad) - logBeta(priorBad, priorGood)
}

func logBeta(a, b float64) float64 {
	logGammaA, _ := math.Lgamma(a)
	logGammaB, _ := math.Lgamma(b)
	logGammaSum, _ := math.Lgamma(a + b)
	return logGammaA + logGammaB - logGammaSum
}

// sample is what was counted on one route of a service.
type sample struct {
	control Counts
	// controlAt holds the same by leaf.
	controlByLeaf map[leafKey]*Counts
	// target holds the counts of the target by leaf.
	targetByLeaf map[leafKey]*Counts
	// stale holds what of target was counted before a leaf was last out of use: what was
	// good of that says nothing for the version any more (see judgement.dropStale).
	stale map[leafKey]*Counts
}

// place is a leaf, and where it is.
type leafKey struct{ zone, leaf string }

func newSample() *sample {
	return &sample{controlByLeaf: make(map[leafKey]*Counts), targetByLeaf: make(map[leafKey]*Counts), stale: make(map[leafKey]*Counts)}
}

// add takes in the counts of one node on one subject.
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

// since returns what was counted after an earlier state; all of it without one.
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

// leftOf returns counts by leaf without those of an earlier state.
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

// bad says why the target is bad on the route; empty if nothing shows that.
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

// failures are the rates of attempts that brought no answer.
func (s *sample) failureRates() rateComparison {
	return s.measureRates(func(counts *Counts) rate {
		return rate{bad: float64(counts.Failed), attempts: float64(counts.attempts())}
	})
}

// overtaken are the rates of first attempts that a later one overtook. A slow version
// shows there first: its times are those until the answer of the hedge.
func (s *sample) overtakenRates() rateComparison {
	return s.slownessRates(func(counts *Counts) rate {
		return rate{bad: float64(counts.Overtaken), attempts: float64(counts.First)}
	})
}

// slowRates returns rates of slowness, of the control without its worst leaf: one that is
// deaf or slow for a time takes a share of the attempts that hides a slow version. With
// three leaves of which one is deaf, a version four times slower was taken back in 49 to
// 96 of 100 plays with that leaf counted.
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

// slowBucket returns the bucket above which an attempt is slow; false while too
// little is known of the other version.
func (s *sample) slowThresholdBucket() (int, bool) {
	bucket, ok := s.controlQuantileBucket()
	if !ok {
		return 0, false
	}
	usualTime := bucketEnd(bucket)
	return min(bucketIndex(max(time.Duration(slowFactor*float64(usualTime)), usualTime+slowMargin)), bucketCount-2), true
}

// usualBucket returns the bucket of the quantile slowQuantile of the other version, without
// the leaf that makes it longest: beside one that is deaf for a time, nothing would be
// slow. It is false while too little is known.
func (s *sample) controlQuantileBucket() (int, bool) {
	usual, ok := s.control.Took.quantile(slowQuantile)
	for _, counts := range s.controlByLeaf {
		rest := s.control
		rest.subtract(counts)
		if bucket, enough := rest.Took.quantile(slowQuantile); enough && bucket < usual {
			usual = bucket
		}
	}
	return usual, ok
}

// quantile returns the bucket of a quantile; false if it is one of too few.
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

// leastForQuantile is how many attempts a quantile is taken of at least. Not measured:
// chosen because a 0.9 quantile of fewer is the slowest of them.
const minAttemptsForQuantile = 10

// rates are the rates of one kind on a route.
type rateComparison struct {
	control      rate
	targetByLeaf map[leafKey]rate
}

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

// compare reports whether the target is worse, also without the zone of its leaves
// with most bad attempts, or without that leaf if all are in one zone: a leaf or a
// zone that is in trouble is no fault of the version.
func (r rateComparison) compare(minDifference float64, limits thresholds) (target, control rate, regressed bool) {
	target, rest, separable := r.sumTarget()
	if !isWorse(target, r.control, minDifference, limits.all) {
		return target, r.control, false
	}
	return target, r.control, !separable || isWorse(rest, r.control, minDifference, limits.rest)
}

// ofTarget returns the rate of the target, and that without its worst zone, or leaf;
// some is false if all attempts are of one leaf.
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

// withoutWorst takes the part with most bad attempts out of a whole; false if all
// attempts are of one part.
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
