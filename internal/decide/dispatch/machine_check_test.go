package dispatch

import (
	"cmp"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/micaplank/micaplank/internal/leaf"
)

// perform checks the actions and applies them as a driver would.
func (m *machine) perform(t *rapid.T, actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case Send:
			m.send(t, action)
		case Abort:
			entry := m.attempts[action.Attempt]
			if entry.aborted || !slices.Contains(m.open, entry) {
				t.Fatalf("abort of an attempt that has ended or was aborted: %+v", entry.Send)
			}
			entry.aborted = true
		case Finish:
			m.finish(t, action)
		}
	}
}

func (m *machine) send(t *rapid.T, send Send) {
	query := m.queries[send.Query]
	entry := &trackedAttempt{Send: send, query: query}
	index := slices.IndexFunc(m.topology.Leaves, func(l Leaf) bool { return l.Address == send.Leaf })
	if index < 0 || !m.topology.Leaves[index].Usable {
		t.Fatalf("send to a leaf that is not usable: %+v", send)
	}
	listed := m.topology.Leaves[index]
	entry.boot = cmp.Or(m.d.fleet.byAddress[send.Leaf].currentBoot(), listed.BootID)
	if m.drainingBoots[entry.boot] {
		t.Fatalf("send to a draining leaf: %+v", send)
	}
	holds := slices.ContainsFunc(listed.Holdings, func(h leaf.Holding) bool {
		return h.Snapshot == send.Snapshot && slices.Contains(h.Shards, send.Shard)
	})
	if !holds {
		t.Fatalf("send to a leaf that does not hold the shard: %+v", send)
	}
	if m.stopAt > 0 && m.now >= m.stopAt {
		t.Fatalf("send after the end of the process at %v: %+v", m.stopAt, send)
	}
	if query.finish != nil || send.Remaining <= 0 || m.attempts[send.Attempt] != nil {
		t.Fatalf("send for a finished query, past its deadline, or with an ID that was used before: %+v", send)
	}
	if !query.Class.Repeatable && mayHaveRun(query) {
		t.Fatalf("second attempt of a query that must not be repeated: %+v", send)
	}
	query.inFlight++
	m.open = append(m.open, entry)
	m.attempts[send.Attempt] = entry
}

func mayHaveRun(query *trackedQuery) bool {
	return query.executed || query.inFlight > 0
}

func (m *machine) finish(t *rapid.T, finish Finish) {
	query := m.queries[finish.Query]
	if query.finish != nil {
		t.Fatalf("second finish: %+v", finish)
	}
	query.finish = &finish
	if len(finish.Answered)+len(finish.Missing) != finish.Total {
		t.Fatalf("answered and missing do not make up the total: %+v", finish)
	}
	m.checkShards(t, finish, query)
	switch {
	case finish.Outcome == OutcomeNotRun && mayHaveRun(query):
		t.Fatalf("outcome not_run, but an attempt may have executed: %+v", finish)
	case finish.Outcome == OutcomeAnswered && (len(finish.Missing) > 0 || finish.Total == 0):
		t.Fatalf("outcome answered with missing shards: %+v", finish)
	case finish.Outcome == OutcomePartial && (len(finish.Answered) == 0 || len(finish.Missing) == 0):
		t.Fatalf("outcome partial without answered or missing shards: %+v", finish)
	case finish.Outcome == OutcomeUnknown && (query.Class.Repeatable || !mayHaveRun(query)):
		t.Fatalf("outcome unknown of a query that is repeatable or cannot have run: %+v", finish)
	case finish.Outcome == OutcomeFailed && !query.Class.Repeatable:
		t.Fatalf("outcome failed of a query that must not be repeated: %+v", finish)
	}
	covered := float64(len(finish.Answered)) >= query.MinimumCoverage*float64(finish.Total)
	if finish.Outcome == OutcomePartial && !covered && m.now < query.Deadline {
		t.Fatalf("settled below the minimum coverage before the deadline: %+v", finish)
	}
}

// checkShards checks that all counted replies belong to the pinned snapshot and that the total is
// the number of shards of its epoch.
func (m *machine) checkShards(t *rapid.T, finish Finish, query *trackedQuery) {
	for _, partition := range m.topology.Partitions {
		if finish.Total > 0 && !query.HasKey && partition.Epoch == finish.Snapshot.Epoch && finish.Total != partition.Shards {
			t.Fatalf("the total is not the number of shards of the epoch: %+v", finish)
		}
	}
	seen := make(map[int]bool)
	for _, answer := range finish.Answered {
		entry := m.attempts[answer.Attempt]
		if !entry.answered || entry.query != query || entry.Shard != answer.Shard || entry.Snapshot != finish.Snapshot {
			t.Fatalf("answer %+v is not a matching reply to an attempt of the query: %+v", answer, finish)
		}
		if seen[answer.Shard] {
			t.Fatalf("shard counted twice: %+v", finish)
		}
		seen[answer.Shard] = true
	}
	for _, shard := range finish.Missing {
		if seen[shard] {
			t.Fatalf("shard both answered and missing: %+v", finish)
		}
		seen[shard] = true
	}
}

// check verifies the invariants after each event.
func (m *machine) check(t *rapid.T) {
	for id, query := range m.queries {
		if query.finish == nil && m.d.queries.byID[id] == nil {
			t.Fatalf("query %d was dropped without a finish", id)
		}
		if at, ok := m.d.NextTick(); query.finish == nil && (!ok || at > m.deadline(query)) {
			t.Fatalf("no tick is due by the deadline of query %d", id)
		}
		if query.finish != nil {
			delete(m.queries, id)
			m.queries[id] = query
		}
	}
	inFlight := 0
	for _, entry := range m.d.attempts.slots {
		if entry.id != 0 {
			inFlight++
		}
	}
	if inFlight != len(m.open) {
		t.Fatalf("got %d attempts in the table, want %d that are in flight", inFlight, len(m.open))
	}
	for _, entry := range m.open {
		if entry.query.finish != nil && !entry.aborted {
			t.Fatalf("attempt not aborted after the finish: %+v", entry.Send)
		}
	}
}

// endAll lets all deadlines pass and all attempts end, and verifies that no state is left over.
func (m *machine) endAll(t *rapid.T) {
	m.now += time.Second
	m.perform(t, m.d.Tick(m.now))
	for len(m.open) > 0 {
		entry := m.open[0]
		m.open = m.open[1:]
		entry.query.inFlight--
		m.perform(t, m.d.Fail(m.now, entry.Attempt, Failure{Sent: true, Aborted: entry.aborted}))
	}
	for id, query := range m.queries {
		if query.finish == nil {
			t.Fatalf("query %d never finished", id)
		}
	}
	for _, l := range m.d.fleet.leaves {
		for _, work := range l.waitingWork.values {
			if work != 0 {
				t.Fatalf("got waiting work %v at a leaf after all queries, want none", l.waitingWork.values)
			}
		}
	}
	if m.d.waiting.queued != 0 || m.d.queries.started != 0 || len(m.d.queries.running) != 0 || len(m.d.queries.pending) != 0 {
		t.Fatalf("got %d waiting shards and %d started, %d running, %d pending queries after all deadlines, want none", m.d.waiting.queued, m.d.queries.started, len(m.d.queries.running), len(m.d.queries.pending))
	}
}
