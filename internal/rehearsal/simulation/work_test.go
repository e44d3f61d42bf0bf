package simulation

import (
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/leaf"
)

// query holds the state of one query over the whole run.
type query struct {
	index   uint64
	class   int
	sentAt  Time // by the client
	node    *node
	keyHash uint64
	// deadline is in absolute virtual time, as submitted.
	deadline Time
	// executions counts the executions that started on any leaf.
	executions int
	finished   bool
	// lost is set if the query's node went down, or no node accepted the query.
	lost       bool
	finish     dispatch.Finish
	finishedAt Time
}

// id returns the id of the query at its Dispatcher. Ids start at 1.
func (q *query) id() dispatch.QueryID { return dispatch.QueryID(q.index + 1) }

// shardSet is a bit set of shard numbers.
type shardSet []uint64

// add adds a shard and reports whether it was new.
func (s *shardSet) add(shard int) bool {
	for len(*s) <= shard/64 {
		*s = append(*s, 0)
	}
	bit := uint64(1) << (shard % 64)
	if (*s)[shard/64]&bit != 0 {
		return false
	}
	(*s)[shard/64] |= bit
	return true
}

// attemptState is the progress of an attempt at its node.
type attemptState uint8

const (
	attemptDialing attemptState = iota
	attemptSent
	attemptEnded
)

// attempt is the state of one dispatch.Send.
type attempt struct {
	id       dispatch.AttemptID
	node     *node
	query    *query
	leaf     *emulatedLeaf
	shard    int
	snapshot catalog.Snapshot
	state    attemptState
	// receivedReply is set once the reply of the leaf has reached the node.
	receivedReply *reply
	work          *work
}

// reply is the response of a leaf to an executed attempt.
type reply struct {
	shard    int
	snapshot catalog.Snapshot
	bootID   string
	load     leaf.LoadSummary
}

// workState is the progress of a piece of work at its leaf.
type workState uint8

const (
	workInTransit workState = iota
	workQueued
	workRunning
	workDone
)

// work is the part of an attempt that its leaf executes.
type work struct {
	attempt       *attempt
	state         workState
	startDeadline Time          // work that has not started by then is refused
	duration      time.Duration // on a leaf without slowdown
	meanDuration  time.Duration // for predictions of the queueing delay
	startedAt     Time
	finishAt      Time
}

// drawWorkDuration returns the duration of a query's work on one shard, which is the same on every
// replica.
func (s *simulator) drawWorkDuration(q *query, shard, shards int) time.Duration {
	class := &s.config.Service.Classes[q.class]
	hash := mix(mix(mix(s.config.Seed, streamWork), q.index), uint64(shard))
	duration := scale(class.MeanServiceTime, lognormalFactor(hash, class.WorkSigma))
	return scale(duration, float64(s.config.Service.Shards)/float64(max(shards, 1)))
}

// addNoise multiplies a duration by a factor that differs between attempts at the same work.
func (s *simulator) addNoise(duration time.Duration, a *attempt) time.Duration {
	class := &s.config.Service.Classes[a.query.class]
	hash := mix(mix(mix(s.config.Seed, streamNoise), a.query.index), uint64(a.shard)<<32|uint64(a.leaf.index))
	return scale(duration, lognormalFactor(hash, class.NoiseSigma))
}

// meanWorkDuration returns the mean duration of a query's work on one shard of a partition epoch.
func (s *simulator) meanWorkDuration(q *query, epoch uint64) time.Duration {
	mean := s.config.Service.Classes[q.class].MeanServiceTime
	return scale(mean, float64(s.config.Service.Shards)/float64(max(s.shardCount(epoch), 1)))
}
