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
	serviceHalfLife = 30 * time.Second
	globalHalfLife  = time.Second
	// weightStep is the least time after which weights are brought up to date, as a
	// part of the time in which they halve. Not measured: chosen because it changes a
	// weight by less than 4 %.
	minDecayStep = 0.05
	// priorCrashes and priorRuns are what is assumed without runs: one run in 20 crashes
	// its leaf. The share never counts as less. Not measured: chosen because two trials
	// then reach the odds of 100.
	priorCrashes, priorAttempts = 0.5, 10
)

// Background counts how often runs crash their leaf, whatever the request: at each
// service, and anywhere in the last moment. It is not safe for concurrent use.
type Background struct {
	services []decayedCounts
	global   decayedCounts
	// suspects are the runs of the moment by request, of those that are suspected.
	suspected map[Content]*decayedCounts
}

// runs are some runs, weighted by age.
type decayedCounts struct {
	crashed, answered float64
	decayedAt         time.Duration
}

// age brings the weights up to date.
func (r *decayedCounts) decay(now, halfLife time.Duration) {
	age := (now - r.decayedAt).Seconds() / halfLife.Seconds()
	if age < minDecayStep {
		return
	}
	factor := math.Exp2(-age)
	r.crashed *= factor
	r.answered *= factor
	r.decayedAt = now
}

func (r *decayedCounts) add(now, halfLife time.Duration, crashed bool) {
	r.decay(now, halfLife)
	if crashed {
		r.crashed++
		return
	}
	r.answered++
}

// chance returns how likely a run crashes its leaf.
func crashChance(crashed, answered float64) float64 {
	return max((crashed+priorCrashes)/(crashed+answered+priorAttempts), priorCrashes/priorAttempts)
}

// Add takes in a run at a service that crashed its leaf, or was answered. One of a
// suspected request says nothing of the service.
func (b *Background) Add(now time.Duration, content Content, suspected bool, service int, crashed bool) {
	b.global.add(now, globalHalfLife, crashed)
	if suspected {
		b.suspectedCounts(now, content).add(now, globalHalfLife, crashed)
		return
	}
	b.serviceCounts(now, service).add(now, serviceHalfLife, crashed)
}

// Chance returns how likely a run at a service crashes its leaf now, whatever the
// request, from 0.05 to 1: by what is usual there, or by the moment, if that is more.
// Runs of the request itself do not count.
func (b *Background) Chance(now time.Duration, content Content, service int) float64 {
	atService := b.serviceCounts(now, service)
	atService.decay(now, serviceHalfLife)
	b.global.decay(now, globalHalfLife)
	own := decayedCounts{}
	if counts, ok := b.suspected[content]; ok {
		counts.decay(now, globalHalfLife)
		own = *counts
	}
	globalChance := crashChance(max(b.global.crashed-own.crashed, 0), max(b.global.answered-own.answered, 0))
	return max(crashChance(atService.crashed, atService.answered), globalChance)
}

func (b *Background) serviceCounts(now time.Duration, service int) *decayedCounts {
	for service >= len(b.services) {
		b.services = append(b.services, decayedCounts{decayedAt: now})
	}
	return &b.services[service]
}

// suspectOf returns the runs of a request in the moment. Those of all are forgotten
// where there are many: then they count as runs of others for a moment, which only has a
// request tried once more.
func (b *Background) suspectedCounts(now time.Duration, content Content) *decayedCounts {
	counts, ok := b.suspected[content]
	if ok {
		return counts
	}
	if b.suspected == nil || len(b.suspected) >= maxSuspectedRequests {
		b.suspected = make(map[Content]*decayedCounts)
	}
	counts = &decayedCounts{decayedAt: now}
	b.suspected[content] = counts
	return counts
}

// maxSuspects bounds the suspected requests whose runs are told apart. Not measured:
// chosen because a moment seldom has more, and so many take some KB.
const maxSuspectedRequests = 256
