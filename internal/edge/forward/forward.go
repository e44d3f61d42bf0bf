// Package forward executes client requests whose payload it does not parse. It looks up the route
// of a request in the declared configuration, sends the request to one leaf of each shard that the
// route names, and builds the answer from the partial results.
//
// The package owns the configuration in force, whose version never decreases, and the estimates
// that it learns per request class. A Scatterer (scatter.QueryRunner) makes the attempts: the
// Dispatcher of package dispatch selects leaves and decides on waits and retries. A Quarantine
// handles requests that crash leaves. The rules come from the packages timeleft, requestclass,
// recordfloor and retryafter.
package forward

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/decide/retryafter"
	"github.com/micaplank/micaplank/internal/edge/registry"
	"github.com/micaplank/micaplank/internal/edge/route"
	"github.com/micaplank/micaplank/internal/scatter"
)

// Scatterer executes a request on its shards.
type Scatterer interface {
	Execute(ctx context.Context, request scatter.Request[*Request]) scatter.Result[Part]
}

// Config is the policy of a Forwarder. All fields must be set.
type Config struct {
	// HedgeShare is the fraction of a route's objective, from 0 to 1, after which an attempt is
	// late enough to be hedged.
	HedgeShare float64
	// HedgePercentile is the latency quantile, from 0 to 1, after which an attempt is late enough
	// to be hedged.
	HedgePercentile float64
	// ExtraLoad is the ratio of extra attempts (hedges and retries) that requests earn.
	ExtraLoad float64
	// ClientAllowance is the network time between a client and the node. It counts towards the
	// objective but this node cannot observe it (timeleft.Spent.ClientLink).
	ClientAllowance time.Duration
	// Clock measures how much of a client's timeout is left.
	Clock clock.Clock
}

// Forwarder executes requests. It is safe for concurrent use.
type Forwarder struct {
	config      Config
	scatterer   Scatterer
	quarantine  Quarantine
	index       *registry.Index
	splitter    *route.Splitter
	estimators  *estimators
	table       atomic.Pointer[route.Table]
	configFresh atomic.Bool
	storeOutage atomic.Bool
}

// New returns a Forwarder without a configuration. It answers every request with FateNotRun until
// Install is called.
func New(config Config, scatterer Scatterer, quarantine Quarantine, index *registry.Index) *Forwarder {
	return &Forwarder{
		config: config, scatterer: scatterer, quarantine: quarantine, index: index,
		splitter: route.NewSplitter(rand.IntN), estimators: newEstimators(),
	}
}

// Install puts a configuration into force if its version is higher than the one in force, or was
// reissued. It reports whether it did. Calls must not overlap.
func (f *Forwarder) Install(table *route.Table) bool {
	if current := f.table.Load(); current != nil && !table.Config.Reissued && table.Config.Version <= current.Config.Version {
		return false
	}
	f.splitter.Retain(table.Config)
	f.table.Store(table)
	return true
}

// Table returns the configuration in force, or nil if there is none.
func (f *Forwarder) Table() *route.Table { return f.table.Load() }

// SetFresh sets whether the configuration in force is known to be the newest. Only then is a
// request without a route answered with FateNoRoute.
func (f *Forwarder) SetFresh(fresh bool) { f.configFresh.Store(fresh) }

// SetOutage sets whether the store is unreachable.
func (f *Forwarder) SetOutage(outage bool) { f.storeOutage.Store(outage) }

// Execute executes a request and blocks until its fate is known. When ctx ends, because the client
// disconnected, the attempts are cancelled.
func (f *Forwarder) Execute(ctx context.Context, request *Request) Answer {
	table := f.table.Load()
	if table == nil {
		return f.notRun(dispatch.ReasonNoSnapshot)
	}
	return f.executeWith(ctx, table, request)
}

// ExecuteVersion executes a request like Execute if the given version of the configuration is in
// force. Otherwise it returns false and executes nothing.
func (f *Forwarder) ExecuteVersion(ctx context.Context, version uint64, request *Request) (Answer, bool) {
	table := f.table.Load()
	if table == nil || table.Config.Version != version {
		return Answer{}, false
	}
	return f.executeWith(ctx, table, request), true
}

// Version returns the version of the configuration in force, or zero if there is none.
func (f *Forwarder) Version() uint64 {
	if table := f.table.Load(); table != nil {
		return table.Config.Version
	}
	return 0
}

// FanOut reports whether a request runs on several shards, and its timeout from now on.
func (f *Forwarder) FanOut(request *Request) (timeout time.Duration, multiShard bool) {
	table := f.table.Load()
	if table == nil {
		return 0, false
	}
	matched, ok := table.Match(request.Host, request.Path)
	if !ok || len(matched.Shards) < 2 || !matched.Repeatable {
		return 0, false
	}
	return f.computeTimeout(matched, request), true
}

// Fresh reports whether the configuration in force is known to be the newest.
func (f *Forwarder) Fresh() bool { return f.configFresh.Load() }

func (f *Forwarder) executeWith(ctx context.Context, table *route.Table, request *Request) Answer {
	matched, ok := table.Match(request.Host, request.Path)
	if !ok {
		if f.configFresh.Load() {
			return Answer{Fate: FateNoRoute, Version: table.Config.Version}
		}
		return f.notRun(dispatch.ReasonNoSnapshot)
	}
	answer := f.run(ctx, matched, request)
	answer.Route = matched.Name
	answer.Version = table.Config.Version
	return answer
}

// run executes a request if the Quarantine admits it.
func (f *Forwarder) run(ctx context.Context, matched *route.Route, request *Request) Answer {
	content := request.Content()
	if answer, admitted := f.admit(ctx, matched, request, content); !admitted {
		return answer
	}
	planned := f.planQuery(matched, request)
	startedAt := f.config.Clock.Now()
	result := f.scatterer.Execute(ctx, planned)
	f.quarantine.RecordExecution(content, Execution{RequestID: request.ID, Route: matched.Name, StartedAt: startedAt, Attempts: result.Attempts})
	return f.buildAnswer(ctx, matched, planned.Class.Name, result)
}

func (f *Forwarder) notRun(reason dispatch.Reason) Answer {
	return Answer{Fate: FateNotRun, Reason: reason, RetryAfter: retryafter.AwaitStore(f.storeOutage.Load())}
}
