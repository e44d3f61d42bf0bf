package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// defaultOperatorTimeout is the timeout of operators' commands that do not set one.
const defaultOperatorTimeout = 10 * time.Second

// maxOperatorTimeout is the longest timeout that operators' commands may set.
const maxOperatorTimeout = 5 * time.Minute

func (g *Gateway) handleQuery(c echo.Context) error {
	request, err := g.decodeQuery(c)
	if err != nil {
		return err
	}
	response, err := g.config.Queries.Query(c.Request().Context(), c.Param("service"), request)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, response)
}

func (g *Gateway) handleStatement(c echo.Context) error {
	var request api.StatementRequest
	if err := g.decode(c, &request); err != nil {
		return err
	}
	ctx, cancel, err := withOperatorTimeout(c, request.TimeoutMilliseconds)
	if err != nil {
		return err
	}
	defer cancel()
	response, err := g.config.Operations.Statement(ctx, request)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, response)
}

func (g *Gateway) handleChange(c echo.Context) error {
	var timeoutMilliseconds int64
	if text := c.QueryParam(api.TimeoutParameter); text != "" {
		parsed, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return api.NewProblem(api.ProblemInvalidRequest, api.TimeoutParameter+" must be a whole number of milliseconds.")
		}
		timeoutMilliseconds = parsed
	}
	ctx, cancel, err := withOperatorTimeout(c, timeoutMilliseconds)
	if err != nil {
		return err
	}
	defer cancel()
	response, err := g.config.Operations.Change(ctx, c.Param("id"))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, response)
}

// withOperatorTimeout returns the context of the request with the timeout of an operator's
// command.
func withOperatorTimeout(c echo.Context, timeoutMilliseconds int64) (context.Context, context.CancelFunc, error) {
	// Compare milliseconds: converting a large value to a time.Duration would overflow.
	if timeoutMilliseconds < 0 || timeoutMilliseconds > maxOperatorTimeout.Milliseconds() {
		return nil, nil, api.NewProblem(api.ProblemInvalidDeadline, "timeout_ms must be between 1 and "+strconv.FormatInt(maxOperatorTimeout.Milliseconds(), 10)+".")
	}
	timeout := time.Duration(timeoutMilliseconds) * time.Millisecond
	if timeout == 0 {
		timeout = defaultOperatorTimeout
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), timeout)
	return ctx, cancel, nil
}

func (g *Gateway) handleStatus(c echo.Context) error {
	response, err := g.config.Operations.Status(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, response)
}

func (g *Gateway) handleCatalog(c echo.Context) error {
	document, err := catalog.Encode(g.config.Operations.Catalog())
	if err != nil {
		return err
	}
	return c.JSONBlob(http.StatusOK, document)
}

func (g *Gateway) handleDrain(c echo.Context) error {
	response, err := g.config.Operations.Drain(c.Request().Context(), c.Param("name"))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusAccepted, response)
}

// writeError responds with a problem document. It sets Retry-After, rounded up to whole
// seconds, if the problem has a retry delay.
func (g *Gateway) writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	problem := toProblem(err)
	if problem.RetryAfterMilliseconds > 0 {
		seconds := (problem.RetryAfterMilliseconds + 999) / 1000
		c.Response().Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	document, err := json.Marshal(problem)
	if err != nil {
		g.config.Logger.Error("encode problem document failed", "error", err)
		return
	}
	// A write error means that the caller has disconnected, so it is ignored.
	_ = c.Blob(problem.Status, api.ProblemContentType, document)
}
