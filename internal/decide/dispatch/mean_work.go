package dispatch

// means are running means over the attempts and queries of all classes, in seconds.
type runningMeans struct {
	attemptWork float64 // base of the attempts
	queryTime   float64 // time that queries run
}

// meanWorkWeight is the weight of one attempt in the mean work. Not measured: chosen so
// that the mean follows some fifty attempts.
const meanWorkWeight = 0.02

// workOf returns the mean work of the attempts that a leaf gets.
func (d *Dispatcher) meanWorkAt(l *leafState) float64 {
	if d.config.WorkByLeaf && l.meanWork > 0 {
		return l.meanWork
	}
	return d.means.attemptWork
}

// learnWork takes in the work of one attempt.
func (d *Dispatcher) recordWork(l *leafState, work float64) {
	d.means.attemptWork += meanWorkWeight * (work - d.means.attemptWork)
	if l.meanWork == 0 {
		l.meanWork = work
	}
	l.meanWork += meanWorkWeight * (work - l.meanWork)
}
