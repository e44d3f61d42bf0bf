package load

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// maximumBodyBytes limits how much of a response body is read.
const maximumBodyBytes = 64 << 20

// reply is the relevant content of a response.
type reply struct {
	outcome dispatch.Outcome
	// problem is the type of the problem document. It is empty if the response has none.
	problem  api.ProblemType
	coverage float64
	rows     int
	// retryAfter is set if a refusal has a Retry-After header.
	retryAfter bool
	// transportError is set if no complete response was received.
	transportError bool
	// invalid is set if the response cannot be decoded, belongs to another request or is
	// inconsistent.
	invalid bool
}

// sendRequest sends a scheduled request and reads its response.
func sendRequest(config *Config, client *http.Client, request scheduledRequest) requestResult {
	class := &config.Classes[request.class]
	id := ulid.Make().String()
	body, err := json.Marshal(api.QueryRequest{
		RequestID: id, Class: class.Class, Statement: request.statement,
		DeadlineMilliseconds: class.DeadlineMilliseconds, MinimumCoverage: class.MinimumCoverage,
	})
	if err != nil {
		return requestResult{scheduledRequest: request, reply: reply{invalid: true}}
	}
	path := strings.Replace(api.QueryPath, "{service}", class.Service, 1)
	sent := time.Now()
	received := postQuery(client, request.target+path, id, body)
	ended := time.Now()
	return requestResult{scheduledRequest: request, latency: ended.Sub(request.due), serviceTime: ended.Sub(sent), reply: received}
}

func postQuery(client *http.Client, url, id string, body []byte) reply {
	response, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return reply{transportError: true}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maximumBodyBytes))
	if err != nil {
		return reply{transportError: true}
	}
	if response.StatusCode != http.StatusOK {
		return parseProblem(response, id, text)
	}
	return parseAnswer(id, text)
}

func parseProblem(response *http.Response, id string, text []byte) reply {
	var problem api.Problem
	if err := json.Unmarshal(text, &problem); err != nil {
		return reply{invalid: true}
	}
	return reply{
		outcome:    problem.Outcome,
		problem:    problem.Type,
		retryAfter: response.Header.Get("Retry-After") != "",
		invalid:    problem.RequestID != "" && problem.RequestID != id,
	}
}

func parseAnswer(id string, text []byte) reply {
	var response api.QueryResponse
	if err := json.Unmarshal(text, &response); err != nil {
		return reply{invalid: true}
	}
	coverage := response.Coverage
	consistent := coverage.Answered+len(coverage.Missing) == coverage.Total && coverage.Total > 0
	return reply{
		outcome:  response.Outcome,
		coverage: float64(coverage.Answered) / float64(max(coverage.Total, 1)),
		rows:     len(response.Rows),
		invalid:  response.RequestID != id || !consistent,
	}
}
