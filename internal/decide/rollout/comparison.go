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
	leastFailing = 0.01
	leastSlowing = 0.1
	// leastOvertaken is the same of first attempts that a later one overtook, which are
	// answered all the same. With 0.1, a version 1.3 times slower was taken back in up to
	// 12 of 100 plays, with 0.15 in 2; one that is four times slower for three in ten in
	// 98 to 100, and with 0.25 in 67 to 69.
	leastOvertaken = 0.15
	// slowQuantile, slowFactor and slowFloor say what is slow: longer than the quantile of
	// the control times the factor, and longer by the floor, which is the way to another
	// zone and back. Not measured by themselves: see the plays of the package comment.
	slowQuantile = 0.9
	slowFactor   = 1.5
	slowFloor    = 10 * time.Millisecond
	// priorBad and priorGood are the parameters of the Beta distribution of a rate before
	// anything was counted: one in ten, with the weight of five attempts. Not measured:
	// chosen because few attempts then outweigh it.
	priorBad  = 0.5
	priorGood = 4.5
)

// certainty is how strong the evidence must be that a target is bad, as a Bayes factor. A
// version that is as good as the control reaches a factor at any time with a probability
// below its inverse (the inequality of Ville).
type certainty struct {
	// all is of all attempts, and rest of those without the worst zone or leaf.
	all, rest float64
}

var (
	// certain takes a version back at any time.
	certain = certainty{all: 1000, rest: 20}
	// doubtful keeps a version from getting all traffic, and ends that. It is looked at
	// a few times only; what is not seen then costs full exposure.
	doubtful = certainty{all: 20, rest: 3}
)

// rate is how many of some attempts were bad.
type rate struct{ bad, asked float64 }

func (r rate) share() float64 { return r.bad / max(r.asked, 1) }

// worse reports whether a rate is higher than another by at least some share, and
// not by chance.
func worse(target, control rate, least, factor float64) bool {
	return target.share()-control.share() >= least && logFactor(target, control) >= math.Log(factor)
}

// logFactor returns the logarithm of the Bayes factor of "each has a rate of its
// own" against "both have the same".
func logFactor(a, b rate) float64 {
	both := rate{bad: a.bad + b.bad, asked: a.asked + b.asked}
	return a.evidence() + b.evidence() - both.evidence()
}

// evidence is the logarithm of the probability of the counts under the prior.
func (r rate) evidence() float64 {
	return logBeta(priorBad+r.bad, priorGood+r.asked-r.bad) - logBeta(priorBad, priorGood)
}

func logBeta(a, b float64) float64 {
	first, _ := math.Lgamma(a)
	second, _ := math.Lgamma(b)
	both, _ := math.Lgamma(a + b)
	return first + second - both
}

// sample is what was counted on one route of a service.
type sample struct {
	control Counts
	// controlAt holds the same by leaf.
	controlAt map[place]*Counts
	// target holds the counts of the target by leaf.
	target map[place]*Counts
	// stale holds what of target was counted before a leaf was last out of use: what was
	// good of that says nothing for the version any more (see judgement.dropStale).
	stale map[place]*Counts
}

// place is a leaf, and where it is.
type place struct{ zone, leaf string }

func newSample() *sample {
	return &sample{controlAt: make(map[place]*Counts), target: make(map[place]*Counts), stale: make(map[place]*Counts)}
}

// add takes in the counts of one node on one subject.
func (s *sample) add(subject Subject, counts *Counts) {
	leaves := s.target
	if !subject.Target {
		s.control.add(counts)
		leaves = s.controlAt
	}
	at := place{zone: subject.Zone, leaf: subject.Leaf}
	known, found := leaves[at]
	if !found {
		known = &Counts{}
		leaves[at] = known
	}
	known.add(counts)
}

// since returns what was counted after an earlier state; all of it without one.
func (s *sample) since(earlier *sample) *sample {
	if earlier == nil {
		earlier = newSample()
	}
	left := &sample{
		control:   s.control,
		controlAt: leftOf(s.controlAt, earlier.controlAt),
		target:    leftOf(s.target, earlier.target),
		stale:     leftOf(s.stale, earlier.target),
	}
	left.control.subtract(&earlier.control)
	return left
}

// leftOf returns counts by leaf without those of an earlier state.
func leftOf(counted, earlier map[place]*Counts) map[place]*Counts {
	left := make(map[place]*Counts, len(counted))
	for at, counts := range counted {
		copied := *counts
		if former, found := earlier[at]; found {
			copied.subtract(former)
		}
		left[at] = &copied
	}
	return left
}

// bad says why the target is bad on the route; empty if nothing shows that.
func (s *sample) bad(how certainty) string {
	if target, control, found := s.failures().compare(leastFailing, how); found {
		return fmt.Sprintf("failed %.0f of %.0f attempts, the other version %.0f of %.0f", target.bad, target.asked, control.bad, control.asked)
	}
	if target, control, found := s.overtaken().compare(leastOvertaken, how); found {
		return fmt.Sprintf("was overtaken by a later attempt in %.0f of %.0f first ones, the other version in %.0f of %.0f",
			target.bad, target.asked, control.bad, control.asked)
	}
	limit, known := s.slowBucket()
	if !known {
		return ""
	}
	slows := s.slowRates(func(counts *Counts) rate {
		return rate{bad: float64(counts.Took.above(limit)), asked: float64(counts.Took.total())}
	})
	if target, control, found := slows.compare(leastSlowing, how); found {
		return fmt.Sprintf("took over %s in %.0f of %.0f attempts, the other version in %.0f of %.0f",
			bucketEnd(limit).Round(time.Millisecond), target.bad, target.asked, control.bad, control.asked)
	}
	return ""
}

