package dispatch

import "github.com/micaplank/micaplank/internal/leaf"

// estimateOthers returns the estimated number of attempts of other nodes: the
// last report fades to the mean of the reports.
func (l *leafState) estimateOthers(now Time) float64 {
	if now != l.estimatedAt || now == 0 {
		l.estimatedAt = now
		l.estimated = l.othersMean + (l.others-l.othersMean)*fade(now-l.othersAt, lastReportMemory)
	}
	return l.estimated
}

// report takes in a load report that was made while own attempts of this node
// were in flight.
func (l *leafState) report(now Time, load leaf.LoadSummary, own int) {
	others := max(float64(load.SlotsBusy+load.Queue-own), 0)
	age := now - l.othersAt
	l.othersMean += max(othersWeight, 1-fade(age, othersMeanMemory)) * (others - l.othersMean)
	l.othersLong += (1 - fade(age, longMemory)) * (others - l.othersLong)
	l.others, l.othersAt = others, now
	l.estimated, l.estimatedAt = others, now
	if load.Pace > 0 {
		l.pace = load.Pace
	}
}
