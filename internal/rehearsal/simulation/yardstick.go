package simulation

import (
	"net/netip"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/leaf"
)

// maximumTries bounds how often a yardstick sends the same shard again after
// a refusal or a loss.
const maximumTries = 4

// chooser picks one of the leaves that hold a shard; there is at least one.
type chooser func(q *yardstickQuery, shard int, candidates []dispatch.Leaf) dispatch.Leaf

// yardstick is the scatter and gather that the baseline and the oracle share:
// newest snapshot that every shard has, each shard sent once, wait for all.
type yardstick struct {
	world    *world
	zone     string
	choose   chooser
	topology dispatch.Topology
	// known caches holders until the next topology.
	known    map[shardAt][]dispatch.Leaf
	next     dispatch.AttemptID
	queries  map[dispatch.QueryID]*yardstickQuery
	attempts map[dispatch.AttemptID]*yardstickShard
}

// shardAt is one shard at one snapshot.
type shardAt struct {
	snapshot catalog.Snapshot
	shard    int
}

// yardstickQuery is one running query.
type yardstickQuery struct {
	query    dispatch.Query
	snapshot catalog.Snapshot
	total    int
	answered []dispatch.ShardAnswer
	missing  []int
	// zone is where the node is; planned counts the shards of this query that
	// are chosen for a leaf and not yet sent.
	zone    string
	planned map[int]int
}

// yardstickShard is one shard of a running query.
type yardstickShard struct {
	query *yardstickQuery
	shard int
	tries int
	leaf  netip.AddrPort
}

func newYardstick(w *world, zone string, choose chooser) *yardstick {
	return &yardstick{
		world: w, zone: zone, choose: choose,
		queries:  make(map[dispatch.QueryID]*yardstickQuery),
		attempts: make(map[dispatch.AttemptID]*yardstickShard),
		known:    make(map[shardAt][]dispatch.Leaf),
	}
}

// Submit sends each shard once, or refuses if no snapshot is whole or, for
// the oracle, if a shard can't be ready in time.
func (y *yardstick) Submit(now Time, submitted dispatch.Query) []dispatch.Action {
	q := &yardstickQuery{query: submitted, zone: y.zone, planned: make(map[int]int)}
	shards := y.pin(q)
	if len(shards) == 0 {
		return []dispatch.Action{dispatch.Finish{
			Query: submitted.ID, Outcome: dispatch.OutcomeNotRun, Reason: dispatch.ReasonNoSnapshot, RetryAfter: time.Second,
		}}
	}
	chosen := make([]dispatch.Leaf, len(shards))
	for i, shard := range shards {
		chosen[i] = y.choose(q, shard, y.holders(q.snapshot, shard))
		q.planned[y.world.byAddress[chosen[i].Address].index]++
	}
	if wait, late := y.tooLate(now, q, chosen); late {
		return []dispatch.Action{dispatch.Finish{
			Query: submitted.ID, Outcome: dispatch.OutcomeNotRun, Reason: dispatch.ReasonOverload,
			Total: len(shards), RetryAfter: wait,
		}}
	}
	q.total = len(shards)
	clear(q.planned)
	y.queries[submitted.ID] = q
	actions := make([]dispatch.Action, 0, len(shards))
	for i, shard := range shards {
		actions = append(actions, y.send(now, &yardstickShard{query: q, shard: shard}, chosen[i].Address))
	}
	return actions
}

// pin chooses the newest snapshot at which every needed shard has a leaf.
func (y *yardstick) pin(q *yardstickQuery) []int {
	for _, snapshot := range y.snapshots() {
		shards := y.needed(q.query, snapshot)
		whole := len(shards) > 0
		for _, shard := range shards {
			whole = whole && len(y.holders(snapshot, shard)) > 0
		}
		if whole {
			q.snapshot = snapshot
			return shards
		}
	}
	return nil
}

// snapshots lists what usable leaves hold, newest first.
func (y *yardstick) snapshots() []catalog.Snapshot {
	var found []catalog.Snapshot
	for _, known := range y.topology.Leaves {
		for _, holding := range known.Holdings {
			if known.Usable && !slices.Contains(found, holding.Snapshot) {
				found = append(found, holding.Snapshot)
			}
		}
	}
	slices.SortFunc(found, func(a, b catalog.Snapshot) int {
		if b.Less(a) {
			return -1
		}
		return 1
	})
	return found
}

func (y *yardstick) needed(query dispatch.Query, snapshot catalog.Snapshot) []int {
	for _, partition := range y.topology.Partitions {
		if partition.Epoch != snapshot.Epoch {
			continue
		}
		if query.HasKey {
			return []int{int(query.KeyHash % uint64(partition.Shards))}
		}
		shards := make([]int, partition.Shards)
		for i := range shards {
			shards[i] = i
		}
		return shards
	}
	return nil
}

// holders lists the usable leaves that hold a shard; warm ones if there are.
func (y *yardstick) holders(snapshot catalog.Snapshot, shard int) []dispatch.Leaf {
	key := shardAt{snapshot: snapshot, shard: shard}
	found, cached := y.known[key]
	if !cached {
		found = y.findHolders(snapshot, shard)
		y.known[key] = found
	}
	return found
}

func (y *yardstick) findHolders(snapshot catalog.Snapshot, shard int) []dispatch.Leaf {
	var warm, cold []dispatch.Leaf
	for _, known := range y.topology.Leaves {
		if !known.Usable || !holdsShard(known, snapshot, shard) {
			continue
		}
		if known.Cold {
			cold = append(cold, known)
		} else {
			warm = append(warm, known)
		}
	}
	if len(warm) == 0 {
		return cold
	}
	return warm
}

