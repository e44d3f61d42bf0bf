package forward

import (
	"sync"
	"time"

	"github.com/micaplank/micaplank/internal/decide/recordfloor"
	"github.com/micaplank/micaplank/internal/decide/timeleft"
	"github.com/micaplank/micaplank/internal/edge/records"
	"github.com/micaplank/micaplank/internal/scatter"
)

// estimators holds what a Forwarder learns from requests, by request class. It is safe for
// concurrent use.
type estimators struct {
	clientWaitsMutex sync.Mutex
	clientWaits      *timeleft.WaitEstimator

	floorsMutex sync.Mutex
	floors      *recordfloor.Estimator
}

func newEstimators() *estimators {
	return &estimators{clientWaits: timeleft.NewWaitEstimator(), floors: recordfloor.NewEstimator()}
}

// estimateBeforeArrival records a client's timeout and returns how long the client had waited
// before its request arrived.
func (e *estimators) estimateBeforeArrival(className string, clientTimeout time.Duration) time.Duration {
	e.clientWaitsMutex.Lock()
	defer e.clientWaitsMutex.Unlock()
	return e.clientWaits.BeforeArrival(className, clientTimeout)
}

// estimateFloor returns the record below which no record is likely to be among the top k of a
// class, or nil if there are too few samples.
func (e *estimators) estimateFloor(className string) []byte {
	e.floorsMutex.Lock()
	defer e.floorsMutex.Unlock()
	return e.floors.Floor(className)
}

// updateFloor records the parts of an answer of k records, and whether the floor had caused records
// to be dropped that belonged to the answer.
func (e *estimators) updateFloor(className string, k int, parts []scatter.ShardPart[Part], missed bool) {
	sample := floorSample(k, parts)
	e.floorsMutex.Lock()
	defer e.floorsMutex.Unlock()
	e.floors.Learn(className, sample, missed)
}

// floorSample returns the record at rank recordfloor.SampleRank among the complete parts, or nil if
// there are too few complete parts for an estimate.
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
	rank := recordfloor.SampleRank(k, len(complete), len(parts))
	return kthRecord(records.Greatest(rank, complete), rank)
}
