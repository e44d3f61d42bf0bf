// Package query runs callers' queries. It plans a statement against the catalog,
// forwards a request of an at-most-once class to the owner of its id, scatters the
// statement over the shards, and merges their tables.
//
// The package owns the Ledger, which records the ids that this node owns, and a cache of
// recently parsed selects. Package decide/once decides whether an id may run, packages
// language and merge parse and plan statements, and package scatter sends attempts to
// leaves. A CatalogSource provides the catalog in force and reports whether this node may
// act on it.
//
// Errors are *api.Problem values. A problem of a "not run" type guarantees that the
// request ran on no leaf and never will.
package query

import (
	"context"
	"log/slog"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/rows"
	"github.com/micaplank/micaplank/internal/scatter"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// CatalogSource provides the catalog that is in force on this node.
type CatalogSource interface {
	// Current returns the installed catalog, which callers must not modify.
	Current() *catalog.Catalog
	// Fresh reports whether the node can prove now that it holds every accepted
	// change. A node that cannot prove it accepts no new requests.
	Fresh() bool
}

// Scatterer runs a planned query over the shards of one service.
type Scatterer interface {
	Execute(ctx context.Context, request scatter.Request[string]) scatter.Result[rows.Table]
}

// ScattererRegistry looks up the Scatterer of a service. It reports false if the
// service is not installed.
type ScattererRegistry interface {
	Scatterer(service string) (Scatterer, bool)
}

// Forwarder sends a query to the node with the given name. It withdraws the query when
// ForwardedQuery.Remaining has passed, and waits for the response until ctx ends. The error
// is a *ForwardError, or the *api.Problem with which that node responded.
type Forwarder interface {
	Forward(ctx context.Context, node string, forward ForwardedQuery) (*api.QueryResponse, error)
	// AskOutcome asks the node for the outcome of a query that was forwarded to it before; see
	// Runner.ForwardedOutcome. It never makes the node run the query.
	AskOutcome(ctx context.Context, node string, forward ForwardedQuery) (*api.QueryResponse, error)
}

// ForwardedQuery is a query that the receiving node forwards to the owner of the request id.
type ForwardedQuery struct {
	Service string
	Request api.QueryRequest
	// Remaining is the time until the deadline. It is sent as a duration since the
	// clocks of nodes differ.
	Remaining time.Duration
}

// ForwardError is returned if the owner gave no response.
type ForwardError struct {
	Node string
	// Sent is false only if no byte of the query can have been sent.
	Sent bool
	Err  error
}

// Error names the node and the cause.
func (e *ForwardError) Error() string {
	return "forward to " + e.Node + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ForwardError) Unwrap() error {
	return e.Err
}

// Config holds the dependencies and settings of a Runner.
type Config struct {
	// NodeName is the name of this node, which identifies its slot among the voters.
	NodeName   string
	Catalogs   CatalogSource
	Scatterers ScattererRegistry
	Forwarder  Forwarder
	Ledger     *Ledger
	// HasVoterMajority reports whether a majority of the voters has acknowledged this
	// process recently. A fresh catalog alone is not enough: the node may have read it
	// from the store. Only contact with the voters shows whether another process has
	// taken over this node's slot, and with it the ownership of its ids.
	HasVoterMajority func() bool
	Clock            clock.Clock
	Metrics          *Metrics
	// Logger receives a line for each request that may run at most once and whose outcome is
	// unknown, so that an operator can find out whether it ran.
	Logger *slog.Logger
	// StaleRetryAfter is the retry delay for callers that were refused because this
	// node was not fresh.
	StaleRetryAfter time.Duration
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

// Query runs a request that a caller sent to this node. It blocks until the request has
// its final result: at most until the deadline, or for a request that may have run and must
// not be repeated until once.ForwardedOutcomeWait after it.
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

// SetVoters passes the voting set of an installed catalog to the ledger.
func (r *Runner) SetVoters(current *catalog.Catalog) {
	r.config.Ledger.SetVoters(current.VotersRevision)
}

// scatterQuery runs a planned query over the shards and merges their tables.
func (r *Runner) scatterQuery(ctx context.Context, plan *queryPlan) (*api.QueryResponse, error) {
	started := r.config.Clock.Now()
	scatterer, ok := r.config.Scatterers.Scatterer(plan.service.Name)
	if !ok {
		return nil, plan.newProblem(api.ProblemNotRunNoSnapshot, "The service is not installed on this node yet.")
	}
	result := scatterer.Execute(ctx, plan.newScatterRequest())
	if result.Outcome == dispatch.OutcomeUnknown {
		r.logUnknownOutcome(plan, r.config.Clock.Now()-started, result)
	}
	return plan.toResponse(result)
}
