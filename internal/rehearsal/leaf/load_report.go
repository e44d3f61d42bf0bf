package leaf

import (
	"sync"
	"time"

	protocol "github.com/micaplank/micaplank/internal/leaf"
)

// sampleInterval is the time between samples of the load for delayed reports.
const sampleInterval = 10 * time.Millisecond

// maximumSamples limits the samples kept to one minute. When the limit is reached, the older half
// is dropped, so a report can lag by between 30 and 60 s at most.
const maximumSamples = 6000

// loadReporter creates the load reports of the leaf and applies the injected faults to them.
type loadReporter struct {
	server  *Server
	mutex   sync.Mutex
	samples []loadSample
}

// loadSample is the actual load at one time.
type loadSample struct {
	takenAt time.Time
	summary protocol.LoadSummary
}

// summary returns the load to report.
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

// actualLoad returns the load without injected faults.
func (r *loadReporter) actualLoad() protocol.LoadSummary {
	busy, queue := r.server.slots.occupancy()
	return protocol.LoadSummary{
		State:     r.server.state(),
		SlotsBusy: busy,
		Slots:     r.server.config.Slots,
		Queue:     queue,
	}
}

// sampleAt returns the newest sample taken at or before the moment. If there is none it returns the
// oldest sample, or the fallback if there are no samples.
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

// recordSample records the current load if reports are delayed.
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
