package dispatch

import (
	"net/netip"
	"time"

	"github.com/micaplank/micaplank/internal/decide/limit"
	"github.com/micaplank/micaplank/internal/decide/replica"
	"github.com/micaplank/micaplank/internal/leaf"
)

// leafState is the Dispatcher's state of a leaf.
type leafState struct {
	listing
	incarnations
	missing []missingHolding // holdings that the leaf refused
	groups  []*replicaGroup
	running []int32 // table slots of the attempts whose end has not been reported

	limiter     limit.Limiter
	speed       replica.SlownessEstimator
	overdue     overdueSum
	meanLatency float64 // of its replies, in seconds; zero before the first reply
	// meanWork is the mean of the service times of its attempts, in seconds; zero before the first
	// attempt.
	meanWork    float64
	losses      replica.LossEstimator
	loadReports loadReports
	backoff     backoff
	down        bool // the address refused the newest connection
	warmup      warmup
	probation   probation
	// waitingWork is the work that waits for the leaf, as the time that it takes in one slot of an
	// ordinary leaf. A whole number of nanoseconds has no rounding error, so that equal additions
	// and subtractions cancel out.
	waitingWork perClass[time.Duration]
	sentWork    perClass[meter]
}

// listing is the topology's entry of a leaf.
type listing struct {
	address          netip.AddrPort
	zone             string
	sameZone         bool // in the zone of the node
	usable           bool
	standby          bool
	canary           bool
	warmAt           Time
	listedBoot       string
	slots            int
	holdings         []leaf.Holding
	listedGeneration uint64 // generation of the last topology that lists it
	unlistedAt       Time
}

// probation is the state that decides when a slow leaf gets a probe.
type probation struct {
	recovering bool // the last reply was not slow
	lastSent   Time // of any attempt
}

// overdueSum caches the sum of replica.Overdue over the running attempts at a time, or noTime. The
// start of an attempt does not change the sum, the end of an attempt invalidates it.
type overdueSum struct {
	sum float64
	at  Time
}

// noTime marks an invalid overdueSum.
const noTime Time = -1

// acceptsWork reports whether the leaf may get new work.
func (l *leafState) acceptsWork() bool {
	return l.usable && !l.draining()
}

// latencyWeight is the weight of a reply in the mean latency, which is shown to operators and
// decides nothing.
const latencyWeight = 0.1

// recordLatency adds the latency of a reply to the mean.
func (l *leafState) recordLatency(latency time.Duration) {
	if l.meanLatency == 0 {
		l.meanLatency = latency.Seconds()
	}
	l.meanLatency += latencyWeight * (latency.Seconds() - l.meanLatency)
}

// slowness estimates how slow the leaf is, including the attempts that still run on it.
func (d *Dispatcher) slowness(l *leafState) float64 {
	if l.overdue.at != d.now {
		l.overdue.sum = 0
		for _, slot := range l.running {
			entry := &d.attempts.slots[slot]
			l.overdue.sum += replica.Overdue((d.now - entry.sentAt).Seconds() / entry.expectedTime)
		}
		l.overdue.at = d.now
	}
	return l.speed.Slowness(l.overdue.sum)
}
