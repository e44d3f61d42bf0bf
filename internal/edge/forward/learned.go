package forward

import (
	"sync"
	"time"

	"github.com/micaplank/micaplank/internal/decide/recordfloor"
	"github.com/micaplank/micaplank/internal/decide/timeleft"
	"github.com/micaplank/micaplank/internal/edge/records"
	"github.com/micaplank/micaplank/internal/scatter"
)

// learned is what a Forwarder learns from requests, by their kind. It is safe for
// concurrent use.
type learned struct {
	waitsMutex sync.Mutex
	waits      *timeleft.Waits

	floorsMutex sync.Mutex
	floors      *recordfloor.Estimator
}

func newLearned() *learned {
	return &learned{waits: timeleft.NewWaits(), floors: recordfloor.NewEstimator()}
}

// beforeArrival takes in the timeout of a client and returns for how long the client
// waited before its request arrived.
func (l *learned) beforeArrival(kind string, clientTimeout time.Duration) time.Duration {
	l.waitsMutex.Lock()
	defer l.waitsMutex.Unlock()
	return l.waits.BeforeArrival(kind, clientTimeout)
}

// floor returns the record below which none is likely to count in an answer of a kind;
// nil if too little is known.
func (l *learned) floor(kind string) []byte {
	l.floorsMutex.Lock()
	defer l.floorsMutex.Unlock()
	return l.floors.Floor(kind)
}

// learnFloor takes in the parts of an answer of k records, and whether records were
// missed that its floor had left out.
func (l *learned) learnFloor(kind string, k int, parts []scatter.ShardPart[Part], missed bool) {
	sample := sampleOf(k, parts)
	l.floorsMutex.Lock()
	defer l.floorsMutex.Unlock()
	l.floors.Learn(kind, sample, missed)
}

// sampleOf returns the record whose place is recordfloor.Rank, among the parts
// that came whole; nil if these are too few to tell.
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
	rank := recordfloor.Rank(k, len(whole), len(parts))
	return floorOf(records.Greatest(rank, whole), rank)
}
