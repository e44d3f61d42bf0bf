package dispatch

import (
	"time"

	"github.com/micaplank/micaplank/internal/leaf"
)

// The memories of load reports. None was compared with others: they are chosen so that a
// report, which comes with each reply and each poll, counts for some tens of milliseconds.
const (
	minimumReportWeight    = 0.1                    // least weight of one report in the mean
	othersTimeConstant     = 200 * time.Millisecond // time constant of the mean
	lastReportTimeConstant = 50 * time.Millisecond  // time constant of the last report
)

// reports is what the load reports of a leaf say of the attempts of other nodes there.
type loadReports struct {
	lastOthers     float64 // attempts of other nodes in the last report
	meanOthers     float64 // over a short time
	longMeanOthers float64 // over longMemory
	at             Time    // of the last report
	// estimated is others at estimatedAt.
	cachedOthers float64
	cachedAt     Time
	// pace is that of the last report that has one, in percent of the usual.
	pace int
}

// others returns the estimated number of attempts of other nodes: the last report
// fades to the mean of the reports.
func (r *loadReports) estimateOthers(now Time) float64 {
	if now != r.cachedAt || now == 0 {
		r.cachedAt = now
		r.cachedOthers = r.meanOthers + (r.lastOthers-r.meanOthers)*decay(now-r.at, lastReportTimeConstant)
	}
	return r.cachedOthers
}

// add takes in a load report that was made while own attempts of this node were in
// flight.
func (r *loadReports) record(now Time, load leaf.LoadSummary, own int) {
	others := max(float64(load.SlotsBusy+load.Queue-own), 0)
	age := now - r.at
	r.meanOthers += max(minimumReportWeight, 1-decay(age, othersTimeConstant)) * (others - r.meanOthers)
	r.longMeanOthers += (1 - decay(age, longTimeConstant)) * (others - r.longMeanOthers)
	r.lastOthers, r.at = others, now
	r.cachedOthers, r.cachedAt = others, now
	if load.Pace > 0 {
		r.pace = load.Pace
	}
}
