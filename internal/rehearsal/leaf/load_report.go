package leaf

import (
	"sync"
	"time"

	protocol "github.com/micaplank/micaplank/internal/leaf"
)

// sampleEvery is how often the load is sampled for lagging reports.
const sampleInterval = 10 * time.Millisecond

// keptSamples bounds the lag that a report can have to about a minute.
const maximumSamples = 6000

// reporter reports the leaf's load, truly or not.
type loadReporter struct {
	server  *Server
	mutex   sync.Mutex
	samples []loadSample
}

type loadSample struct {
	takenAt time.Time
	summary protocol.LoadSummary
}

// summary returns the load as the leaf reports it.
func (r *loadReporter) summary() protocol.LoadSummary {
	faults := r.server.faults.get()
	if faults.ReportFixed != nil {
		return *faults.ReportFixed
	}
	summary := r.actualLoad()
	if faults.ReportLagMilliseconds > 0 {
		lag := time.Duration(faults.ReportLagMilliseconds) * time.Millisecond
		summary = r.sampleAt(time.Now().Add(-lag), summary)
	}
	summary.SlotsBusy = scaleCount(summary.SlotsBusy, faults.ReportScale)
	summary.Queue = scaleCount(summary.Queue, faults.ReportScale)
	if faults.ReportState != "" {
		summary.State = faults.ReportState
	}
	return summary
}

func scaleCount(number int, factor float64) int { return int(float64(number)*factor + 0.5) }

// truth returns the load as it is.
func (r *loadReporter) actualLoad() protocol.LoadSummary {
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
func (r *loadReporter) sampleAt(moment time.Time, fallback protocol.LoadSummary) protocol.LoadSummary {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for i := len(r.samples) - 1; i >= 0; i-- {
		if !r.samples[i].takenAt.After(moment) {
			return r.samples[i].summary
		}
	}
	if len(r.samples) > 0 {
		return r.samples[0].summary
	}
	return fallback
}

// sample records the load, if reports lag.
func (r *loadReporter) recordSample(now time.Time) {
	if r.server.faults.get().ReportLagMilliseconds == 0 {
		return
	}
	current := loadSample{takenAt: now, summary: r.actualLoad()}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.samples) == maximumSamples {
		r.samples = append([]loadSample(nil), r.samples[maximumSamples/2:]...)
	}
	r.samples = append(r.samples, current)
}
