package dispatch

// runningMeans are running means over all classes, in seconds.
type runningMeans struct {
	attemptWork float64 // service time of the attempts
	queryTime   float64 // duration of queries
}

// meanWorkWeight is the weight of an attempt in the mean work, which averages over about fifty
// attempts.
const meanWorkWeight = 0.02

// meanWorkAt returns the mean work of the attempts on a leaf.
func (d *Dispatcher) meanWorkAt(l *leafState) float64 {
	if d.config.WorkByLeaf && l.meanWork > 0 {
		return l.meanWork
	}
	return d.means.attemptWork
}

// recordWork adds the work of an attempt to the means.
func (d *Dispatcher) recordWork(l *leafState, work float64) {
	d.means.attemptWork += meanWorkWeight * (work - d.means.attemptWork)
	if l.meanWork == 0 {
		l.meanWork = work
	}
	l.meanWork += meanWorkWeight * (work - l.meanWork)
}
