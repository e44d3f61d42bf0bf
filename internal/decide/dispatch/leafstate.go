package dispatch

import (
	"net/netip"
	"time"

	"github.com/micaplank/micaplank/internal/decide/limit"
	"github.com/micaplank/micaplank/internal/decide/replica"
	"github.com/micaplank/micaplank/internal/leaf"
)

const (
	othersWeight     = 0.1                    // least weight of one report in the mean of others
	othersMeanMemory = 200 * time.Millisecond // time constant of that mean
	lastReportMemory = 50 * time.Millisecond  // time constant of the last report
	latencyWeight    = 0.1                    // of one reply in the mean latency
	defaultSlots     = 2                      // of a leaf that names none
	maximumBoots     = 8                      // boot ids remembered for each leaf
)

// leafState is what the Dispatcher knows of one leaf.
type leafState struct {
	address    netip.AddrPort
	zone       string
	near       bool
	usable     bool   // says the topology
	standby    bool   // says the topology
	canary     bool   // says the topology
	warmAt     Time   // says the topology
	listedBoot string // incarnation, says the topology
	listedIn   uint64 // number of the last topology that has it
	unlistedAt Time
	holdings   []leaf.Holding
	slots      int
	// boots lists the boot ids seen, the current one last; drained lists
	// those that said they drain.
	boots, drained []string
	gone           []goneHolding

	groups  []*group
	running []int32 // attempts whose end was not reported, by table slot

	limiter    limit.Limiter
	speed      replica.Speed
	latency    float64
	meanWork   float64 // mean base of its attempts, in seconds; zero without one
	failures   int
	losses     replica.Losses
	heldUntil  Time
	warmup     warmup
	recovering bool // the last reply was not slow
	lastSent   Time
	// waiting is the work that waits for the leaf, as the time that it takes
	// in one slot of an ordinary leaf. It is whole, so that what is added and
	// taken away leaves nothing behind.
	waiting perClass[time.Duration]
	sent    perClass[meter]

	// others is the number of attempts of other nodes in the last report;
	// othersMean and othersLong are its means over a short and a long time.
	others, othersMean, othersLong float64
	othersAt                       Time
	estimated                      float64 // estimateOthers at estimatedAt
	estimatedAt                    Time
	// pace is that of the last report that told one, in percent of the usual.
	pace int
	// overdue is the sum of replica.Overdue over the attempts at overdueAt, or
	// unknown. Attempts that start do not change it, those that end do.
	overdue   float64
	overdueAt Time
}

// unknown is no time.
const unknown Time = -1

// takesWork reports whether the leaf may get new work at all.
func (l *leafState) takesWork() bool {
	return l.usable && !l.draining()
}

// slowness estimates how slow the leaf is, with the attempts that it still
// runs.
func (d *Dispatcher) slowness(l *leafState) float64 {
	if l.overdueAt != d.now {
		l.overdue = 0
		for _, slot := range l.running {
			entry := &d.attempts.slots[slot]
			l.overdue += replica.Overdue((d.now - entry.sentAt).Seconds() / entry.expected)
		}
		l.overdueAt = d.now
	}
	return l.speed.Slowness(l.overdue)
}
