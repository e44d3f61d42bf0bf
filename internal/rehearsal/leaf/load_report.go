package leaf

import (
	"sync"
	"time"

	protocol "github.com/micaplank/micaplank/internal/leaf"
)

// sampleEvery is how often the load is sampled for lagging reports.
const sampleEvery = 10 * time.Millisecond

// keptSamples bounds the lag that a report can have to about a minute.
const keptSamples = 6000

// reporter reports the leaf's load, truly or not.
type reporter struct {
	server  *Server
	mutex   sync.Mutex
	samples []sample
}

type sample struct {
	at      time.Time
	summary protocol.LoadSummary
}

// summary returns the load as the leaf reports it.
func (r *reporter) summary() protocol.LoadSummary {
	faults := r.server.faults.get()
	if faults.ReportFixed != nil {
		return *faults.ReportFixed
	}
	summary := r.truth()
	if faults.ReportLagMilliseconds > 0 {
		lag := time.Duration(faults.ReportLagMilliseconds) * time.Millisecond
		summary = r.at(time.Now().Add(-lag), summary)
	}
	summary.SlotsBusy = scale(summary.SlotsBusy, faults.ReportScale)
	summary.Queue = scale(summary.Queue, faults.ReportScale)
	if faults.ReportState != "" {
		summary.State = faults.ReportState
	}
	return summary
}

func scale(number int, factor float64) int { return int(float64(number)*factor + 0.5) }

// truth returns the load as it is.
func (r *reporter) truth() protocol.LoadSummary {
	busy, queue := r.server.slots.occupancy()
	return protocol.LoadSummary{
		State:     r.server.state(),
		SlotsBusy: busy,
		Slots:     r.server.config.Slots,
		Queue:     queue,
	}
}

// at returns the newest sample that is not younger than the moment, or the
// oldest one, or the given summary if there is none.
func (r *reporter) at(moment time.Time, otherwise protocol.LoadSummary) protocol.LoadSummary {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for i := len(r.samples) - 1; i >= 0; i-- {
		if !r.samples[i].at.After(moment) {
			return r.samples[i].summary
		}
	}
	if len(r.samples) > 0 {
		return r.samples[0].summary
	}
	return otherwise
}

// sample records the load, if reports lag.
func (r *reporter) sample(now time.Time) {
	if r.server.faults.get().ReportLagMilliseconds == 0 {
		return
	}
	taken := sample{at: now, summary: r.truth()}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.samples) == keptSamples {
		r.samples = append([]sample(nil), r.samples[keptSamples/2:]...)
	}
	r.samples = append(r.samples, taken)
}
