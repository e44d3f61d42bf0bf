package scatter

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/decide/hedge"
	"github.com/micaplank/micaplank/internal/decide/rollout"
	"github.com/micaplank/micaplank/internal/decide/snapshot"
	"github.com/micaplank/micaplank/internal/leaf"
)

// Conn runs the queries of one service. It is safe for concurrent use.
type Conn[Q, P any] struct {
	config Config[Q, P]

	mutex      sync.Mutex
	dispatcher *dispatch.Dispatcher
	topology   dispatch.Topology
	usable     map[netip.AddrPort]bool
	lastQuery  dispatch.QueryID
	queries    map[dispatch.QueryID]*query[Q, P]
	attempts   map[dispatch.AttemptID]*attempt
	timer      *time.Timer
	closed     bool
	running    sync.WaitGroup
}

// query is one query in progress.
type query[Q, P any] struct {
	request  Request[Q]
	deadline dispatch.Time
	parts    map[dispatch.AttemptID]P
	failure  *P
	detail   string
	begun    dispatch.Time
	trace    []AttemptTrace
	done     chan Result[P]
	// ctx ends at the deadline, and all attempts with it.
	ctx    context.Context
	expire context.CancelFunc
	// open counts what keeps ctx: the query and its attempts.
	open int
}

// attempt is one send in progress.
type attempt struct {
	send   dispatch.Send
	cancel context.CancelFunc
	// aborted is set before cancel is called, under the Conn's mutex.
	aborted bool
	// trace is its place in the trace of its query.
	trace int
	// linger cancels an aborted attempt later; nil without one.
	linger *time.Timer
}

// NewConn returns a Conn that owns the dispatcher from now on.
func NewConn[Q, P any](config Config[Q, P], dispatcher *dispatch.Dispatcher) *Conn[Q, P] {
	conn := &Conn[Q, P]{
		config:     config,
		dispatcher: dispatcher,
		queries:    make(map[dispatch.QueryID]*query[Q, P]),
		attempts:   make(map[dispatch.AttemptID]*attempt),
	}
	conn.timer = time.AfterFunc(time.Hour, conn.tick)
	conn.timer.Stop()
	return conn
}

// Execute runs a query and blocks until it ends. When ctx ends, because the
// caller went away, the attempts in flight are cancelled.
func (c *Conn[Q, P]) Execute(ctx context.Context, request Request[Q]) Result[P] {
	running := c.submit(request)
	select {
	case result := <-running.done:
		return result
	case <-ctx.Done():
	}
	c.step(func(now dispatch.Time) []dispatch.Action {
		for id, candidate := range c.queries {
			if candidate == running {
				return c.dispatcher.Cancel(now, id)
			}
		}
		return nil
	})
	return <-running.done
}

func (c *Conn[Q, P]) submit(request Request[Q]) *query[Q, P] {
	running := &query[Q, P]{
		request: request,
		parts:   make(map[dispatch.AttemptID]P),
		done:    make(chan Result[P], 1),
	}
	c.step(func(now dispatch.Time) []dispatch.Action {
		if c.closed {
			running.done <- Result[P]{Finish: closedFinish()}
			return nil
		}
		c.lastQuery++
		running.begun, running.deadline = now, now+request.Timeout
		running.ctx, running.expire = context.WithTimeout(context.Background(), request.Timeout)
		running.open = 1
		c.queries[c.lastQuery] = running
		return c.dispatcher.Submit(now, request.query(c.lastQuery, now))
	})
	return running
}

// query returns a request as the Dispatcher takes it.
func (r *Request[Q]) query(id dispatch.QueryID, now dispatch.Time) dispatch.Query {
	submitted := dispatch.Query{
		ID:              id,
		Class:           r.Class,
		KeyHash:         r.KeyHash,
		HasKey:          r.HasKey,
		Shards:          r.Shards,
		Deadline:        now + r.Timeout,
		HedgeDelay:      r.HedgeDelay,
		MaximumSends:    r.MaximumSends,
		MinimumCoverage: r.MinimumCoverage,
	}
	if r.Objective > 0 {
		submitted.Objective = now + r.Objective
	}
	return submitted
}

// release lets go of the context once nothing of the query is open any more.
func (q *query[Q, P]) release() {
	q.open--
	if q.open == 0 {
		q.expire()
	}
}

func closedFinish() dispatch.Finish {
	return dispatch.Finish{Outcome: dispatch.OutcomeNotRun, Reason: dispatch.ReasonStopped}
}

// SetTopology hands the dispatcher a new view of the leaves.
func (c *Conn[Q, P]) SetTopology(topology dispatch.Topology) {
	c.step(func(now dispatch.Time) []dispatch.Action {
		c.topology = topology
		c.usable = usableLeaves(topology)
		return c.dispatcher.SetTopology(now, topology)
	})
}

func usableLeaves(topology dispatch.Topology) map[netip.AddrPort]bool {
	usable := make(map[netip.AddrPort]bool, len(topology.Leaves))
	for _, candidate := range topology.Leaves {
		usable[candidate.Address] = candidate.Usable
	}
	return usable
}

// MayGetWork reports whether a leaf is usable now: the guard may have brought
// in a newer topology than the one that a send was decided on.
func (c *Conn[Q, P]) MayGetWork(address netip.AddrPort) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.usable[address]
}

