// Package recordfloor decides below which record none of a part has to be sent to
// another zone, since it is unlikely to count in the answer.
//
// The rule: the floor of a kind of request is the least of its last eight samples, where
// a sample is the record above which half as many again as an answer holds, and five
// more, are expected in all parts. A floor that was too high once is forgotten.
//
// Inputs: the kind of the request; k, the records of an answer; the parts of an answer
// that came whole, and the number of all its parts; whether records were missed.
//
// Reason: bytes between zones. The answer is exact whatever the floor is: records that
// were left out and count are fetched, which takes time. With floors in place of none
// the bytes of a day cost 0.015 of its worth (docs/ROUNDS.md) in place of 0.023 with 7
// machines, and 0.031 in place of 0.037 with 60.
package recordfloor

import "bytes"

const (
	// Samples is how many answers of a kind a floor rests on. Not measured by itself:
	// with it and the margin below, 1 of 100 answers at most misses records
	// (TestFloorEstimateAccuracy of package forward).
	Samples = 8
	// factor and margin say how many records are expected not to be below a floor:
	// factor times those of an answer, and the margin. Not measured by themselves, as
	// Samples.
	factor = 1.5
	margin = 5
)

// Rank returns which of the greatest records of some whole parts, counted from 1, makes
// the sample of an answer of k records from all parts.
func Rank(k, whole, all int) int {
	expected := (factor*float64(k) + margin) * float64(whole) / float64(all)
	return int(expected) + 1
}

// Estimator holds the samples of each kind of request. It is not safe for concurrent
// use.
type Estimator struct {
	kinds map[string]*ring
}

// ring holds the last samples of a kind.
type ring struct {
	samples [Samples][]byte
	next    int
	count   int
}

// NewEstimator returns an Estimator without samples.
func NewEstimator() *Estimator {
	return &Estimator{kinds: make(map[string]*ring)}
}

// Floor returns the floor of a kind; nil if too little is known.
func (e *Estimator) Floor(kind string) []byte {
	known := e.kinds[kind]
	if known == nil || known.count < Samples {
		return nil
	}
	least := known.samples[0]
	for _, sample := range known.samples[1:] {
		if bytes.Compare(sample, least) < 0 {
			least = sample
		}
	}
	return least
}

// Learn takes in the sample of an answer; nil if it has none. Missed says that records
// were left out that counted: the samples before it are dropped.
func (e *Estimator) Learn(kind string, sample []byte, missed bool) {
	known := e.kinds[kind]
	if known == nil || missed {
		known = &ring{}
		e.kinds[kind] = known
	}
	if sample == nil {
		return
	}
	known.samples[known.next] = sample
	known.next = (known.next + 1) % Samples
	known.count = min(known.count+1, Samples)
}
