// Package gateway serves a node's HTTP interface: queries of callers, commands
// of operators, health and metrics. Shapes and errors are those of package api.
//
// It owns routes, limits of bodies and the header that ends connections while
// the node drains. It decides nothing about a request: for that it relies on its
// Queries and Operations.
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

// Queries runs callers' queries. An error is a *api.Problem.
type QueryRunner interface {
	Query(ctx context.Context, service string, request api.QueryRequest) (*api.QueryResponse, error)
}

// Operations carries out operators' commands. Errors are *api.Problem values.
type OperatorService interface {
	Statement(ctx context.Context, request api.StatementRequest) (*api.StatementResponse, error)
	Change(ctx context.Context, id string) (*api.StatementResponse, error)
	Status(ctx context.Context) (*api.StatusResponse, error)
	Catalog() *catalog.Catalog
	Drain(ctx context.Context, node string) (*api.DrainResponse, error)
}

// Config is what a Gateway serves.
type Config struct {
	Queries    QueryRunner
	Operations OperatorService
	// Metrics answers GET /metrics.
	Metrics http.Handler
	Logger  *slog.Logger
	// BodyBytes limits the size of a request body.
	BodyBytes int64
	// BodyTimeout limits the time in which a request body arrives; zero means
	// DefaultBodyTimeout.
	BodyTimeout time.Duration
	// Ready says whether the node takes work now, and if not, why.
	Ready func() error
}

// DefaultBodyTimeout is the longest time in which a request body arrives.
const DefaultBodyTimeout = 10 * time.Second

// Gateway is an http.Handler. It is safe for concurrent use.
type Gateway struct {
	config   Config
	router   *echo.Echo
	draining atomic.Bool
}

// New returns a Gateway.
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

// echoPath turns {name} into echo's :name.
func echoPath(path string) string {
	return strings.NewReplacer("{", ":", "}", "").Replace(path)
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	g.router.ServeHTTP(writer, request)
}

// Drain makes the node not ready and asks callers to close their connections
// after the next answer. Requests in flight go on.
func (g *Gateway) Drain() {
	g.draining.Store(true)
}

func (g *Gateway) limitBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		request := c.Request()
		request.Body = http.MaxBytesReader(c.Response(), request.Body, g.config.BodyBytes)
		return next(c)
	}
}

func (g *Gateway) closeWhenDraining(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if g.draining.Load() {
			c.Response().Header().Set("Connection", "close")
		}
		return next(c)
	}
}

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
	if err := g.config.Ready(); err != nil {
		return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// asProblem finds the problem that an error is or becomes.
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
