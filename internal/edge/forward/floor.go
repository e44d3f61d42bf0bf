package forward

import (
	"bytes"
	"sync"

	"github.com/micaplank/micaplank/internal/edge/records"
	"github.com/micaplank/micaplank/internal/scatter"
)

const (
	// floorSamples is how many answers of a kind a floor rests on.
	floorSamples = 8
	// floorFactor and floorMargin say how many records are expected not to be
	// below a floor: factor times those of the answer, and the margin.
	floorFactor = 1.5
	floorMargin = 5
)

// floors estimates, for each kind of request, a record below which none is
// likely to count in an answer. It learns from the parts that came whole. It is
// safe for concurrent use.
type floors struct {
	mutex sync.Mutex
	kinds map[string]*floorSampler
}

// floorSampler holds the last samples of a kind, in a ring.
type floorSampler struct {
	samples [floorSamples][]byte
	next    int
	count   int
}

func newFloors() *floors {
	return &floors{kinds: make(map[string]*floorSampler)}
}

// of returns the floor of a kind; nil if too little is known.
func (f *floors) of(kind string) []byte {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known := f.kinds[kind]
	if known == nil || known.count < floorSamples {
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

// learn takes in the parts of an answer of k records. If records were missed
// for a floor that was too high, the kind is learned anew.
func (f *floors) learn(kind string, k int, parts []scatter.ShardPart[Part], missed bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known := f.kinds[kind]
	if known == nil || missed {
		known = &floorSampler{}
		f.kinds[kind] = known
	}
	sample := sampleOf(k, parts)
	if sample == nil {
		return
	}
	known.samples[known.next] = sample
	known.next = (known.next + 1) % floorSamples
	known.count = min(known.count+1, floorSamples)
}

// sampleOf returns the record above which about floorFactor times k records of
// all parts are, by those that came whole; nil if these are too few to tell.
func sampleOf(k int, parts []scatter.ShardPart[Part]) []byte {
	var whole [][]byte
	for _, one := range parts {
		if len(one.Part.Dropped) == 0 && one.Part.Rest == nil {
			whole = append(whole, one.Part.Body)
		}
	}
	if len(whole) == 0 {
		return nil
	}
	wanted := (floorFactor*float64(k) + floorMargin) * float64(len(whole)) / float64(len(parts))
	rank := int(wanted) + 1
	greatest := records.Greatest(rank, whole)
	return floorOf(greatest, rank)
}