// failures are the rates of attempts that brought no answer.
func (s *sample) failures() rates {
	return s.rates(func(counts *Counts) rate {
		return rate{bad: float64(counts.Failed), asked: float64(counts.asked())}
	})
}

// overtaken are the rates of first attempts that a later one overtook. A slow version
// shows there first: its times are those until the answer of the hedge.
func (s *sample) overtaken() rates {
	return s.slowRates(func(counts *Counts) rate {
		return rate{bad: float64(counts.Overtaken), asked: float64(counts.First)}
	})
}

// slowRates returns rates of slowness, of the control without its worst leaf: one that is
// deaf or slow for a time takes a share of the attempts that hides a slow version. With
// three leaves of which one is deaf, a version four times slower was taken back in 49 to
// 96 of 100 plays with that leaf counted.
func (s *sample) slowRates(of func(*Counts) rate) rates {
	made := s.rates(of)
	leaves := make(map[string]rate, len(s.controlAt))
	for at, counts := range s.controlAt {
		leaves[at.leaf] = leaves[at.leaf].plus(of(counts))
	}
	if rest, some := withoutWorst(leaves, made.control); some {
		made.control = rest
	}
	return made
}

// slowBucket returns the bucket above which an attempt is slow; false while too
// little is known of the other version.
func (s *sample) slowBucket() (int, bool) {
	bucket, known := s.usualBucket()
	if !known {
		return 0, false
	}
	usual := bucketEnd(bucket)
	return min(bucketOf(max(time.Duration(slowFactor*float64(usual)), usual+slowFloor)), buckets-2), true
}

// usualBucket returns the bucket of the quantile slowQuantile of the other version, without
// the leaf that makes it longest: beside one that is deaf for a time, nothing would be
// slow. It is false while too little is known.
func (s *sample) usualBucket() (int, bool) {
	usual, known := s.control.Took.quantile(slowQuantile)
	for _, counts := range s.controlAt {
		rest := s.control
		rest.subtract(counts)
		if bucket, enough := rest.Took.quantile(slowQuantile); enough && bucket < usual {
			usual = bucket
		}
	}
	return usual, known
}

// quantile returns the bucket of a quantile; false if it is one of too few.
func (h *Histogram) quantile(share float64) (int, bool) {
	total := h.total()
	if total < leastForQuantile {
		return 0, false
	}
	bucket := 0
	for float64(total-h.above(bucket)) < share*float64(total) {
		bucket++
	}
	return bucket, true
}

// leastForQuantile is how many attempts a quantile is taken of at least. Not measured:
// chosen because a 0.9 quantile of fewer is the slowest of them.
const leastForQuantile = 10

// rates are the rates of one kind on a route.
type rates struct {
	control rate
	target  map[place]rate
}

func (s *sample) rates(of func(*Counts) rate) rates {
	made := rates{control: of(&s.control), target: make(map[place]rate, len(s.target))}
	for at, counts := range s.target {
		counted := of(counts)
		if stale, found := s.stale[at]; found {
			former := of(stale)
			counted.asked -= former.asked - former.bad
		}
		made.target[at] = counted
	}
	return made
}

// compare reports whether the target is worse, also without the zone of its leaves
// with most bad attempts, or without that leaf if all are in one zone: a leaf or a
// zone that is in trouble is no fault of the version.
func (r rates) compare(least float64, how certainty) (target, control rate, found bool) {
	target, rest, some := r.ofTarget()
	if !worse(target, r.control, least, how.all) {
		return target, r.control, false
	}
	return target, r.control, !some || worse(rest, r.control, least, how.rest)
}

// ofTarget returns the rate of the target, and that without its worst zone, or leaf;
// some is false if all attempts are of one leaf.
func (r rates) ofTarget() (whole, rest rate, some bool) {
	byZone, byLeaf := make(map[string]rate), make(map[string]rate)
	for at, one := range r.target {
		whole = whole.plus(one)
		byZone[at.zone] = byZone[at.zone].plus(one)
		byLeaf[at.leaf] = byLeaf[at.leaf].plus(one)
	}
	if rest, some = withoutWorst(byZone, whole); !some {
		rest, some = withoutWorst(byLeaf, whole)
	}
	return whole, rest, some
}

func (r rate) plus(other rate) rate {
	return rate{bad: r.bad + other.bad, asked: r.asked + other.asked}
}

// withoutWorst takes the part with most bad attempts out of a whole; false if all
// attempts are of one part.
func withoutWorst(parts map[string]rate, whole rate) (rate, bool) {
	worst := rate{bad: -1}
	asked := 0
	for _, part := range parts {
		if part.asked == 0 {
			continue
		}
		asked++
		if part.bad > worst.bad || part.bad == worst.bad && part.asked < worst.asked {
			worst = part
		}
	}
	return rate{bad: whole.bad - worst.bad, asked: whole.asked - worst.asked}, asked > 1
}
