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
type estimators struct {
	clientWaitsMutex sync.Mutex
	clientWaits      *timeleft.Waits

	floorsMutex sync.Mutex
	floors      *recordfloor.Estimator
}

func newEstimators() *estimators {
	return &estimators{clientWaits: timeleft.NewWaits(), floors: recordfloor.NewEstimator()}
}

// beforeArrival takes in the timeout of a client and returns for how long the client
// waited before its request arrived.
func (e *estimators) estimateBeforeArrival(className string, clientTimeout time.Duration) time.Duration {
	e.clientWaitsMutex.Lock()
	defer e.clientWaitsMutex.Unlock()
	return e.clientWaits.BeforeArrival(className, clientTimeout)
}

// floor returns the record below which none is likely to count in an answer of a kind;
// nil if too little is known.
func (e *estimators) estimateFloor(className string) []byte {
	e.floorsMutex.Lock()
	defer e.floorsMutex.Unlock()
	return e.floors.Floor(className)
}

// learnFloor takes in the parts of an answer of k records, and whether records were
// missed that its floor had left out.
func (e *estimators) updateFloor(className string, k int, parts []scatter.ShardPart[Part], missed bool) {
	sample := floorSample(k, parts)
	e.floorsMutex.Lock()
	defer e.floorsMutex.Unlock()
	e.floors.Learn(className, sample, missed)
}

// sampleOf returns the record whose place is recordfloor.Rank, among the parts
// that came whole; nil if these are too few to tell.
func floorSample(k int, parts []scatter.ShardPart[Part]) []byte {
	var complete [][]byte
	for _, shardPart := range parts {
		if len(shardPart.Part.Dropped) == 0 && shardPart.Part.FetchDropped == nil {
			complete = append(complete, shardPart.Part.Body)
		}
	}
	if len(complete) == 0 {
		return nil
	}
	rank := recordfloor.Rank(k, len(complete), len(parts))
	return kthRecord(records.Greatest(rank, complete), rank)
}
