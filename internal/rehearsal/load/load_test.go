package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startFakeNode starts a node that answers every query. The respond function may change the query
// before it is answered, or write its own response and return true.
func startFakeNode(t *testing.T, respond func(http.ResponseWriter, *api.QueryRequest) bool) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		var query api.QueryRequest
		if err := json.NewDecoder(request.Body).Decode(&query); err != nil {
			t.Error(err)
		}
		if respond != nil && respond(writer, &query) {
			return
		}
		_ = json.NewEncoder(writer).Encode(api.QueryResponse{
			RequestID: query.RequestID, Outcome: dispatch.OutcomeAnswered,
			Coverage: api.Coverage{Answered: 4, Total: 4},
		})
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func testConfig(target string) Config {
	config := DefaultConfig()
	config.Targets = []string{target}
	config.Rate = 400
	config.Duration = Duration(500 * time.Millisecond)
	config.Classes = []Class{
		{Service: "rate-desk", Class: "spot-check", Share: 3, Statement: "select {number} {value}", Numbers: 5, Values: []string{"x"}},
		{Service: "filing-vault", Class: "file-quote", Share: 1, Statement: "insert {sequence}"},
	}
	return config
}

func TestRunCountsEveryRequest(t *testing.T) {
	var mutex sync.Mutex
	countsByID := make(map[string]int)
	target := startFakeNode(t, func(_ http.ResponseWriter, query *api.QueryRequest) bool {
		mutex.Lock()
		defer mutex.Unlock()
		countsByID[query.RequestID]++
		return false
	})
	var progress bytes.Buffer
	result, err := Run(context.Background(), testConfig(target), &progress)
	if err != nil {
		t.Fatal(err)
	}
	answered := 0
	for _, class := range result.Classes {
		answered += class.Outcomes[dispatch.OutcomeAnswered]
		if class.Wrong+class.Transport > 0 || class.Coverage != 1 {
			t.Errorf("class %q: got %+v, want no wrong answers, no transport errors and coverage 1", class.Class, class)
		}
	}
	if result.Sent == 0 || answered != result.Sent || len(countsByID) != result.Sent || progress.Len() == 0 {
		t.Errorf("got %d sent, %d answered, %d distinct IDs, %d bytes of progress, want three equal counts above 0 and progress",
			result.Sent, answered, len(countsByID), progress.Len())
	}
}

// TestLatencyIncludesTimeSinceDue stalls the only request that may be in flight for 300 ms. The
// latencies of the requests that were due during the stall must include the wait, although the node
// answers each of them immediately.
func TestLatencyIncludesTimeSinceDue(t *testing.T) {
	var once sync.Once
	const stall = 300 * time.Millisecond
	target := startFakeNode(t, func(http.ResponseWriter, *api.QueryRequest) bool {
		once.Do(func() { time.Sleep(stall) })
		return false
	})
	config := testConfig(target)
	config.MaximumInFlight = 1
	config.Even = true
	config.Classes = config.Classes[:1]
	result, err := Run(context.Background(), config, nil)
	if err != nil {
		t.Fatal(err)
	}
	class := result.Classes[0]
	if class.Latency.P50 < 2*class.ServiceTime.P50 || class.Latency.P50 < 20 {
		t.Errorf("p50: got latency %.1f ms and service time %.1f ms, want a latency of at least 20 ms and twice the service time",
			class.Latency.P50, class.ServiceTime.P50)
	}
}

func TestRefusalsAndMismatchedAnswersAreCounted(t *testing.T) {
	target := startFakeNode(t, func(writer http.ResponseWriter, query *api.QueryRequest) bool {
		if query.Class == "spot-check" {
			writer.WriteHeader(http.StatusTooManyRequests)
			_ = json.NewEncoder(writer).Encode(api.Problem{Type: api.ProblemNotRunOverload, RequestID: query.RequestID, Outcome: dispatch.OutcomeNotRun})
			return true
		}
		query.RequestID = "another"
		return false
	})
	result, err := Run(context.Background(), testConfig(target), nil)
	if err != nil {
		t.Fatal(err)
	}
	refused, crossed := result.Classes[0], result.Classes[1]
	if refused.Outcomes[dispatch.OutcomeNotRun] != refused.Sent || refused.Bare != refused.Sent || refused.Refusal.Count == 0 {
		t.Errorf("refusals: got %+v, want all requests not run and without Retry-After", refused)
	}
	if crossed.Wrong != crossed.Sent || crossed.Sent == 0 {
		t.Errorf("answers with another request ID: got %+v, want all of them counted as wrong", crossed)
	}
}

func TestScheduleIsSeededAndBounded(t *testing.T) {
	config := testConfig("http://127.0.0.1:1")
	config.MaximumRequests = 50
	first, second := newSchedule(&config, time.Time{}), newSchedule(&config, time.Time{})
	for count := 0; ; count++ {
		a, firstMore := first.next()
		b, secondMore := second.next()
		if a != b || firstMore != secondMore {
			t.Fatalf("request %d: got %+v and %+v from equal seeds, want equal requests", count, a, b)
		}
		if !firstMore {
			if count != config.MaximumRequests {
				t.Errorf("got %d requests, want %d", count, config.MaximumRequests)
			}
			return
		}
	}
}

func TestExperimentFilesAreValid(t *testing.T) {
	paths, err := filepath.Glob("../../../experiments/load/*.toml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("list experiment files: got %v, error %v, want at least 1 file", paths, err)
	}
	for _, path := range paths {
		config, err := ReadConfig(path)
		if err != nil {
			t.Errorf("load %s: got error %v, want none", path, err)
		}
		config.Targets = []string{"http://127.0.0.1:7201"}
		if err := config.Validate(); err != nil {
			t.Errorf("validate %s: got error %v, want none", path, err)
		}
	}
}