// Snapshot returns the snapshot that a query of every shard would be pinned to
// now; zero if none is known.
func (c *Conn[Q, P]) Snapshot() catalog.Snapshot {
	c.mutex.Lock()
	topology := c.topology
	c.mutex.Unlock()
	holdings := make([][]leaf.Holding, len(topology.Leaves))
	for i, candidate := range topology.Leaves {
		if candidate.Usable {
			holdings[i] = candidate.Holdings
		}
	}
	views := snapshot.Build(topology.Partitions, holdings)
	newest, known := snapshot.Pick(views, snapshot.Need{})
	if !known {
		return catalog.Snapshot{}
	}
	return views[newest].Snapshot
}

// ResizeBudgets changes the bounds of the extra load that the dispatcher causes at each
// shard. It keeps the function, which must be pure.
func (c *Conn[Q, P]) ResizeBudgets(bounds func(shard int) hedge.Bounds) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dispatcher.ResizeBudgets(bounds)
}

// SetProbeInterval changes the time between two probes of a slow leaf.
func (c *Conn[Q, P]) SetProbeInterval(interval time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dispatcher.SetProbeInterval(interval)
}

// SetAllowance says what the canaries of a shard may get; nil for nothing.
func (c *Conn[Q, P]) SetAllowance(shard int, allowance *rollout.Allowance) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dispatcher.SetAllowance(shard, allowance)
}

// Grant lets the allowance of a shard be spent until a time.
func (c *Conn[Q, P]) Grant(shard int, until dispatch.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dispatcher.Grant(shard, until)
}

// Burst lets the allowance of a shard be spent without keeping any back.
func (c *Conn[Q, P]) Burst(shard int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dispatcher.Burst(shard)
}

// InFlightAt returns how many attempts run at the leaves that a function selects by
// their boot id.
func (c *Conn[Q, P]) InFlightAt(selects func(boot string) bool) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.dispatcher.InFlightAt(selects)
}

// Observe hands the dispatcher a leaf's own word on its load.
func (c *Conn[Q, P]) Observe(address netip.AddrPort, load leaf.LoadSummary) {
	c.step(func(now dispatch.Time) []dispatch.Action {
		return c.dispatcher.Observe(now, address, load)
	})
}

// LeafStates describes the leaves as the dispatcher sees them.
func (c *Conn[Q, P]) LeafStates() []dispatch.LeafState {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.dispatcher.LeafStates()
}

// Counters returns the dispatcher's counts.
func (c *Conn[Q, P]) Counters() dispatch.Counters {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.dispatcher.Counters()
}

// Load returns what the dispatcher holds now.
func (c *Conn[Q, P]) Load() dispatch.Load {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.dispatcher.Load()
}

// InFlight returns the number of queries that have not ended.
func (c *Conn[Q, P]) InFlight() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.queries)
}

// Close refuses new queries and blocks until the running ones have ended and
// every attempt has reported.
func (c *Conn[Q, P]) Close() {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	c.running.Wait()
	c.timer.Stop()
}

// step runs one call to the dispatcher and performs what it decided.
func (c *Conn[Q, P]) step(decide func(now dispatch.Time) []dispatch.Action) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	actions := decide(c.config.Clock.Now())
	for _, action := range actions {
		c.perform(action)
	}
	c.schedule()
}

func (c *Conn[Q, P]) perform(action dispatch.Action) {
	switch action := action.(type) {
	case dispatch.Send:
		c.start(action)
	case dispatch.Abort:
		c.abort(action)
	case dispatch.Finish:
		c.finish(action)
	}
}

// schedule sets the timer to the dispatcher's next deadline.
func (c *Conn[Q, P]) schedule() {
	next, wanted := c.dispatcher.NextTick()
	if !wanted {
		c.timer.Stop()
		return
	}
	c.timer.Reset(max(next-c.config.Clock.Now(), 0))
}

func (c *Conn[Q, P]) tick() {
	c.step(c.dispatcher.Tick)
}

// Wake ends what has expired. After a suspension of the machine the timer fires too
// late for it.
func (c *Conn[Q, P]) Wake() { c.tick() }

func (c *Conn[Q, P]) start(send dispatch.Send) {
	running := c.queries[send.Query]
	ctx, cancel := context.WithCancel(running.ctx)
	running.open++
	started := &attempt{send: send, cancel: cancel, trace: len(running.trace)}
	if c.config.Trace {
		running.trace = append(running.trace, AttemptTrace{Send: send, At: c.config.Clock.Now() - running.begun, End: EndOpen})
	}
	c.attempts[send.Attempt] = started
	c.running.Add(1)
	go c.run(ctx, started, running)
}

// abort gives up an attempt. One whose end may be near goes on for a while, so
// that its connection can be used again.
func (c *Conn[Q, P]) abort(given dispatch.Abort) {
	started := c.attempts[given.Attempt]
	if started == nil {
		return
	}
	started.aborted = true
	if c.config.Linger == 0 || given.Overdue {
		started.cancel()
		return
	}
	started.linger = time.AfterFunc(c.config.Linger, started.cancel)
}

func (c *Conn[Q, P]) finish(finish dispatch.Finish) {
	ended := c.queries[finish.Query]
	if ended == nil {
		return
	}
	delete(c.queries, finish.Query)
	ended.release()
	result := Result[P]{Finish: finish, Detail: ended.detail, Attempts: ended.trace}
	if ended.failure != nil {
		result.Failure, result.HasFailure = *ended.failure, true
	}
	for _, answer := range finish.Answered {
		result.Parts = append(result.Parts, ShardPart[P]{Shard: answer.Shard, Part: ended.parts[answer.Attempt]})
	}
	ended.done <- result
}
