package operator

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// fakeNode responds with the files of testdata/answers and records the bodies of the requests.
type fakeNode struct {
	server *httptest.Server
	mutex  sync.Mutex
	bodies []string
	// dropPosts makes the node close the connection of each POST without a response.
	dropPosts bool
}

func newFakeNode(t *testing.T) *fakeNode {
	node := &fakeNode{}
	node.server = httptest.NewServer(node)
	t.Cleanup(node.server.Close)
	return node
}

func (n *fakeNode) address() netip.AddrPort {
	return netip.MustParseAddrPort(n.server.Listener.Addr().String())
}

func (n *fakeNode) receivedBodies() []string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.bodies
}

// ServeHTTP responds with the file that is named after the path and the change id or request
// id of the body. A file with a problem is sent with the status of the problem.
func (n *fakeNode) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	n.mutex.Lock()
	n.bodies = append(n.bodies, string(body))
	n.mutex.Unlock()
	if n.dropPosts && request.Method == http.MethodPost {
		panic(http.ErrAbortHandler)
	}
	name := strings.ReplaceAll(strings.TrimPrefix(request.URL.Path, "/v1/"), "/", "_")
	var sent struct {
		ChangeID  string `json:"change_id"`
		RequestID string `json:"request_id"`
	}
	if json.Unmarshal(body, &sent) == nil && sent.ChangeID+sent.RequestID != "" {
		name += "_" + sent.ChangeID + sent.RequestID
	}
	answer, err := os.ReadFile("testdata/answers/" + name + ".json")
	if err != nil {
		http.Error(writer, err.Error(), http.StatusTeapot)
		return
	}
	problem := new(api.Problem)
	if json.Unmarshal(answer, problem) == nil && problem.Status >= http.StatusBadRequest {
		writer.Header().Set("Content-Type", api.ProblemContentType)
		writer.WriteHeader(problem.Status)
	}
	_, _ = writer.Write(answer)
}

func newSession(output io.Writer, format Format, nodes ...netip.AddrPort) *Session {
	timeout := 5 * time.Second
	now := func() time.Time { return time.Date(2026, 12, 2, 8, 15, 30, 0, time.UTC) }
	return &Session{Client: NewClient(nodes, timeout, "mori"), Output: output, Format: format, Timeout: timeout, Now: now}
}
