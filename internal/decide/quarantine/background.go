package quarantine

import (
	"math"
	"time"
)

const (
	// serviceHalfLife and globalHalfLife are the half-lives of the weight of an attempt in the
	// counts of its service, and in those of all services. A fault that crashes leaves of many
	// services crashes them within a short time. Without the global counts, a request that ran
	// concurrently with one that crashed all leaves was held: over serviceHalfLife only 0.14 to
	// 0.21 of the attempts had crashed a leaf.
	serviceHalfLife = 30 * time.Second
	globalHalfLife  = time.Second
	// minDecayStep is the minimum time between two updates of a weight, as a fraction of the
	// half-life. A step of this size changes a weight by less than 4 %.
	minDecayStep = 0.05
	// priorCrashes and priorAttempts are the prior of the crash rate: one attempt in 20 crashes its
	// leaf. The estimate never falls below the prior. Two trials at the prior rate reach odds of
	// 400, above Config.MinOdds.
	priorCrashes, priorAttempts = 0.5, 10
)

// BackgroundRate tracks how often attempts crash their leaf regardless of the request: per service,
// and over all services in the last few seconds. It is not safe for concurrent use.
type BackgroundRate struct {
	services []decayedCounts
	global   decayedCounts
	// suspected holds the part of global that belongs to each suspected request.
	suspected map[Content]*decayedCounts
}

// decayedCounts counts attempts with exponentially decaying weights.
type decayedCounts struct {
	crashed, answered float64
	decayedAt         time.Duration
}

// decay brings the weights up to date.
func (c *decayedCounts) decay(now, halfLife time.Duration) {
	age := (now - c.decayedAt).Seconds() / halfLife.Seconds()
	if age < minDecayStep {
		return
	}
	factor := math.Exp2(-age)
	c.crashed *= factor
	c.answered *= factor
	c.decayedAt = now
}

func (c *decayedCounts) add(now, halfLife time.Duration, crashed bool) {
	c.decay(now, halfLife)
	if crashed {
		c.crashed++
		return
	}
	c.answered++
}

// crashChance returns the probability that an attempt crashes its leaf, estimated from the counts
// and the prior.
func crashChance(crashed, answered float64) float64 {
	return max((crashed+priorCrashes)/(crashed+answered+priorAttempts), priorCrashes/priorAttempts)
}

// Add records an attempt at a service that crashed its leaf or was answered. Attempts of suspected
// requests do not count for the service.
func (b *BackgroundRate) Add(now time.Duration, content Content, suspected bool, service int, crashed bool) {
	b.global.add(now, globalHalfLife, crashed)
	if suspected {
		b.suspectedCounts(now, content).add(now, globalHalfLife, crashed)
		return
	}
	b.serviceCounts(now, service).add(now, serviceHalfLife, crashed)
}

// CrashChance returns the probability, from 0.05 to 1, that an attempt at a service crashes its
// leaf now regardless of the request: the higher of the service's rate and the global rate.
// Attempts of the request itself do not count for the global rate.
func (b *BackgroundRate) CrashChance(now time.Duration, content Content, service int) float64 {
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

func (b *BackgroundRate) serviceCounts(now time.Duration, service int) *decayedCounts {
	for service >= len(b.services) {
		b.services = append(b.services, decayedCounts{decayedAt: now})
	}
	return &b.services[service]
}

// suspectedCounts returns the recent attempts of a suspected request. If too many requests are
// tracked, it drops the counts of all of them. They then count as attempts of other requests for
// about a second, which can only cause one more trial of a request.
func (b *BackgroundRate) suspectedCounts(now time.Duration, content Content) *decayedCounts {
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

// maxSuspectedRequests bounds the suspected requests that are counted separately. There are rarely
// more within a second, and 256 of them take a few KB.
const maxSuspectedRequests = 256
