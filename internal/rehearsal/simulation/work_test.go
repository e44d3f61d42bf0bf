package simulation

import (
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/leaf"
)

// query is what a run knows of one query.
type query struct {
	index   uint64
	class   int
	sentAt  Time // by the client
	node    *node
	keyHash uint64
	// deadline is absolute, as submitted.
	deadline Time
	// starts counts the executions that began, anywhere, in the whole run.
	executions int
	finished   bool
	// lost is set if the node died with the query.
	lost       bool
	finish     dispatch.Finish
	finishedAt Time
}

// id is the name of the query at its Dispatcher.
func (q *query) id() dispatch.QueryID { return dispatch.QueryID(q.index + 1) }

// shardSet is a set of small shard numbers.
type shardSet []uint64

// add puts a shard in and reports whether it was new.
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

// attemptState is how far an attempt came.
type attemptState uint8

const (
	attemptDialing attemptState = iota
	attemptSent
	attemptEnded
)

// attempt is one Send of one node.
type attempt struct {
	id       dispatch.AttemptID
	node     *node
	query    *query
	leaf     *emulatedLeaf
	shard    int
	snapshot catalog.Snapshot
	state    attemptState
	// reply is kept when the leaf's answer reached the node.
	receivedReply *reply
	work          *work
}

// reply is what a leaf sends back for an executed attempt.
type reply struct {
	shard    int
	snapshot catalog.Snapshot
	bootID   string
	load     leaf.LoadSummary
}

// workState is where a piece of work is within a leaf.
type workState uint8

const (
	workInTransit workState = iota
	workQueued
	workRunning
	workDone
)

// work is an attempt as the leaf sees it.
type work struct {
	attempt       *attempt
	state         workState
	startDeadline Time          // no start after this
	duration      time.Duration // on a healthy leaf
	meanDuration  time.Duration // mean of length, for predictions
	startedAt     Time
	finishAt      Time
}

// workLength is the work of a query on one shard, the same for every replica.
func (s *simulator) drawWorkDuration(q *query, shard, shards int) time.Duration {
	class := &s.config.Service.Classes[q.class]
	hash := mix(mix(mix(s.config.Seed, streamWork), q.index), uint64(shard))
	duration := scale(class.MeanServiceTime, lognormalFactor(hash, class.WorkSigma))
	return scale(duration, float64(s.config.Service.Shards)/float64(max(shards, 1)))
}

// noisyLength adds what differs between two attempts at the same work.
func (s *simulator) addNoise(duration time.Duration, a *attempt) time.Duration {
	class := &s.config.Service.Classes[a.query.class]
	hash := mix(mix(mix(s.config.Seed, streamNoise), a.query.index), uint64(a.shard)<<32|uint64(a.leaf.index))
	return scale(duration, lognormalFactor(hash, class.NoiseSigma))
}

// meanWork is the mean work of a query on one shard of an epoch.
func (s *simulator) meanWorkDuration(q *query, epoch uint64) time.Duration {
	mean := s.config.Service.Classes[q.class].MeanServiceTime
	return scale(mean, float64(s.config.Service.Shards)/float64(max(s.shardCount(epoch), 1)))
}
