package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/samber/oops"

	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// maximumIdleConnections bounds the idle connections that the client keeps to each process.
const maximumIdleConnections = 64

func newClient() *http.Client {
	return &http.Client{
		Timeout:   time.Minute,
		Transport: &http.Transport{MaxIdleConnsPerHost: maximumIdleConnections},
	}
}

// ExecuteStatement runs an operator's statement on a node.
func (c *Cluster) ExecuteStatement(ctx context.Context, node *Node, statement string) (*api.StatementResponse, error) {
	return c.SendStatement(ctx, node, api.StatementRequest{Statement: statement, Operator: "cluster"})
}

// SendStatement sends an operator's statement request, with all its options, to a node.
func (c *Cluster) SendStatement(ctx context.Context, node *Node, request api.StatementRequest) (*api.StatementResponse, error) {
	response := new(api.StatementResponse)
	err := c.post(ctx, node, api.StatementsPath, request, response)
	return response, err
}

// Query sends a caller's query to a node. If the response is a problem document, the error is an
// *api.Problem.
func (c *Cluster) Query(ctx context.Context, node *Node, service string, request api.QueryRequest) (*api.QueryResponse, error) {
	response := new(api.QueryResponse)
	path := strings.Replace(api.QueryPath, "{service}", service, 1)
	err := c.post(ctx, node, path, request, response)
	return response, err
}

func (c *Cluster) post(ctx context.Context, node *Node, path string, body, target any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	url := "http://" + node.HTTP.String() + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return oops.With("step", "post", "peer", node.Name).Wrap(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return oops.With("step", "read response", "peer", node.Name).Wrap(err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		problem := new(api.Problem)
		if err := json.Unmarshal(content, problem); err != nil {
			return oops.With("step", "read problem", "peer", node.Name).Errorf("post %s: status %d: %s", path, response.StatusCode, content)
		}
		return problem
	}
	return json.Unmarshal(content, target)
}
