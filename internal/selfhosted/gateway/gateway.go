// Package gateway serves the HTTP interface of a node: callers' queries, operators'
// commands, health checks and metrics. Package api defines the documents and errors.
//
// The package owns the routes, the limits on request bodies, and the header that closes
// connections while the node drains. It passes each request to a QueryRunner or an
// OperatorService, which decide about it.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// QueryRunner runs callers' queries. Errors are *api.Problem values.
type QueryRunner interface {
	Query(ctx context.Context, service string, request api.QueryRequest) (*api.QueryResponse, error)
}

// OperatorService executes operators' commands. Errors are *api.Problem values.
type OperatorService interface {
	Statement(ctx context.Context, request api.StatementRequest) (*api.StatementResponse, error)
	Change(ctx context.Context, id string) (*api.StatementResponse, error)
	Status(ctx context.Context) (*api.StatusResponse, error)
	Catalog() *catalog.Catalog
	Drain(ctx context.Context, node string) (*api.DrainResponse, error)
}

// Config holds the dependencies and limits of a Gateway.
type Config struct {
	Queries    QueryRunner
	Operations OperatorService
	// Metrics handles GET /metrics.
	Metrics http.Handler
	Logger  *slog.Logger
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// BodyTimeout is the maximum time for a request body to arrive. 0 means
	// DefaultBodyTimeout.
	BodyTimeout time.Duration
	// CheckReady returns nil if the node accepts requests now, and otherwise the reason.
	CheckReady func() error
}

// DefaultBodyTimeout is the default of Config.BodyTimeout.
const DefaultBodyTimeout = 10 * time.Second

// Gateway is the http.Handler of a node. It is safe for concurrent use.
type Gateway struct {
	config   Config
	router   *echo.Echo
	draining atomic.Bool
}

// New returns a Gateway with the routes of package api.
func New(config Config) *Gateway {
	if config.BodyTimeout == 0 {
		config.BodyTimeout = DefaultBodyTimeout
	}
	gateway := &Gateway{config: config, router: echo.New()}
	gateway.router.HTTPErrorHandler = gateway.writeError
	gateway.router.Use(gateway.recoverPanics(), gateway.limitBody, gateway.closeWhenDraining)
	gateway.registerRoutes()
	return gateway
}

func (g *Gateway) registerRoutes() {
	g.router.POST(echoPath(api.QueryPath), g.handleQuery)
	g.router.POST(echoPath(api.StatementsPath), g.handleStatement)
	g.router.GET(echoPath(api.ChangePath), g.handleChange)
	g.router.GET(echoPath(api.StatusPath), g.handleStatus)
	g.router.GET(echoPath(api.CatalogPath), g.handleCatalog)
	g.router.POST(echoPath(api.DrainPath), g.handleDrain)
	g.router.GET("/healthz", g.handleHealth)
	g.router.GET("/readyz", g.handleReady)
	g.router.GET("/metrics", echo.WrapHandler(g.config.Metrics))
}

// echoPath converts path parameters from {name} to the form :name of echo.
func echoPath(path string) string {
	return strings.NewReplacer("{", ":", "}", "").Replace(path)
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	g.router.ServeHTTP(writer, request)
}

// Drain makes the node report that it is not ready, and closes each connection after its
// next response. Requests in flight continue.
func (g *Gateway) Drain() {
	g.draining.Store(true)
}

// limitBody limits the size of request bodies to Config.MaxBodyBytes.
func (g *Gateway) limitBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		request := c.Request()
		request.Body = http.MaxBytesReader(c.Response(), request.Body, g.config.MaxBodyBytes)
		return next(c)
	}
}

// closeWhenDraining sets the header that closes the connection while the node drains.
func (g *Gateway) closeWhenDraining(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if g.draining.Load() {
			c.Response().Header().Set("Connection", "close")
		}
		return next(c)
	}
}

// recoverPanics logs a panic of a handler with its stack and responds with an internal
// problem that contains neither.
func (g *Gateway) recoverPanics() echo.MiddlewareFunc {
	return middleware.RecoverWithConfig(middleware.RecoverConfig{
		LogErrorFunc: func(c echo.Context, err error, stack []byte) error {
			g.config.Logger.Error("handler panicked", "path", c.Path(), "error", err, "stack", string(stack))
			return api.NewProblem(api.ProblemInternal, "")
		},
	})
}

func (g *Gateway) handleHealth(c echo.Context) error {
	return c.String(http.StatusOK, "ok\n")
}

func (g *Gateway) handleReady(c echo.Context) error {
	if g.draining.Load() {
		return c.String(http.StatusServiceUnavailable, "draining\n")
	}
	if err := g.config.CheckReady(); err != nil {
		return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// toProblem returns the problem in the chain of an error, or converts the error to one.
func toProblem(err error) *api.Problem {
	var problem *api.Problem
	if errors.As(err, &problem) {
		return problem
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return api.NewProblem(api.ProblemBodyTooLarge, fmt.Sprintf("The limit is %d bytes.", tooLarge.Limit))
	}
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) && (httpError.Code == http.StatusNotFound || httpError.Code == http.StatusMethodNotAllowed) {
		return api.NewProblem(api.ProblemUnknownPath, "")
	}
	return api.NewProblem(api.ProblemInternal, err.Error())
}
