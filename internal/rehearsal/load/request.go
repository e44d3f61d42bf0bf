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

// maximumBody bounds what is read of an answer.
const maximumBody = 64 << 20

// received is what an answer said.
type received struct {
	outcome dispatch.Outcome
	// problem is the type of the problem document, if there was one.
	problem  api.ProblemType
	coverage float64
	rows     int
	// retryAfter is set if a refusal says when to come back.
	retryAfter bool
	// transport is set if no answer came at all.
	transport bool
	// wrong is set if the answer is not one to the request, or contradicts
	// itself.
	wrong bool
}

// perform sends one request and reads its answer.
func perform(config *Config, client *http.Client, due call) answer {
	class := &config.Classes[due.class]
	id := ulid.Make().String()
	body, err := json.Marshal(api.QueryRequest{
		RequestID: id, Class: class.Class, Statement: due.body,
		DeadlineMilliseconds: class.DeadlineMilliseconds, MinimumCoverage: class.MinimumCoverage,
	})
	if err != nil {
		return answer{call: due, received: received{wrong: true}}
	}
	path := strings.Replace(api.QueryPath, "{service}", class.Service, 1)
	sent := time.Now()
	got := exchange(client, due.target+path, id, body)
	ended := time.Now()
	return answer{call: due, latency: ended.Sub(due.due), service: ended.Sub(sent), received: got}
}

func exchange(client *http.Client, url, id string, body []byte) received {
	response, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return received{transport: true}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maximumBody))
	if err != nil {
		return received{transport: true}
	}
	if response.StatusCode != http.StatusOK {
		return readProblem(response, id, text)
	}
	return readAnswer(id, text)
}

func readProblem(response *http.Response, id string, text []byte) received {
	var problem api.Problem
	if err := json.Unmarshal(text, &problem); err != nil {
		return received{wrong: true}
	}
	return received{
		outcome:    problem.Outcome,
		problem:    problem.Type,
		retryAfter: response.Header.Get("Retry-After") != "",
		wrong:      problem.RequestID != "" && problem.RequestID != id,
	}
}

func readAnswer(id string, text []byte) received {
	var response api.QueryResponse
	if err := json.Unmarshal(text, &response); err != nil {
		return received{wrong: true}
	}
	coverage := response.Coverage
	consistent := coverage.Answered+len(coverage.Missing) == coverage.Total && coverage.Total > 0
	return received{
		outcome:  response.Outcome,
		coverage: float64(coverage.Answered) / float64(max(coverage.Total, 1)),
		rows:     len(response.Rows),
		wrong:    response.RequestID != id || !consistent,
	}
}
