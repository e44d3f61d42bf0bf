package query

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/decide/once"
	"github.com/micaplank/micaplank/internal/rows"
	"github.com/micaplank/micaplank/internal/scatter"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// validID is a request id in the form of a ULID.
const validID = "01JEXAMPMVJ9E7WXCY0TK9JJKD"

const retryWhenStale = 500 * time.Millisecond

type fakeCatalogSource struct {
	current *catalog.Catalog
	fresh   bool
	// staleAtCall makes the catalog stale at that call of Fresh, counted from 1. 0 never
	// makes it stale.
	staleAtCall int
}

func (f *fakeCatalogSource) Current() *catalog.Catalog { return f.current }

func (f *fakeCatalogSource) Fresh() bool {
	if f.staleAtCall > 0 {
		if f.staleAtCall--; f.staleAtCall == 0 {
			f.fresh = false
		}
	}
	return f.fresh
}

type fakeScatterer struct {
	mutex       sync.Mutex
	executions  int
	lastRequest scatter.Request[string]
	result      scatter.Result[rows.Table]
	// onExecute, if set, is called during Execute.
	onExecute func(ctx context.Context)
}

func (f *fakeScatterer) Execute(ctx context.Context, request scatter.Request[string]) scatter.Result[rows.Table] {
	f.mutex.Lock()
	f.executions++
	f.lastRequest = request
	f.mutex.Unlock()
	if f.onExecute != nil {
		f.onExecute(ctx)
	}
	return f.result
}

type fakeScattererRegistry struct {
	scatterer *fakeScatterer
	missing   bool
}

func (f *fakeScattererRegistry) Scatterer(string) (Scatterer, bool) { return f.scatterer, !f.missing }

type fakeForwarder struct {
	calls int
	// asks counts the calls of AskOutcome, which return the results of onAsk or no response.
	asks        int
	onAsk       func(ask int) (*api.QueryResponse, error)
	lastNode    string
	lastForward ForwardedQuery
	response    *api.QueryResponse
	err         error
}

func (f *fakeForwarder) Forward(_ context.Context, node string, forward ForwardedQuery) (*api.QueryResponse, error) {
	f.calls++
	f.lastNode, f.lastForward = node, forward
	return f.response, f.err
}

func (f *fakeForwarder) AskOutcome(_ context.Context, node string, _ ForwardedQuery) (*api.QueryResponse, error) {
	f.asks++
	if f.onAsk == nil {
		return nil, &ForwardError{Node: node, Err: errors.New("refused")}
	}
	return f.onAsk(f.asks)
}

// manualClock is a clock that only tests advance.
type manualClock struct{ now time.Duration }

func (c *manualClock) Now() time.Duration { return c.now }

// fixture is a Runner of node-a1, one of the voters, with fake dependencies.
type fixture struct {
	t               *testing.T
	runner          *Runner
	catalogs        *fakeCatalogSource
	scatterer       *fakeScatterer
	scatterers      *fakeScattererRegistry
	forwarder       *fakeForwarder
	ledger          *Ledger
	clock           *manualClock
	timeOfDay       time.Time
	ownershipProved bool
	// withoutMajority makes HasVoterMajority report false.
	withoutMajority bool
	idCounter       uint64
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{
		t:               t,
		catalogs:        &fakeCatalogSource{current: exampleCatalog(), fresh: true},
		scatterer:       &fakeScatterer{},
		forwarder:       &fakeForwarder{},
		clock:           &manualClock{now: time.Minute},
		timeOfDay:       time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC),
		ownershipProved: true,
	}
	f.scatterers = &fakeScattererRegistry{scatterer: f.scatterer}
	f.scatterer.result = scatter.Result[rows.Table]{Finish: dispatch.Finish{Outcome: dispatch.OutcomeAnswered, Total: 1, Answered: []dispatch.ShardAnswer{{Shard: 0, Attempt: 1}}}}
	f.scatterer.result.Parts = []scatter.ShardPart[rows.Table]{{Shard: 0, Part: rows.Table{Columns: []string{"lane"}}}}
	f.ledger = newLedger(once.DefaultConfig(), f.clock, func() time.Time { return f.timeOfDay }, func(time.Duration, uint64) bool { return f.ownershipProved })
	f.runner = New(Config{
		NodeName:         "node-a1",
		Catalogs:         f.catalogs,
		Scatterers:       f.scatterers,
		Forwarder:        f.forwarder,
		Ledger:           f.ledger,
		HasVoterMajority: func() bool { return !f.withoutMajority },
		Clock:            f.clock,
		Metrics:          NewMetrics(prometheus.NewRegistry()),
		Logger:           slog.New(slog.DiscardHandler),
		StaleRetryAfter:  retryWhenStale,
	})
	f.runner.SetVoters(f.catalogs.current)
	return f
}

func exampleCatalog() *catalog.Catalog {
	classes := map[string]catalog.Class{
		"sweep": {Name: "sweep", Priority: 2, Deadline: 2 * time.Second, Coverage: 0.9, Repeatable: true},
		"file":  {Name: "file", Priority: 1, Deadline: 2 * time.Second, Coverage: 1},
	}
	partitions := []catalog.Partition{{Epoch: 1, Shards: 8}}
	current := catalog.Empty()
	current.Revision = 9
	current.Services = map[string]catalog.Service{
		"rate-desk": {Name: "rate-desk", Replicas: 2, KeyColumn: "quote", Partitions: partitions, Classes: classes},
		"plain":     {Name: "plain", Replicas: 2, Partitions: partitions, Classes: classes},
	}
	current.Voters = newVoters("node-a1", "node-b1", "node-c1")
	current.VotersRevision = current.Revision
	return current
}

func newVoters(names ...string) map[string]catalog.Voter {
	set := make(map[string]catalog.Voter, len(names))
	for _, name := range names {
		set[name] = catalog.Voter{Name: name, Zone: "a"}
	}
	return set
}

// advance advances the monotonic clock and the time of day.
func (f *fixture) advance(duration time.Duration) {
	f.clock.now += duration
	f.timeOfDay = f.timeOfDay.Add(duration)
}

// newRequestID returns an id with the current time that the given node owns by the
// current voters.
func (f *fixture) newRequestID(owner string) string {
	for {
		f.idCounter++
		var id ulid.ULID
		_ = id.SetTime(ulid.Timestamp(f.timeOfDay))
		id[15], id[14] = byte(f.idCounter), byte(f.idCounter>>8)
		if once.Owner(f.catalogs.current.VoterNames(), id) == owner {
			return id.String()
		}
	}
}

func (f *fixture) findOwner(request api.QueryRequest) string {
	return once.Owner(f.catalogs.current.VoterNames(), ulid.MustParse(request.RequestID))
}

// newInsert returns an insert whose id this node owns.
func (f *fixture) newInsert() api.QueryRequest { return f.newInsertFor("node-a1") }

func (f *fixture) newInsertFor(owner string) api.QueryRequest {
	return api.QueryRequest{
		RequestID: f.newRequestID(owner), Class: "file",
		Statement: "insert into rate-desk (quote, lane) values ('Q-1', 'OTR-SPK')",
	}
}

// newFixturePastFence returns a fixture whose ownership is proved and whose clock is past
// the fence of the ledger, so that new ids are accepted.
func newFixturePastFence(t *testing.T) *fixture {
	f := newFixture(t)
	f.advance(time.Second)
	// The query completes the pending ownership.
	_, _ = f.runner.Query(context.Background(), "rate-desk", f.newInsert())
	f.advance(time.Minute)
	f.scatterer.executions = 0
	return f
}
