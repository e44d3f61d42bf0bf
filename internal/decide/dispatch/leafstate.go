package dispatch

import (
	"net/netip"
	"time"

	"github.com/micaplank/micaplank/internal/decide/limit"
	"github.com/micaplank/micaplank/internal/decide/replica"
	"github.com/micaplank/micaplank/internal/leaf"
)

// leafState is what the Dispatcher knows of one leaf.
type leafState struct {
	listing
	incarnations
	missing []missingHolding
	groups  []*replicaGroup
	running []int32 // attempts whose end was not reported, by table slot

	limiter     limit.Limiter
	speed       replica.Speed
	overdue     overdueSum
	meanLatency float64 // mean of its replies, in seconds; zero without one
	meanWork    float64 // mean base of its attempts, in seconds; zero without one
	losses      replica.Losses
	loadReports loadReports
	backoff     backoff
	down        bool // its address refused the newest connection
	warmup      warmup
	probation   probation
	// waiting is the work that waits for the leaf, as the time that it takes
	// in one slot of an ordinary leaf. It is whole, so that what is added and
	// taken away leaves nothing behind.
	waitingWork perClass[time.Duration]
	sentWork    perClass[meter]
}

// listing is what the topology says of a leaf.
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
	listedGeneration uint64 // number of the last topology that has it
	unlistedAt       Time
}

// probation is what decides when a slow leaf gets a probe.
type probation struct {
	recovering bool // the last reply was not slow
	lastSent   Time // of any attempt
}

// overdueSum is the sum of replica.Overdue over the attempts that run, as of a time, or
// unknown. Attempts that start do not change it, those that end do.
type overdueSum struct {
	sum float64
	at  Time
}

// unknown is no time.
const noTime Time = -1

// takesWork reports whether the leaf may get new work at all.
func (l *leafState) acceptsWork() bool {
	return l.usable && !l.draining()
}

// latencyWeight is the weight of one reply in the mean latency. Not measured: the mean is
// shown to operators and decides nothing.
const latencyWeight = 0.1

// learnLatency takes in the latency of a reply.
func (l *leafState) recordLatency(latency time.Duration) {
	if l.meanLatency == 0 {
		l.meanLatency = latency.Seconds()
	}
	l.meanLatency += latencyWeight * (latency.Seconds() - l.meanLatency)
}

// slowness estimates how slow the leaf is, with the attempts that it still
// runs.
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
