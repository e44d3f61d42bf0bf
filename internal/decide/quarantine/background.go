package quarantine

import (
	"math"
	"time"
)

const (
	// usualTime is the time in which a run at a service loses half of its weight, and
	// momentTime the same of a run anywhere: what ends leaves of many services ends
	// them at one moment. A request that ran beside one under which all leaves ended
	// was held, since over the usual time only one in five runs had.
	usualTime  = 30 * time.Second
	momentTime = time.Second
	// weightStep is the least time after which weights are brought up to date, as a
	// part of the time in which they halve.
	weightStep = 0.05
	// priorEnds and priorRuns are what is taken to be known without runs: one run in 20
	// ends with its leaf. The share never counts as less.
	priorEnds, priorRuns = 0.5, 10
)

// Background counts how often runs end with their leaf, whatever the request: at each
// service, and anywhere in the last moment. It is not safe for concurrent use.
type Background struct {
	services []runs
	moment   runs
	// own are the runs of the moment by request, of those that are suspected.
	own map[Content]*runs
}

// runs are some runs, weighted by age.
type runs struct {
	ended, answered float64
	at              time.Duration
}

// age brings the weights up to date.
func (r *runs) age(now, half time.Duration) {
	age := (now - r.at).Seconds() / half.Seconds()
	if age < weightStep {
		return
	}
	left := math.Exp2(-age)
	r.ended *= left
	r.answered *= left
	r.at = now
}

func (r *runs) add(now, half time.Duration, ended bool) {
	r.age(now, half)
	if ended {
		r.ended++
		return
	}
	r.answered++
}

// chance returns how likely a run ends with its leaf.
func chance(ended, answered float64) float64 {
	return max((ended+priorEnds)/(ended+answered+priorRuns), priorEnds/priorRuns)
}

// Add notes a run at a service that ended with its leaf, or was answered. One of a
// request that is suspected says nothing of the service.
func (b *Background) Add(now time.Duration, content Content, suspected bool, service int, ended bool) {
	b.moment.add(now, momentTime, ended)
	if suspected {
		b.ownOf(now, content).add(now, momentTime, ended)
		return
	}
	b.of(now, service).add(now, usualTime, ended)
}

// Chance returns how likely a run at a service ends with its leaf now, whatever the
// request: by what is usual there, or by the moment, if that is more. Runs of the
// request itself do not count.
func (b *Background) Chance(now time.Duration, content Content, service int) float64 {
	usual := b.of(now, service)
	usual.age(now, usualTime)
	b.moment.age(now, momentTime)
	own := runs{}
	if known, some := b.own[content]; some {
		known.age(now, momentTime)
		own = *known
	}
	moment := chance(max(b.moment.ended-own.ended, 0), max(b.moment.answered-own.answered, 0))
	return max(chance(usual.ended, usual.answered), moment)
}

func (b *Background) of(now time.Duration, service int) *runs {
	for service >= len(b.services) {
		b.services = append(b.services, runs{at: now})
	}
	return &b.services[service]
}

// ownOf returns the runs of a request in the moment. Those of all are forgotten where
// there are many: then they count as runs of others for a moment, which only has a
// request tried once more.
func (b *Background) ownOf(now time.Duration, content Content) *runs {
	known, some := b.own[content]
	if some {
		return known
	}
	if b.own == nil || len(b.own) >= maxOwn {
		b.own = make(map[Content]*runs)
	}
	known = &runs{at: now}
	b.own[content] = known
	return known
}

// maxOwn bounds the suspected requests whose runs are told apart.
const maxOwn = 256
