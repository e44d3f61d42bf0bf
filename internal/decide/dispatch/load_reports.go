package dispatch

import (
	"time"

	"github.com/micaplank/micaplank/internal/leaf"
)

// With these constants a load report, which arrives with each reply and each poll, has influence
// for some tens of milliseconds.
const (
	minimumReportWeight    = 0.1                    // of a report in the mean
	othersTimeConstant     = 200 * time.Millisecond // of the mean
	lastReportTimeConstant = 50 * time.Millisecond  // of the last report
)

// loadReports holds what the load reports of a leaf say about the attempts of other nodes.
type loadReports struct {
	lastOthers     float64 // attempts of other nodes in the last report
	meanOthers     float64 // over othersTimeConstant
	longMeanOthers float64 // over longTimeConstant
	at             Time    // time of the last report
	// cachedOthers is the result of estimateOthers at cachedAt.
	cachedOthers float64
	cachedAt     Time
	// pace is the pace in the last report that contained one, in percent of the usual time.
	pace int
}

// estimateOthers estimates the number of attempts of other nodes. The estimate decays from the last
// report to the mean of the reports.
func (r *loadReports) estimateOthers(now Time) float64 {
	if now != r.cachedAt || now == 0 {
		r.cachedAt = now
		r.cachedOthers = r.meanOthers + (r.lastOthers-r.meanOthers)*decay(now-r.at, lastReportTimeConstant)
	}
	return r.cachedOthers
}

// record adds a load report that was made while own attempts of this node were in flight.
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
