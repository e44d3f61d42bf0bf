package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// queryBody is the body of a query. The pointer distinguishes a deadline of 0, which is
// invalid, from an absent deadline.
type queryBody struct {
	api.QueryRequest
	DeadlineMilliseconds *int64 `json:"deadline_ms"`
}

// decodeQuery decodes the body of a query and rejects a deadline of 0.
func (g *Gateway) decodeQuery(c echo.Context) (api.QueryRequest, error) {
	var body queryBody
	if err := g.decode(c, &body); err != nil {
		return api.QueryRequest{}, err
	}
	request := body.QueryRequest
	if body.DeadlineMilliseconds == nil {
		return request, nil
	}
	if request.DeadlineMilliseconds = *body.DeadlineMilliseconds; request.DeadlineMilliseconds == 0 {
		problem := api.NewProblem(api.ProblemInvalidDeadline, "deadline_ms is 0; leave it out for the deadline of the class.")
		problem.RequestID = request.RequestID
		return request, problem
	}
	return request, nil
}

// decode decodes a JSON body strictly: an unknown key, a value of the wrong type or a
// second value is an error that names its place. The body must arrive within BodyTimeout,
// since a slow body would delay a planned stop of the node.
func (g *Gateway) decode(c echo.Context, target any) error {
	// The server clears the deadline after it has read the whole body. The error is
	// ignored since the response recorders of tests do not support deadlines.
	_ = http.NewResponseController(c.Response()).SetReadDeadline(time.Now().Add(g.config.BodyTimeout))
	return decodeStrict(c.Request().Body, target)
}

// decodeStrict decodes a body that must hold exactly one JSON value without unknown keys.
func decodeStrict(body io.Reader, target any) error {
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return newDecodeProblem(err)
	}
	_, err := decoder.Token()
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case errors.As(err, &tooLarge), errors.Is(err, os.ErrDeadlineExceeded):
		return newDecodeProblem(err)
	}
	return api.NewProblem(api.ProblemInvalidRequest, "The body must hold one JSON object and nothing after it.")
}

// newDecodeProblem returns a problem that describes a decoding error in terms of the JSON
// document instead of the Go types.
func newDecodeProblem(err error) error {
	var tooLarge *http.MaxBytesError
	var wrongType *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &tooLarge):
		return err
	case errors.Is(err, os.ErrDeadlineExceeded):
		return api.NewProblem(api.ProblemInvalidRequest, "The body did not arrive in time.")
	case errors.As(err, &wrongType):
		return api.NewProblem(api.ProblemInvalidRequest, describeWrongType(wrongType))
	case errors.As(err, &syntax):
		return api.NewProblem(api.ProblemInvalidRequest, fmt.Sprintf("The body is no JSON: %s, after %d bytes.", syntax, syntax.Offset))
	case errors.Is(err, io.EOF):
		return api.NewProblem(api.ProblemInvalidRequest, "The body is empty; a JSON object is expected.")
	case errors.Is(err, io.ErrUnexpectedEOF):
		return api.NewProblem(api.ProblemInvalidRequest, "The body ends within a JSON value.")
	}
	message := strings.TrimPrefix(err.Error(), "json: ")
	return api.NewProblem(api.ProblemInvalidRequest, strings.Replace(message, "unknown field", "unknown key", 1))
}

// describeWrongType names the key, the expected type and the given type.
func describeWrongType(err *json.UnmarshalTypeError) string {
	if err.Field == "" {
		return fmt.Sprintf("The body must be a JSON object, not %s.", withArticle(err.Value))
	}
	expected := map[string]string{"int64": "a whole number", "float64": "a number", "bool": "true or false", "string": "a string"}[err.Type.Kind().String()]
	return fmt.Sprintf("%s must be %s, not %s.", err.Field, expected, withArticle(err.Value))
}

// withArticle returns the kind of a JSON value with an article. For a number out of range
// encoding/json includes the text of the number, which is returned instead.
func withArticle(kind string) string {
	switch {
	case kind == "bool":
		return "true or false"
	case strings.HasPrefix(kind, "number "):
		return strings.TrimPrefix(kind, "number ")
	case kind == "array" || kind == "object":
		return "an " + kind
	}
	return "a " + kind
}
