package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/samber/oops"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/rehearsal/leaf"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// ReadExecutions returns the executions of a request on all leaves, or those of all requests if the
// id is empty. It reads the log files, so frozen and exited leaves are included.
func (c *Cluster) ReadExecutions(_ context.Context, requestID string) ([]leaf.Execution, error) {
	var executed []leaf.Execution
	for _, leafProcess := range c.Leaves {
		executions, err := c.ReadLeafExecutions(leafProcess)
		if err != nil {
			return nil, err
		}
		for _, execution := range executions {
			matches := requestID == "" || execution.RequestID == requestID
			if matches && execution.Outcome == leaf.OutcomeExecuted {
				executed = append(executed, execution)
			}
		}
	}
	return executed, nil
}

// ReadLeafExecutions returns all entries of a leaf's execution log. The leaf may be frozen or
// exited.
func (c *Cluster) ReadLeafExecutions(leafProcess *Leaf) ([]leaf.Execution, error) {
	file, err := os.Open(leafProcess.executionLog)
	if err != nil {
		return nil, oops.With("step", "read executions", "peer", leafProcess.Name).Wrap(err)
	}
	defer file.Close()
	var executions []leaf.Execution
	decoder := json.NewDecoder(file)
	for {
		var execution leaf.Execution
		err := decoder.Decode(&execution)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return executions, nil // a killed leaf can leave an incomplete last line
		}
		if err != nil {
			return nil, oops.With("step", "read executions", "peer", leafProcess.Name).Wrap(err)
		}
		executions = append(executions, execution)
	}
}

// FetchChange returns a node's information about an earlier change.
func (c *Cluster) FetchChange(ctx context.Context, node *Node, changeID string) (*api.StatementResponse, error) {
	response := new(api.StatementResponse)
	path := strings.Replace(api.ChangePath, "{id}", changeID, 1)
	return response, c.get(ctx, node.Process, path, response)
}

// FetchStatus returns the state of the deployment as observed by a node.
func (c *Cluster) FetchStatus(ctx context.Context, node *Node) (*api.StatusResponse, error) {
	response := new(api.StatusResponse)
	return response, c.get(ctx, node.Process, api.StatusPath, response)
}

// FetchCatalog returns the catalog that a node has installed.
func (c *Cluster) FetchCatalog(ctx context.Context, node *Node) (*catalog.Catalog, error) {
	response := new(catalog.Catalog)
	return response, c.get(ctx, node.Process, api.CatalogPath, response)
}

func (c *Cluster) get(ctx context.Context, process *Process, path string, target any) error {
	return c.sendControl(ctx, http.MethodGet, process, path, nil, target)
}

// ControlLeaf injects faults into a leaf.
func (c *Cluster) ControlLeaf(ctx context.Context, leafProcess *Leaf, request any) error {
	return c.sendControl(ctx, http.MethodPost, leafProcess.Process, leaf.ControlPath, request, nil)
}

// Control sends a control request to a fake of the platform.
func (c *Cluster) Control(ctx context.Context, process *Process, path string, request any) error {
	return c.sendControl(ctx, http.MethodPost, process, path, request, nil)
}

// sendControl sends a request with a JSON body to a process. It decodes the response into target
// unless target is nil.
func (c *Cluster) sendControl(ctx context.Context, method string, process *Process, path string, body, target any) error {
	errorBuilder := oops.With("step", "control", "peer", process.Name)
	encoded, err := json.Marshal(body)
	if err != nil {
		return errorBuilder.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+process.HTTP.String()+path, bytes.NewReader(encoded))
	if err != nil {
		return errorBuilder.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return errorBuilder.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return errorBuilder.Errorf("%s %s: status %d", method, path, response.StatusCode)
	}
	if target == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(target)
}
