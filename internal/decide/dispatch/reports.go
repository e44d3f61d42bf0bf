package dispatch

import (
	"time"

	"github.com/micaplank/micaplank/internal/leaf"
)

// The memories of load reports. None was compared with others: they are chosen so that a
// report, which comes with each reply and each poll, counts for some tens of milliseconds.
const (
	othersWeight     = 0.1                    // least weight of one report in the mean
	othersMeanMemory = 200 * time.Millisecond // time constant of the mean
	lastReportMemory = 50 * time.Millisecond  // time constant of the last report
)

// reports is what the load reports of a leaf say of the attempts of other nodes there.
type reports struct {
	last     float64 // attempts of other nodes in the last report
	mean     float64 // over a short time
	longMean float64 // over longMemory
	at       Time    // of the last report
	// estimated is others at estimatedAt.
	estimated   float64
	estimatedAt Time
	// pace is that of the last report that has one, in percent of the usual.
	pace int
}

// others returns the estimated number of attempts of other nodes: the last report
// fades to the mean of the reports.
func (r *reports) others(now Time) float64 {
	if now != r.estimatedAt || now == 0 {
		r.estimatedAt = now
		r.estimated = r.mean + (r.last-r.mean)*fade(now-r.at, lastReportMemory)
	}
	return r.estimated
}

// add takes in a load report that was made while own attempts of this node were in
// flight.
func (r *reports) add(now Time, load leaf.LoadSummary, own int) {
	others := max(float64(load.SlotsBusy+load.Queue-own), 0)
	age := now - r.at
	r.mean += max(othersWeight, 1-fade(age, othersMeanMemory)) * (others - r.mean)
	r.longMean += (1 - fade(age, longMemory)) * (others - r.longMean)
	r.last, r.at = others, now
	r.estimated, r.estimatedAt = others, now
	if load.Pace > 0 {
		r.pace = load.Pace
	}
}
