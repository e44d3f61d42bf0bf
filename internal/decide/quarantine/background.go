package quarantine

import (
	"math"
	"time"
)

const (
	// usualHalfLife is the time in which a run at a service loses half of its weight, and
	// momentHalfLife the same of a run anywhere: what crashes leaves of many services
	// crashes them at one moment. Without the moment, a request that ran beside one under
	// which all leaves crashed was held: over the usual time 0.14 to 0.21 of the runs had.
	usualHalfLife  = 30 * time.Second
	momentHalfLife = time.Second
	// weightStep is the least time after which weights are brought up to date, as a
	// part of the time in which they halve. Not measured: chosen because it changes a
	// weight by less than 4 %.
	weightStep = 0.05
	// priorCrashes and priorRuns are what is assumed without runs: one run in 20 crashes
	// its leaf. The share never counts as less. Not measured: chosen because two trials
	// then reach the odds of 100.
	priorCrashes, priorRuns = 0.5, 10
)

// Background counts how often runs crash their leaf, whatever the request: at each
// service, and anywhere in the last moment. It is not safe for concurrent use.
type Background struct {
	services []runs
	moment   runs
	// suspects are the runs of the moment by request, of those that are suspected.
	suspects map[Content]*runs
}

// runs are some runs, weighted by age.
type runs struct {
	crashed, answered float64
	at                time.Duration
}

// age brings the weights up to date.
func (r *runs) age(now, half time.Duration) {
	age := (now - r.at).Seconds() / half.Seconds()
	if age < weightStep {
		return
	}
	left := math.Exp2(-age)
	r.crashed *= left
	r.answered *= left
	r.at = now
}

func (r *runs) add(now, half time.Duration, crashed bool) {
	r.age(now, half)
	if crashed {
		r.crashed++
		return
	}
	r.answered++
}

// chance returns how likely a run crashes its leaf.
func chance(crashed, answered float64) float64 {
	return max((crashed+priorCrashes)/(crashed+answered+priorRuns), priorCrashes/priorRuns)
}

// Add takes in a run at a service that crashed its leaf, or was answered. One of a
// suspected request says nothing of the service.
func (b *Background) Add(now time.Duration, content Content, suspected bool, service int, crashed bool) {
	b.moment.add(now, momentHalfLife, crashed)
	if suspected {
		b.suspectOf(now, content).add(now, momentHalfLife, crashed)
		return
	}
	b.of(now, service).add(now, usualHalfLife, crashed)
}

// Chance returns how likely a run at a service crashes its leaf now, whatever the
// request, from 0.05 to 1: by what is usual there, or by the moment, if that is more.
// Runs of the request itself do not count.
func (b *Background) Chance(now time.Duration, content Content, service int) float64 {
	usual := b.of(now, service)
	usual.age(now, usualHalfLife)
	b.moment.age(now, momentHalfLife)
	own := runs{}
	if known, some := b.suspects[content]; some {
		known.age(now, momentHalfLife)
		own = *known
	}
	moment := chance(max(b.moment.crashed-own.crashed, 0), max(b.moment.answered-own.answered, 0))
	return max(chance(usual.crashed, usual.answered), moment)
}

func (b *Background) of(now time.Duration, service int) *runs {
	for service >= len(b.services) {
		b.services = append(b.services, runs{at: now})
	}
	return &b.services[service]
}

// suspectOf returns the runs of a request in the moment. Those of all are forgotten
// where there are many: then they count as runs of others for a moment, which only has a
// request tried once more.
func (b *Background) suspectOf(now time.Duration, content Content) *runs {
	known, some := b.suspects[content]
	if some {
		return known
	}
	if b.suspects == nil || len(b.suspects) >= maxSuspects {
		b.suspects = make(map[Content]*runs)
	}
	known = &runs{at: now}
	b.suspects[content] = known
	return known
}

// maxSuspects bounds the suspected requests whose runs are told apart. Not measured:
// chosen because a moment seldom has more, and so many take some KB.
const maxSuspects = 256
