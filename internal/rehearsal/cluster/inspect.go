package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/samber/oops"

	"github.com/micaplank/micaplank/internal/rehearsal/leaf"
)

// Executions returns what the running leaves executed of a request; all
// requests if the id is empty.
func (c *Cluster) Executions(ctx context.Context, requestID string) ([]leaf.Execution, error) {
	var found []leaf.Execution
	for _, each := range c.Leaves {
		executions, err := c.LeafExecutions(ctx, each)
		if err != nil {
			return nil, err
		}
		for _, execution := range executions {
			wanted := requestID == "" || execution.RequestID == requestID
			if wanted && execution.Outcome == leaf.OutcomeExecuted {
				found = append(found, execution)
			}
		}
	}
	return found, nil
}

// LeafExecutions returns the whole execution log of one leaf.
func (c *Cluster) LeafExecutions(ctx context.Context, from *Leaf) ([]leaf.Execution, error) {
	var log leaf.Executions
	err := c.control(ctx, http.MethodGet, from.Process, leaf.ExecutionsPath, nil, &log)
	return log.Executions, err
}

// ControlLeaf injects faults into a leaf.
func (c *Cluster) ControlLeaf(ctx context.Context, to *Leaf, request any) error {
	return c.control(ctx, http.MethodPost, to.Process, leaf.ControlPath, request, nil)
}

// Control sends a control request to a stand-in of the platform.
func (c *Cluster) Control(ctx context.Context, to *Process, path string, request any) error {
	return c.control(ctx, http.MethodPost, to, path, request, nil)
}

func (c *Cluster) control(ctx context.Context, method string, to *Process, path string, body, target any) error {
	failed := oops.With("step", "control", "peer", to.Name)
	encoded, err := json.Marshal(body)
	if err != nil {
		return failed.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+to.HTTP.String()+path, bytes.NewReader(encoded))
	if err != nil {
		return failed.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return failed.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return failed.Errorf("%s %s: status %d", method, path, response.StatusCode)
	}
	if target == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(target)
}