func holdsShard(known dispatch.Leaf, snapshot catalog.Snapshot, shard int) bool {
	return slices.ContainsFunc(known.Holdings, func(holding leaf.Holding) bool {
		return holding.Snapshot == snapshot && slices.Contains(holding.Shards, shard)
	})
}

// tooLate reports whether the oracle must refuse, and when room is expected.
func (y *yardstick) tooLate(now Time, q *yardstickQuery, chosen []dispatch.Leaf) (time.Duration, bool) {
	if !y.world.config.Policy.knowing() {
		return 0, false
	}
	var late time.Duration
	for _, leaf := range chosen {
		target := y.world.byAddress[leaf.Address]
		late = max(late, y.world.plannedCompletion(q, target)-q.query.Deadline)
		if len(target.queue)+len(target.transit) >= y.world.config.Deployment.Leaf.QueueLimit {
			late = max(late, time.Millisecond)
		}
	}
	return late, late > 0
}

func (y *yardstick) send(now Time, s *yardstickShard, to netip.AddrPort) dispatch.Send {
	y.next++
	s.tries++
	s.leaf = to
	y.attempts[y.next] = s
	remaining := s.query.query.Deadline - now
	if y.world.config.Policy.Kind == PolicyBaseline {
		remaining = unansweredLatency // it waits for all, however long
	}
	return dispatch.Send{
		Attempt: y.next, Query: s.query.query.ID, Shard: s.shard, Leaf: to,
		Snapshot: s.query.snapshot, Remaining: remaining, Extra: s.tries > 1,
	}
}

// Reply merges a shard, or tries another leaf if the echo is wrong.
func (y *yardstick) Reply(now Time, id dispatch.AttemptID, reply dispatch.Reply) []dispatch.Action {
	s := y.attempts[id]
	if s == nil {
		return nil
	}
	if reply.Snapshot != s.query.snapshot || reply.Shard != s.shard {
		return y.again(now, id, true)
	}
	delete(y.attempts, id)
	s.query.answered = append(s.query.answered, dispatch.ShardAnswer{Shard: s.shard, Attempt: id})
	return y.finishIfDone(s.query)
}

// Refuse tries another leaf.
func (y *yardstick) Refuse(now Time, id dispatch.AttemptID, _ dispatch.Refusal) []dispatch.Action {
	return y.again(now, id, false)
}

// Fail tries another leaf.
func (y *yardstick) Fail(now Time, id dispatch.AttemptID, failure dispatch.Failure) []dispatch.Action {
	return y.again(now, id, failure.Sent)
}

// again sends a shard to another leaf, or gives it up.
func (y *yardstick) again(now Time, id dispatch.AttemptID, mayHaveRun bool) []dispatch.Action {
	s := y.attempts[id]
	if s == nil {
		return nil
	}
	delete(y.attempts, id)
	others := slices.DeleteFunc(slices.Clone(y.holders(s.query.snapshot, s.shard)), func(known dispatch.Leaf) bool {
		return known.Address == s.leaf
	})
	allowed := s.query.query.Class.Repeatable || !mayHaveRun
	if !allowed || len(others) == 0 || s.tries >= maximumTries {
		s.query.missing = append(s.query.missing, s.shard)
		return y.finishIfDone(s.query)
	}
	return []dispatch.Action{y.send(now, s, y.choose(s.query, s.shard, others).Address)}
}

// finishIfDone ends a query when each shard is answered or given up.
func (y *yardstick) finishIfDone(q *yardstickQuery) []dispatch.Action {
	if len(q.answered)+len(q.missing) < q.total || y.queries[q.query.ID] == nil {
		return nil
	}
	delete(y.queries, q.query.ID)
	slices.Sort(q.missing)
	finish := dispatch.Finish{
		Query: q.query.ID, Outcome: dispatch.OutcomeAnswered, Snapshot: q.snapshot,
		Answered: q.answered, Missing: q.missing, Total: q.total,
	}
	switch {
	case len(q.missing) == 0:
	case !q.query.Class.Repeatable:
		finish.Outcome, finish.Reason = dispatch.OutcomeUnknown, dispatch.ReasonLost
	case len(q.answered) > 0:
		finish.Outcome, finish.Reason = dispatch.OutcomePartial, dispatch.ReasonLost
	default:
		finish.Outcome, finish.Reason = dispatch.OutcomeFailed, dispatch.ReasonLost
	}
	return []dispatch.Action{finish}
}

// Cancel gives a query up and aborts its attempts.
func (y *yardstick) Cancel(_ Time, id dispatch.QueryID) []dispatch.Action {
	q := y.queries[id]
	if q == nil {
		return nil
	}
	delete(y.queries, id)
	var actions []dispatch.Action
	for attempt, s := range y.attempts {
		if s.query == q {
			actions = append(actions, dispatch.Abort{Attempt: attempt})
			delete(y.attempts, attempt)
		}
	}
	slices.SortFunc(actions, func(a, b dispatch.Action) int {
		return int(a.(dispatch.Abort).Attempt) - int(b.(dispatch.Abort).Attempt)
	})
	return append(actions, dispatch.Finish{
		Query: id, Outcome: dispatch.OutcomeFailed, Reason: dispatch.ReasonCancelled, Total: q.total,
	})
}

// SetTopology takes what the node knows of the leaves.
func (y *yardstick) SetTopology(_ Time, topology dispatch.Topology) []dispatch.Action {
	y.topology = topology
	clear(y.known)
	return nil
}

// Observe ignores load reports.
func (y *yardstick) Observe(Time, netip.AddrPort, leaf.LoadSummary) []dispatch.Action { return nil }

// Tick does nothing: a yardstick has no timers.
func (y *yardstick) Tick(Time) []dispatch.Action { return nil }

// NextTick reports that no tick is wanted.
func (y *yardstick) NextTick() (Time, bool) { return 0, false }
