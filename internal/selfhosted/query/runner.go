// Package query runs callers' queries: it plans a statement against the
// catalog, sends it to the owner of its id if it may run only once, has it
// scattered over the shards, and merges what comes back.
//
// It owns the Ledger, which has the ids that this node decides about, and the
// selects that were parsed of late. It relies on decide/once for the decision
// about an id, on language and merge for statements, and on scatter for the
// attempts at leaves; which catalog is in force, and whether this node may act
// on it, it asks its Catalogs.
//
// Errors are *api.Problem values. A problem of a "not run" type is a promise
// that the request ran nowhere and never will.
package query

import (
	"context"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/rows"
	"github.com/micaplank/micaplank/internal/scatter"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// Catalogs returns what is in force on this node.
type CatalogSource interface {
	// Current returns the installed catalog; it must not be modified.
	Current() *catalog.Catalog
	// Fresh reports whether the node can show, at this moment, that it holds
	// every accepted change. A node that cannot takes no new work.
	Fresh() bool
}

// Scatterer runs a planned query over the shards of one service.
type Scatterer interface {
	Execute(ctx context.Context, request scatter.Request[string]) scatter.Result[rows.Table]
}

// Scatterers finds the Scatterer of a service; it reports false if the service
// is not installed.
type ScattererRegistry interface {
	Scatterer(service string) (Scatterer, bool)
}

// Forwarder sends a query to another node, by its name. The error is a
// *ForwardError or a *api.Problem that the other node answered with.
type Forwarder interface {
	Forward(ctx context.Context, node string, forward Forward) (*api.QueryResponse, error)
}

// Forward is a query on its way from the node that took it to its owner.
type Forward struct {
	Service string
	Request api.QueryRequest
	// Remaining is a duration, since the clocks of nodes differ.
	Remaining time.Duration
}

// ForwardError says that the owner gave no answer.
type ForwardError struct {
	Node string
	// Sent is false only if provably no byte of the query left.
	Sent bool
	Err  error
}

// Error describes the failed hop.
func (e *ForwardError) Error() string {
	return "forward to " + e.Node + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ForwardError) Unwrap() error {
	return e.Err
}

// Config is what a Runner needs.
type Config struct {
	// Self is the name of this node's slot.
	Self       string
	Catalogs   CatalogSource
	Scatterers ScattererRegistry
	Forwarder  Forwarder
	Ledger     *Ledger
	// Acknowledged reports whether a majority of the voters has been heard
	// from of late. Only then would this process know that another one has
	// taken over its slot, and so its ids: that the catalog is fresh may also
	// be known from the store alone.
	Acknowledged func() bool
	Clock        clock.Clock
	Metrics      *Metrics
	// RetryWhenStale is the time after which a caller that was refused,
	// because this node was not fresh, may ask again.
	RetryWhenStale time.Duration
}

// Runner runs queries. It is safe for concurrent use.
type Runner struct {
	config         Config
	statementCache *statementCache
}

// New returns a Runner.
func New(config Config) *Runner {
	return &Runner{config: config, statementCache: newStatementCache()}
}

// Query runs a request that a caller sent to this node. It blocks until the
// request has its final answer, at the latest until its deadline.
func (r *Runner) Query(ctx context.Context, service string, request api.QueryRequest) (*api.QueryResponse, error) {
	started := r.config.Clock.Now()
	response, err := r.runQuery(ctx, service, request)
	r.config.Metrics.observe(r.serviceLabel(service), request.Class, response, err, r.config.Clock.Now()-started)
	return response, err
}

func (r *Runner) runQuery(ctx context.Context, service string, request api.QueryRequest) (*api.QueryResponse, error) {
	if !r.config.Catalogs.Fresh() {
		return nil, r.newRefusalProblem(service, request, api.ProblemNotRunStale)
	}
	plan, err := newPlan(r.statementCache, r.config.Catalogs.Current(), service, request)
	if err != nil {
		return nil, err
	}
	if plan.class.Repeatable {
		return r.scatterQuery(ctx, plan)
	}
	return r.routeToOwner(ctx, plan)
}

// SetVoters takes the voting set of a catalog that was installed.
func (r *Runner) SetVoters(current *catalog.Catalog) {
	r.config.Ledger.SetVoters(current.VotersRevision)
}

// scatter runs a planned query over the shards and merges the answer.
func (r *Runner) scatterQuery(ctx context.Context, plan *queryPlan) (*api.QueryResponse, error) {
	scatterer, ok := r.config.Scatterers.Scatterer(plan.service.Name)
	if !ok {
		return nil, plan.newProblem(api.ProblemNotRunSnapshot, "The service is not installed on this node yet.")
	}
	result := scatterer.Execute(ctx, plan.newScatterRequest())
	return plan.toResponse(result)
}
